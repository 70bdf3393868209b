// Command standin runs the stand-ins for what jasminewing stands between, each
// as a process of its own, and a load tool.
//
// # Usage
//
//	standin engine --listen 127.0.0.1:8001 --slots 8 --cold-slots 1
//	standin booking --listen 127.0.0.1:8002
//	standin platform --listen 127.0.0.1:8003 --directory examples/table
//	standin load --gateway 127.0.0.1:8080 --mix class=chat,key=KEY,model=m
//	standin measure --seed-from 101 --seeds 5
//
// Each server prints `listening ADDRESS` as its first line, and ends on SIGTERM.
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

// Exit statuses.
const (
	exitFailed  = 1
	exitBadFlag = 2
)

// process is what every subcommand gets.
type process struct {
	ctx context.Context
	out io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// run runs a command line until it is done or ctx ends, and gives the exit status.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	p := process{ctx: ctx, out: out}
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, text string
		data       any
	}{
		{"engine", "Run a model engine", &engineCommand{process: p}},
		{"booking", "Run a booking service", &bookingCommand{process: p}},
		{"platform", "Run the configuration service and the VM list", &platformCommand{process: p}},
		{"load", "Send load to a gateway", &loadCommand{process: p}},
		{"measure", "Compare policies of dispatch in virtual time", &measureCommand{process: p}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.text, c.text+".", c.data); err != nil {
			return fail(errOut, err, exitFailed)
		}
	}
	_, err := parser.ParseArgs(args)
	var bad *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &bad) && bad.Type == flags.ErrHelp:
		return fail(out, err, 0)
	case errors.As(err, &bad):
		return fail(errOut, err, exitBadFlag)
	}
	return fail(errOut, err, exitFailed)
}

func fail(w io.Writer, err error, status int) int {
	_, _ = io.WriteString(w, err.Error()+"\n")
	return status
}
