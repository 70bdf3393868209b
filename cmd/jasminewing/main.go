// Command jasminewing routes language-model traffic with service levels and
// priorities.
//
// # Usage
//
//	jasminewing <command> [options]
//
// Each subcommand is in its own file, with its usage text in a text file next to
// it. To add a subcommand, write both files and add it to the list subcommands.
package main

import (
	_ "embed"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
)

const programName = "jasminewing"

//go:embed usage.txt
var programUsage string

// subcommand describes a subcommand of the program.
type subcommand struct {
	name string
	// summary is the description in the list of commands.
	summary string
	// usage is printed after the list of options.
	usage string
	// command returns the struct whose fields go-flags sets and whose Execute
	// method it calls.
	command func(output) flags.Commander
}

// output holds the streams that a subcommand writes to.
type output struct {
	stdout io.Writer
	stderr io.Writer
}

// subcommands lists all subcommands of the program.
var subcommands = []subcommand{
	gatewaySubcommand,
	sidecarSubcommand,
	directSubcommand,
	demoSubcommand,
	statusSubcommand,
	explainSubcommand,
	checkSubcommand,
	codesSubcommand,
	eventsSubcommand,
	versionSubcommand,
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run runs the program with the given arguments and returns its exit status.
func run(args []string, stdout, stderr io.Writer) int {
	p, err := newParser(output{stdout, stderr})
	if err == nil {
		_, err = p.ParseArgs(args)
	}
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		writeHelp(stdout, p, f)
		return exitOK
	}
	var reported exitStatus
	if err != nil && !errors.As(err, &reported) {
		writeError(stderr, err)
	}
	return exitStatusOf(err)
}

func newParser(o output) (*flags.Parser, error) {
	p := flags.NewNamedParser(programName, flags.HelpFlag|flags.PassDoubleDash)
	p.CommandHandler = execute
	for _, s := range subcommands {
		if _, err := p.AddCommand(s.name, s.summary, "", s.command(o)); err != nil {
			return p, fmt.Errorf("add command %s: %w", s.name, err)
		}
	}
	return p, nil
}

// execute runs a subcommand. It rejects arguments that the subcommand does not
// declare.
func execute(c flags.Commander, args []string) error {
	if len(args) > 0 {
		return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected argument %q", args[0])}
	}
	return c.Execute(nil)
}

// writeHelp writes the options and then the usage text of the active
// subcommand, or of the program if no subcommand is active.
func writeHelp(w io.Writer, p *flags.Parser, help *flags.Error) {
	usage := programUsage
	for _, s := range subcommands {
		if p.Active != nil && p.Active.Name == s.name {
			usage = s.usage
		}
	}
	fmt.Fprintf(w, "%s\n%s", help.Message, usage)
}

func writeError(w io.Writer, err error) {
	for line := range strings.Lines(err.Error()) {
		fmt.Fprintf(w, "%s: %s\n", programName, strings.TrimSuffix(line, "\n"))
	}
}
