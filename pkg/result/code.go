// Package result defines the numbered result codes of jasminewing.
//
// Every refusal carries a code, whether it is sent to a caller as JSON, shown to
// an operator on the command line, or sent to another process of the fleet.
// Numbers are never reused. A test keeps the table in docs/CODES.md in sync with
// this package.
//
// # Usage
//
//	err := result.Errorf(result.UnknownModel, "model %q", name)
//	code := result.CodeOf(err)
//	info := code.Info()
package result

import (
	"errors"
	"fmt"
	"time"
)

// Code is a result code.
type Code int

// Result codes. 1xxx are settings and table, 2xxx the request of the caller,
// 3xxx limits and load shedding, 4xxx upstreams, 5xxx idempotency keys, 6xxx
// the fleet.
const (
	OK Code = 0

	BadSetting          Code = 1001
	UnknownColumn       Code = 1101
	MissingColumn       Code = 1102
	BadCell             Code = 1103
	DuplicateRow        Code = 1104
	DanglingReference   Code = 1105
	BadCSV              Code = 1106
	MissingSection      Code = 1107
	CellOutOfRange      Code = 1108
	TableTooLarge       Code = 1109
	InconsistentRow     Code = 1110
	BodyTooLarge        Code = 2001
	BadJSON             Code = 2002
	UnknownModel        Code = 2003
	BadKey              Code = 2004
	UnknownClass        Code = 2005
	ClassNotAllowed     Code = 2006
	BadHeader           Code = 2007
	NotFound            Code = 2008
	MethodNotAllowed    Code = 2009
	BadIdempotencyKey   Code = 2010
	BadBody             Code = 2011
	CallerGone          Code = 2012
	BadAdminToken       Code = 2013
	HeadTooLarge        Code = 2021
	HeadTooSlow         Code = 2022
	AccountRate         Code = 3001
	AccountTokens       Code = 3002
	AccountInFlight     Code = 3003
	QueueFull           Code = 3004
	Evicted             Code = 3005
	DeadlinePassed      Code = 3006
	SidecarQueueFull    Code = 3007
	SidecarEvicted      Code = 3008
	GrantLapsed         Code = 3009
	RetryBudget         Code = 3010
	RoomReserved        Code = 3011
	UpstreamsPaused     Code = 3012
	MemoryFull          Code = 3013
	ConnectionsFull     Code = 3021
	NoUpstream          Code = 4001
	UpstreamLeaving     Code = 4002
	DataCentreOut       Code = 4003
	UpstreamOut         Code = 4004
	UpstreamUnhealthy   Code = 4005
	UpstreamRefused     Code = 4006
	UpstreamFailed      Code = 4007
	UpstreamCutOff      Code = 4008
	UpstreamBadStream   Code = 4009
	UpstreamUnreached   Code = 4010
	SidecarUnreached    Code = 4011
	SidecarLost         Code = 4012
	OutcomeUnknown      Code = 4013
	AnswerTooLarge      Code = 4014
	WrongUpstream       Code = 4015
	Suspect             Code = 4016
	SuspectBusy         Code = 4017
	NotReady            Code = 4018
	UpstreamTimeout     Code = 4019
	AnswerAbandoned     Code = 4020
	AnswerNoRoom        Code = 4021
	KeyBodyDiffers      Code = 5001
	KeyOutcomeUnknown   Code = 5002
	KeyInProgress       Code = 5003
	NotHome             Code = 5004
	WitnessUnreached    Code = 5005
	KeyTableFull        Code = 5006
	KeyClaimedElsewhere Code = 5007
	StaleTable          Code = 6001
	Paused              Code = 6002
	BadSecret           Code = 6003
	BadMessage          Code = 6004
	ConfigUnreached     Code = 6005
	CallBudget          Code = 6007
	VMListUnreached     Code = 6008
	Stopping            Code = 6010
	Internal            Code = 6999
)

// Info describes a code.
type Info struct {
	Code Code
	// Name is the name of the code in snake case.
	Name string
	// Status is the HTTP status that a caller receives.
	Status int
	// NotRun reports that this attempt did not run the request.
	NotRun bool
	// Retry reports that the same request may succeed later.
	Retry bool
	Text  string
}

// Error is an error with a code.
type Error struct {
	Code   Code
	Detail string
	// RetryAfter is how long the caller should wait before a retry; zero if
	// unspecified.
	RetryAfter time.Duration
	Cause      error
}

// Errorf returns an Error with a code and a formatted detail. An error
// formatted with %w becomes its cause.
func Errorf(code Code, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	return &Error{Code: code, Detail: err.Error(), Cause: errors.Unwrap(err)}
}

// Error returns the number, name and detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Detail)
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.Cause }

// CodeOf returns the code of err: OK for nil, Internal for an error without a
// code.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

// IsIdempotencyKeyRefusal reports whether the code refuses a request because of
// its idempotency key; these are the 5xxx codes.
func (c Code) IsIdempotencyKeyRefusal() bool { return c >= KeyBodyDiffers && c < StaleTable }

// DetailOf returns the detail of an error that has a code, and the message of
// any other error. The error must not be nil.
func DetailOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Detail
	}
	return err.Error()
}

// RetryAfterOf returns how long a caller should wait before a retry; zero if
// err does not specify it.
func RetryAfterOf(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter
	}
	return 0
}

// String returns the name of the code in snake case.
func (c Code) String() string { return c.Info().Name }

const unknownName = "unknown"

// Info returns the description of the code. A code that this version does not
// know is named "unknown" and has HTTP status 500.
func (c Code) Info() Info {
	for _, i := range infos {
		if i.Code == c {
			return i
		}
	}
	return Info{Code: c, Name: unknownName, Status: 500, Text: "a code this version does not know"}
}

// Known reports whether this version knows the code.
func (c Code) Known() bool { return c.Info().Name != unknownName }

// All returns the description of every code, sorted by number.
func All() []Info { return append([]Info(nil), infos...) }
