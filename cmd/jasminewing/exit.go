package main

import (
	"errors"
	"fmt"
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

// exitStatus is the end of a program that has logged why it ended.
type exitStatus int

// Error gives the status; it is not printed.
func (s exitStatus) Error() string { return fmt.Sprintf("exit status %d", int(s)) }

// ended gives the error of a program's exit status, nil for a graceful stop.
func ended(status int) error {
	if status == statusFine {
		return nil
	}
	return exitStatus(status)
}

// statusOf gives the exit status of a subcommand's error.
func statusOf(err error) int {
	var f *flags.Error
	var p *os.PathError
	var s exitStatus
	switch {
	case err == nil:
		return statusFine
	case errors.As(err, &s):
		return int(s)
	case errors.As(err, &f), errors.As(err, &p):
		return statusUsage
	case result.CodeOf(err) == result.BadSetting:
		return statusUsage
	default:
		return statusFailed
	}
}
