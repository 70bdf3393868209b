package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"

	"jasminewing.dev/jasminewing/pkg/result"
)

// Exit statuses, as usage.txt documents them.
const (
	statusFine   = 0
	statusFailed = 1
	// statusUsage is also for settings, and files that cannot be read.
	statusUsage = 2
)

// statusOf gives the exit status of a subcommand's error.
func statusOf(err error) int {
	var f *flags.Error
	var p *os.PathError
	switch {
	case err == nil:
		return statusFine
	case errors.As(err, &f), errors.As(err, &p):
		return statusUsage
	case result.CodeOf(err) == result.BadSetting:
		return statusUsage
	default:
		return statusFailed
	}
}
