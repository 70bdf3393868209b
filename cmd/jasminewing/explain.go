package main

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"jasminewing.dev/jasminewing/internal/direct"
	"jasminewing.dev/jasminewing/internal/fleet"
)

//go:embed explain_usage.txt
var explainUsage string

var explainSubcommand = subcommand{
	name:    "explain",
	summary: "show where a direct gateway would send a request now, and why",
	usage:   explainUsage,
	command: func(o output) flags.Commander { return &explainCommand{output: o} },
}

// explainCommand asks a gateway where a request would go.
type explainCommand struct {
	Metrics fleet.Address `long:"metrics" value-name:"IP:PORT" default:"127.0.0.1:9401" description:"metrics listener of the gateway"`
	JSON    bool          `long:"json" description:"print JSON"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"file with the request, or - for the standard input"`
	} `positional-args:"yes" required:"yes"`

	output
}

// Execute prints the explanation. It returns an exitStatus error if the gateway cannot be
// asked, would refuse the request, or would let it wait.
func (c *explainCommand) Execute([]string) error {
	request, err := c.readRequest()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	var x direct.Explanation
	if err := c.ask(ctx, request, &x); err != nil {
		writeError(c.stderr, fmt.Errorf("ask %s: %w", c.Metrics, err))
		return exitStatus(exitUsage)
	}
	if err := c.print(&x); err != nil {
		return err
	}
	if x.Upstream == "" {
		return exitStatus(exitFailed)
	}
	return nil
}

func (c *explainCommand) readRequest() ([]byte, error) {
	if c.Args.File == "-" {
		return io.ReadAll(io.LimitReader(os.Stdin, maxFetchBytes))
	}
	f, err := os.Open(c.Args.File)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, maxFetchBytes))
}

func (c *explainCommand) ask(ctx context.Context, request []byte, x *direct.Explanation) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(c.Metrics)+"/explain", bytes.NewReader(request))
	if err != nil {
		return err
	}
	return fetchJSON(r, x)
}

func (c *explainCommand) print(x *direct.Explanation) error {
	if c.JSON {
		return writeJSON(c.stdout, x)
	}
	w := tabwriter.NewWriter(c.stdout, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintf(w, "route %s, service %s, rank %d: %s\n", x.Route, x.Service, x.Rank, decisionText(x))
	fmt.Fprintf(w, "%d requests wait ahead; %.2f of the requests without room in their data centre may leave it\n", x.Ahead, x.Share)
	fmt.Fprintln(w, "\nUPSTREAM\tDATA CENTRE\tIN FLIGHT\tCOST\tWAIT\tPROMPT\tCROSSING\tFAILURES\tOTHER\tLEFT OUT")
	for _, u := range x.Candidates {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", u.Upstream, u.DataCentre, u.InFlight,
			u.Cost, u.Wait, u.Prompt, u.Crossing, u.Failures, u.Other, u.LeftOut)
	}
	return w.Flush()
}

func decisionText(x *direct.Explanation) string {
	switch {
	case x.Upstream == "":
		return "would wait"
	case x.LeavesFor != "":
		return fmt.Sprintf("would go to %s in another data centre (%s)", x.Upstream, x.LeavesFor)
	}
	return fmt.Sprintf("would go to %s", x.Upstream)
}
