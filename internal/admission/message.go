// Package admission is the core of a sidecar: it alone decides what its
// upstream runs, in which order and how much at once. It does no I/O.
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
// One task owns a Core; it is not safe for concurrent use. A body is forwarded
// only when Runs is true after BodyReceived was handled: a grant may have been
// taken back in between.
package admission

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// OfferID names an offer at one sidecar.
type OfferID uint64

// Message is what the core is told.
type Message interface{ message() }

// Offered is a gateway's offer of one attempt.
type Offered struct {
	ID       OfferID
	Account  table.AccountName
	Class    table.Class
	Weight   table.Weight
	Deadline time.Time
	// Arrived is when the caller's request reached its gateway.
	Arrived time.Time
	Cost    table.Tokens
	// Suspect says that the request may have ended an upstream. It does not run
	// beside another suspect: should the upstream end, it is plain which of them
	// did it.
	Suspect bool
}

// Withdrawn is a gateway's word that it no longer wants the offer, or that its
// connection is gone. It may come at any time before Finished.
type Withdrawn struct{ ID OfferID }

// BodyReceived says that the body followed the grant: the request runs.
type BodyReceived struct{ ID OfferID }

// FirstTokenReceived says that the upstream began to answer.
type FirstTokenReceived struct {
	ID OfferID
	// After is the time since the request was forwarded.
	After time.Duration
}

// Finished says that the upstream has ended the request, one way or other.
type Finished struct {
	ID OfferID
	// Clean is set for a whole answer.
	Clean  bool
	Tokens table.Tokens
	// TokenGap is the mean time between tokens; zero for unknown.
	TokenGap time.Duration
	// Cancelled says that the caller hung up; it is no sign of ill health.
	Cancelled bool
}

// Configured says that the upstream's row or data centre changed.
type Configured struct {
	Upstream      table.Upstream
	DataCentreOut bool
}

// HealthChanged is the engine's own word on its health.
type HealthChanged struct {
	Up bool
	// Restarted says that the engine is not the one that was there before.
	Restarted bool
}

// LeaveRequested says that the VM list or a stop signal wants the upstream to leave.
type LeaveRequested struct{}

// PauseBegan says that this process was paused: what it knows may be old, so
// that it refuses work until PauseEnded.
type PauseBegan struct{}

// PauseEnded says that this process was paused and has renewed what it knows.
type PauseEnded struct{}

// Ticked lets time-outs run. It is expected a few times a second.
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

// Effect is what the core wants done.
type Effect interface{ effect() }

// Grant tells the gateway to send the body.
type Grant struct{ ID OfferID }

// Park tells the gateway that the offer waits.
type Park struct{ ID OfferID }

// Refuse tells the gateway that the offer was not run.
type Refuse struct {
	ID         OfferID
	Code       result.Code
	RetryAfter time.Duration
}

// ReportChanged says that gateways should hear the new state at once.
type ReportChanged struct{ State State }

func (Grant) effect()         {}
func (Park) effect()          {}
func (Refuse) effect()        {}
func (ReportChanged) effect() {}

// State is what gateways are told of the sidecar.
type State struct {
	// Refusing is result.OK while work is taken, otherwise why not.
	Refusing result.Code
	Limit    int
	InFlight int
	Parked   int
	Cold     bool
}
