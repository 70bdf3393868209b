// Package admission implements the admission control of a sidecar: it alone
// decides which requests its upstream runs, in which order and how many at once.
// It does no I/O.
//
// # Usage
//
//	c := &admission.Core{Upstream: row}
//	for m := range messages {
//		for _, e := range c.Handle(now, m) {
//			// carry out the effect
//		}
//	}
//
// A Core is not safe for concurrent use; one goroutine owns it. A body may be
// forwarded only if Runs returns true after BodyReceived was handled, because the
// grant may have been revoked in the meantime.
package admission

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// OfferID identifies an offer at one sidecar.
type OfferID uint64

// Message is an input to the core.
type Message interface{ message() }

// Offered reports that a gateway offers one attempt.
type Offered struct {
	ID       OfferID
	Account  table.AccountName
	Class    table.Class
	Weight   table.Weight
	Deadline time.Time
	// Arrived is when the caller's request reached its gateway.
	Arrived time.Time
	Cost    table.Tokens
	// Suspect is set if the request may have crashed an upstream. It does not
	// run beside another suspect, so that a further crash can be attributed to
	// one request.
	Suspect bool
}

// Withdrawn reports that the gateway no longer wants the offer or that its
// connection was lost. It may arrive at any time before Finished.
type Withdrawn struct{ ID OfferID }

// BodyReceived reports that the body arrived after the grant, so that the
// request runs.
type BodyReceived struct{ ID OfferID }

// FirstTokenReceived reports that the upstream began to answer.
type FirstTokenReceived struct {
	ID OfferID
	// After is the time since the request was forwarded.
	After time.Duration
}

// Finished reports that the request ended at the upstream, successfully or not.
type Finished struct {
	ID OfferID
	// Clean is set for a complete answer.
	Clean  bool
	Tokens table.Tokens
	// TokenGap is the mean time between tokens; zero means unknown.
	TokenGap time.Duration
	// Cancelled is set if the caller disconnected, which says nothing about the
	// upstream's health.
	Cancelled bool
}

// Configured reports that the upstream's row or data centre changed.
type Configured struct {
	Upstream      table.Upstream
	DataCentreOut bool
}

// HealthChanged reports the engine's health as stated by the engine itself.
type HealthChanged struct {
	Up bool
	// Restarted is set if the engine is a different instance than before.
	Restarted bool
}

// LeaveRequested reports that the VM list or a stop signal asks the upstream to
// leave.
type LeaveRequested struct{}

// PauseBegan reports that this process was paused. Its data may be stale, so
// the core refuses work until PauseEnded.
type PauseBegan struct{}

// PauseEnded reports that this process has refreshed its data after a pause.
type PauseEnded struct{}

// Ticked reports that time has passed, so that timeouts are checked. It is expected
// a few times a second.
type Ticked struct{}

func (Offered) message()            {}
func (Withdrawn) message()          {}
func (BodyReceived) message()       {}
func (FirstTokenReceived) message() {}
func (Finished) message()           {}
func (Configured) message()         {}
func (HealthChanged) message()      {}
func (LeaveRequested) message()     {}
func (PauseBegan) message()         {}
func (PauseEnded) message()         {}
func (Ticked) message()             {}

// Effect is an action that the caller of Handle must carry out.
type Effect interface{ effect() }

// Grant tells the gateway to send the body.
type Grant struct{ ID OfferID }

// Park tells the gateway that the offer is queued.
type Park struct{ ID OfferID }

// Refuse tells the gateway that the offer was not run.
type Refuse struct {
	ID         OfferID
	Code       result.Code
	RetryAfter time.Duration
}

// ReportChanged asks for the new state to be sent to the gateways at once.
type ReportChanged struct{ State State }

func (Grant) effect()         {}
func (Park) effect()          {}
func (Refuse) effect()        {}
func (ReportChanged) effect() {}

// State is the sidecar's state as reported to gateways.
type State struct {
	// Refusing is result.OK while work is accepted, otherwise the reason why
	// not.
	Refusing result.Code
	Limit    int
	InFlight int
	Parked   int
	Cold     bool
}
