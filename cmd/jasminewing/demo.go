package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"

	"jasminewing.dev/jasminewing/internal/demo"
)

//go:embed demo_usage.txt
var demoUsage string

var demoSubcommand = subcommand{
	name:    "demo",
	summary: "run a complete deployment with simulated services on loopback",
	usage:   demoUsage,
	command: func(o output) flags.Commander { return &demoCommand{output: o} },
}

// demoCommand runs a demo deployment.
type demoCommand struct {
	Once  bool   `long:"once" description:"send one request of each kind, print the responses and exit"`
	Table string `long:"table" value-name:"DIRECTORY" description:"directory with the CSV files of the table; if not given, a small table is written to a new directory"`
	Logs  bool   `long:"logs" description:"print the log lines of the programs"`

	output
}

// sampleRequest is a request that the demo sends or prints as a curl command.
type sampleRequest struct {
	title  string
	path   string
	header [2]string
	body   string
}

var sampleRequests = []sampleRequest{
	{"a streamed answer", "/v1/chat/completions", [2]string{}, `{"model":"draft","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Where do I set up?"}]}`},
	{"an unstreamed answer", "/v1/chat/completions", [2]string{"Jasminewing-Class", "season_summary"}, `{"model":"draft","max_tokens":12,"messages":[{"role":"user","content":"Sum the season up."}]}`},
	{"a booking, which runs once however often it is sent", "/services/pitch_booking/bookings", [2]string{"Idempotency-Key", "row-7-pitch-12"}, `{"booking":"row-7-pitch-12"}`},
}

// Execute runs the demo until it is stopped. With Once, it sends the sample
// requests and then stops.
func (c *demoCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	directory, err := c.directory()
	if err != nil {
		return err
	}
	if c.Once && c.Table == "" {
		defer os.RemoveAll(directory)
	}
	d := &demo.Deployment{TableDirectory: directory, Logs: io.Discard}
	if c.Logs {
		d.Logs = c.stderr
	}
	if err := d.Start(ctx); err != nil {
		return err
	}
	if c.Once {
		err = c.sendAll(ctx, d)
	} else {
		c.printInstructions(d, directory)
		<-ctx.Done()
	}
	if stopErr := d.Stop(context.Background()); err == nil {
		err = stopErr
	}
	return err
}

func (c *demoCommand) directory() (string, error) {
	if c.Table != "" {
		return c.Table, nil
	}
	directory, err := os.MkdirTemp("", "jasminewing-demo-")
	if err != nil {
		return "", fmt.Errorf("create table directory: %w", err)
	}
	return directory, demo.WriteTable(directory)
}

func (c *demoCommand) printInstructions(d *demo.Deployment, directory string) {
	gateway := d.GatewayAddresses()[0]
	fmt.Fprintf(c.stdout, "gateways: %s\ntable:    %s (an edited row takes effect at once)\n", strings.Join(d.GatewayAddresses(), " "), directory)
	for _, a := range d.AdminAddresses() {
		fmt.Fprintf(c.stdout, "admin:    %s\n", a)
	}
	for _, u := range d.UpstreamAddresses() {
		fmt.Fprintf(c.stdout, "upstream: %s\n", u)
	}
	if c.Table != "" {
		return
	}
	for _, t := range sampleRequests {
		fmt.Fprintf(c.stdout, "\n# %s\n%s\n", t.title, t.curlCommand(gateway))
	}
	_, admin, _ := strings.Cut(d.AdminAddresses()[len(d.AdminAddresses())-1], " ")
	_, engine, _ := strings.Cut(d.UpstreamAddresses()[len(d.UpstreamAddresses())-1], " ")
	fmt.Fprintf(c.stdout, "\n# show the state of the fleet and the reasons for it\njasminewing status --admin %s\n", admin)
	fmt.Fprintf(c.stdout, "\n# crash an engine, then show the state again\ncurl http://%s/control -d '{\"action\":\"crash\"}'\n", engine)
	fmt.Fprintf(c.stdout, "\nstop with ctrl-c\n")
}

func (t sampleRequest) curlCommand(gateway string) string {
	headerFlag := ""
	if t.header[0] != "" {
		headerFlag = fmt.Sprintf(" -H '%s: %s'", t.header[0], t.header[1])
	}
	return fmt.Sprintf("curl -N http://%s%s -H 'Authorization: Bearer %s'%s -d '%s'", gateway, t.path, demo.MarketKey, headerFlag, t.body)
}

func (c *demoCommand) sendAll(ctx context.Context, d *demo.Deployment) error {
	for _, t := range sampleRequests {
		fmt.Fprintf(c.stdout, "# %s\n", t.title)
		if err := c.send(ctx, d.GatewayAddresses()[0], t); err != nil {
			return fmt.Errorf("send request for %s: %w", t.title, err)
		}
	}
	return nil
}

func (c *demoCommand) send(ctx context.Context, gateway string, t sampleRequest) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+t.path, strings.NewReader(t.body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+demo.MarketKey)
	if t.header[0] != "" {
		r.Header.Set(t.header[0], t.header[1])
	}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(c.stdout, resp.Body); err != nil {
		return err
	}
	fmt.Fprintln(c.stdout)
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("HTTP status %d", resp.StatusCode)
	}
	return nil
}
