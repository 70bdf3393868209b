package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"jasminewing.dev/jasminewing/pkg/result"
)

// Exit statuses. usage.txt documents them.
const (
	exitOK     = 0
	exitFailed = 1
	// exitUsage also covers bad settings, files that cannot be read and, for the
	// subcommands status and explain, a process that cannot be queried.
	exitUsage = 2
)

// exitStatus is the error of a subcommand that has already reported why it
// failed.
type exitStatus int

// Error returns the status as text. The program does not print it.
func (s exitStatus) Error() string { return fmt.Sprintf("exit status %d", int(s)) }

// exitError returns the exit status as an error, or nil for a graceful stop.
func exitError(status int) error {
	if status == exitOK {
		return nil
	}
	return exitStatus(status)
}

// exitStatusOf returns the exit status for the error of a subcommand.
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
