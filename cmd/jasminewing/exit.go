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
	exitOK     = 0
	exitFailed = 1
	// exitUsage is also for settings, and files that cannot be read.
	exitUsage = 2
)

// exitStatus is the end of a program that has logged why it ended.
type exitStatus int

// Error gives the status; it is not printed.
func (s exitStatus) Error() string { return fmt.Sprintf("exit status %d", int(s)) }

// exitError gives the error of a program's exit status, nil for a graceful stop.
func exitError(status int) error {
	if status == exitOK {
		return nil
	}
	return exitStatus(status)
}

// exitStatusOf gives the exit status of a subcommand's error.
func exitStatusOf(err error) int {
	var f *flags.Error
	var p *os.PathError
	var s exitStatus
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &s):
		return int(s)
	case errors.As(err, &f), errors.As(err, &p):
		return exitUsage
	case result.CodeOf(err) == result.BadSetting:
		return exitUsage
	default:
		return exitFailed
	}
}
