// Package dispatch is the core of a gateway: how one request is offered to
// sidecars, run by one of them, and tried again where that is allowed. It does
// no I/O.
//
// # Usage
//
//	a := &dispatch.Attempts{Request: r, Pick: pool.Pick, Budget: budget}
//	effects := a.Handle(now, dispatch.Started{})
//	for m := range messages {
//		effects = a.Handle(now, m)
//	}
package dispatch

import (
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Names and units of dispatch.
type (
	// RequestID names a caller's request; it is made by the gateway.
	RequestID string
	// AttemptNumber counts the offers of one request from 1.
	AttemptNumber uint32
)

// Candidate is a sidecar that may run a request.
type Candidate struct {
	VM       fleet.VMName
	Upstream table.UpstreamName
	Address  fleet.Address
}

// Request is what the core needs to know of a caller's request.
type Request struct {
	ID       RequestID
	Class    table.Class
	Arrived  time.Time
	Deadline time.Time
	// Streamed says that parts of the answer are given to the caller at once.
	Streamed bool
	// Keyed says that the caller sent an idempotency key.
	Keyed bool
}

// Message is what the core is told.
type Message interface{ message() }

// Started begins the request.
type Started struct{}

// Parked says that an offer waits at its sidecar.
type Parked struct{ Attempt AttemptNumber }

// Granted says that a sidecar wants the body.
type Granted struct{ Attempt AttemptNumber }

// Refused says that a sidecar does not run the attempt.
type Refused struct {
	Attempt    AttemptNumber
	Code       result.Code
	NotRun     bool
	RetryAfter time.Duration
}

// HeadReceived is the status line and header of the answer.
type HeadReceived struct {
	Attempt AttemptNumber
	Status  int
}

// ChunkReceived is a part of the answer: whole events of a stream, or bytes.
type ChunkReceived struct {
	Attempt AttemptNumber
	Tokens  table.Tokens
}

// Ended is the sidecar's word that the answer is over.
type Ended struct {
	Attempt  AttemptNumber
	Complete bool
	Code     result.Code
}

// Lost says that the connection to the sidecar is gone without an end.
type Lost struct{ Attempt AttemptNumber }

// Silent says that the sidecar has sent no heartbeat for too long.
type Silent struct{ Attempt AttemptNumber }

// Ticked lets time-outs run.
type Ticked struct{}

// CallerGone says that the caller hung up.
type CallerGone struct{}

// Evicted says that the gateway's queue gave the place to a higher tier.
type Evicted struct{}

func (Started) message()       {}
func (Parked) message()        {}
func (Granted) message()       {}
func (Refused) message()       {}
func (HeadReceived) message()  {}
func (ChunkReceived) message() {}
func (Ended) message()         {}
func (Lost) message()          {}
func (Silent) message()        {}
func (Ticked) message()        {}
func (CallerGone) message()    {}
func (Evicted) message()       {}

// Effect is what the core wants done.
type Effect interface{ effect() }

// Offer opens a stream to a candidate.
type Offer struct {
	Attempt   AttemptNumber
	Candidate Candidate
	// ResumeOffset is how many tokens the caller already has.
	ResumeOffset table.Tokens
}

// SendBody sends the body on the attempt's stream.
type SendBody struct{ Attempt AttemptNumber }

// Withdraw ends an attempt's stream.
type Withdraw struct{ Attempt AttemptNumber }

// ForwardHead passes the head of the answer on.
type ForwardHead struct{ Status int }

// ForwardChunk passes the message's chunk on.
type ForwardChunk struct{}

// Discard drops what was kept of an answer that will be had anew.
type Discard struct{}

// WakeAt asks for a Ticked at a time.
type WakeAt struct{ Time time.Time }

// CountRetry says that a reason for a retry should be counted.
type CountRetry struct{ Reason RetryReason }

// Finish ends the request. Code is OK for a whole answer.
type Finish struct {
	Code       result.Code
	NotRun     bool
	RetryAfter time.Duration
}

func (Offer) effect()        {}
func (SendBody) effect()     {}
func (Withdraw) effect()     {}
func (ForwardHead) effect()  {}
func (ForwardChunk) effect() {}
func (Discard) effect()      {}
func (WakeAt) effect()       {}
func (CountRetry) effect()   {}
func (Finish) effect()       {}

// RetryReason says why an attempt was followed by another.
type RetryReason string

// Retry reasons, each with a counter.
const (
	RetryRefused    RetryReason = "refused"
	RetryWiden      RetryReason = "widen"
	RetryRound      RetryReason = "round"
	RetryIncomplete RetryReason = "incomplete"
	RetryLost       RetryReason = "lost"
	RetrySilent     RetryReason = "silent"
	RetryResume     RetryReason = "resume"
	RetryLapsed     RetryReason = "lapsed"
	RetryKey        RetryReason = "key"
)

// RetryReasons lists them all.
func RetryReasons() []RetryReason {
	return []RetryReason{RetryRefused, RetryWiden, RetryRound, RetryIncomplete, RetryLost, RetrySilent, RetryResume, RetryLapsed, RetryKey}
}
