package main

import (
	_ "embed"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/jessevdk/go-flags"
)

//go:embed version_usage.txt
var versionUsage string

var versionSubcommand = subcommand{
	name:    "version",
	summary: "print version, commit and Go release",
	usage:   versionUsage,
	command: func(o output) flags.Commander { return &versionCommand{out: o.stdout} },
}

// versionCommand prints the version, commit and Go release of the build.
type versionCommand struct {
	out io.Writer
}

// Execute prints the version, the commit and the Go release.
func (c *versionCommand) Execute([]string) error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		info = &debug.BuildInfo{}
	}
	_, err := fmt.Fprintln(c.out, versionLine(info))
	return err
}

func versionLine(info *debug.BuildInfo) string {
	commit, edited := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			edited = ", edited"
		}
	}
	return fmt.Sprintf("%s %s (commit %s%s) %s", programName, info.Main.Version, commit, edited, info.GoVersion)
}
