package main

import (
	_ "embed"
	"errors"
	"io"

	"github.com/jessevdk/go-flags"

	"jasminewing.dev/jasminewing/internal/process"
	"jasminewing.dev/jasminewing/internal/setting"
)

//go:embed gateway_usage.txt
var gatewayUsage string

var gatewaySubcommand = subcommand{
	name:    "gateway",
	summary: "accept requests from callers on an entry VM",
	usage:   gatewayUsage,
	command: func(o output) flags.Commander { return &gatewayCommand{stderr: o.stderr} },
}

// gatewayCommand runs a gateway that offers requests to sidecars.
type gatewayCommand struct {
	setting.Gateway
	stderr io.Writer
}

// Execute validates the settings and runs the gateway until it is stopped.
func (c *gatewayCommand) Execute([]string) error {
	if faults := c.Validate(); len(faults) > 0 {
		return errors.Join(faults...)
	}
	p := &process.Gateway{Settings: &c.Gateway, Stderr: c.stderr}
	return exitError(process.Run(p.App(), p.Log))
}
