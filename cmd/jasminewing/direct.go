package main

import (
	_ "embed"
	"io"

	"github.com/jessevdk/go-flags"

	"jasminewing.dev/jasminewing/internal/process"
	"jasminewing.dev/jasminewing/platform"
)

//go:embed direct_usage.txt
var directUsage string

var directSubcommand = subcommand{
	name:    "direct",
	summary: "accept requests from callers on an entry VM and send them directly to upstreams",
	usage:   directUsage,
	command: func(o output) flags.Commander { return &directCommand{stdout: o.stdout} },
}

// directCommand runs a gateway that sends requests directly to upstreams.
type directCommand struct {
	SettingsFile string `long:"settings" value-name:"FILE" description:"settings file of the users' platform; if empty, the file that the platform names"`
	MetricsPort  uint16 `long:"metrics-port" env:"JASMINEWING_METRICS_PORT" value-name:"PORT" default:"9401" description:"port on the address of the VM that serves metrics"`

	stdout io.Writer
}

// Execute reads the settings file and runs the gateway until it is stopped.
func (c *directCommand) Execute([]string) error {
	p, err := platform.NewGateway(c.SettingsFile, c.MetricsPort, c.stdout)
	if err != nil {
		return err
	}
	return exitError(process.Run(p.App(), p.Log))
}
