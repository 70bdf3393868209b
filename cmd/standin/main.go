// Command standin runs simulated services for tests of jasminewing, each as a
// separate process: a model engine, a booking service and the platform. It also
// runs a load generator and a simulation that compares dispatch policies.
//
// # Usage
//
//	standin engine --listen 127.0.0.1:8001 --slots 8 --cold-slots 1
//	standin booking --listen 127.0.0.1:8002
//	standin platform --listen 127.0.0.1:8003 --directory examples/table
//	standin load --gateway 127.0.0.1:8080 --mix class=chat,key=KEY,model=m
//	standin measure --seed-from 101 --seeds 5
//	standin simulate --factor 1 --factor 3.5
//
// Each server prints `listening ADDRESS` as its first line, and stops on SIGTERM.
package main

import (
	"context"
	"errors"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// Exit statuses of a failed command.
const (
	exitFailed  = 1
	exitBadFlag = 2
)

// commandBase holds the context and the output stream of every subcommand.
type commandBase struct {
	ctx context.Context
	out io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// run runs a command line until it completes or ctx is done, and returns the exit
// status.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	p := commandBase{ctx: ctx, out: out}
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, summary string
		data          any
	}{
		{"engine", "Run a simulated model engine", &engineCommand{commandBase: p}},
		{"booking", "Run a simulated booking service", &bookingCommand{commandBase: p}},
		{"platform", "Run a simulated configuration service and VM list", &platformCommand{commandBase: p}},
		{"load", "Send load to a gateway", &loadCommand{commandBase: p}},
		{"simulate", "Play loads on simulated engines without sidecars, as CSV", &simulateCommand{commandBase: p}},
		{"measure", "Compare dispatch policies in simulated time", &measureCommand{commandBase: p}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.summary, c.summary+".", c.data); err != nil {
			return printError(errOut, err, exitFailed)
		}
	}
	_, err := parser.ParseArgs(args)
	var bad *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &bad) && bad.Type == flags.ErrHelp:
		return printError(out, err, 0)
	case errors.As(err, &bad):
		return printError(errOut, err, exitBadFlag)
	}
	return printError(errOut, err, exitFailed)
}

func printError(w io.Writer, err error, status int) int {
	_, _ = io.WriteString(w, err.Error()+"\n")
	return status
}
