package main

import (
	_ "embed"
	"errors"
	"io"

	"github.com/jessevdk/go-flags"

	"jasminewing.dev/jasminewing/internal/process"
	"jasminewing.dev/jasminewing/internal/setting"
)

//go:embed sidecar_usage.txt
var sidecarUsage string

var sidecarSubcommand = subcommand{
	name:    "sidecar",
	summary: "run next to one upstream and control which requests it runs",
	usage:   sidecarUsage,
	command: func(o output) flags.Commander { return &sidecarCommand{stderr: o.stderr} },
}

// sidecarCommand runs a sidecar next to an upstream.
type sidecarCommand struct {
	setting.Sidecar
	stderr io.Writer
}

// Execute validates the settings and runs the sidecar until it is stopped.
func (c *sidecarCommand) Execute([]string) error {
	if faults := c.Validate(); len(faults) > 0 {
		return errors.Join(faults...)
	}
	p := &process.Sidecar{Settings: &c.Sidecar, Stderr: c.stderr}
	return exitError(process.Run(p.App(), p.Log))
}
