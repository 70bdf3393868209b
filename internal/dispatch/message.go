// Package dispatch implements the request handling of a gateway as a state
// machine: a request is offered to sidecars, run by one of them, and retried
// where that is allowed. The package does no I/O.
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

// Identifiers of requests and attempts.
type (
	// RequestID identifies a caller's request. The gateway generates it.
	RequestID string
	// AttemptNumber numbers the offers of one request, starting at 1.
	AttemptNumber uint32
)

// Candidate is a sidecar that may run a request.
type Candidate struct {
	VM       fleet.VMName
	Upstream table.UpstreamName
	Address  fleet.Address
}

// Request describes a caller's request to Attempts.
type Request struct {
	ID       RequestID
	Class    table.Class
	Arrived  time.Time
	Deadline time.Time
	// Streamed reports that parts of the answer are forwarded to the caller as
	// they arrive.
	Streamed bool
	// Keyed reports that the caller sent an idempotency key.
	Keyed bool
}

// Message is an input to Attempts.Handle.
type Message interface{ message() }

// Started starts the request.
type Started struct{}

// Parked reports that an offer waits in its sidecar's queue.
type Parked struct{ Attempt AttemptNumber }

// Granted reports that a sidecar is ready to receive the body.
type Granted struct{ Attempt AttemptNumber }

// Refused reports that a sidecar refused the attempt.
type Refused struct {
	Attempt    AttemptNumber
	Code       result.Code
	NotRun     bool
	RetryAfter time.Duration
}

// HeadReceived reports the status line and headers of the answer.
type HeadReceived struct {
	Attempt AttemptNumber
	Status  int
}

// ChunkReceived reports a part of the answer: complete events of a stream, or
// bytes.
type ChunkReceived struct {
	Attempt AttemptNumber
	Tokens  table.Tokens
}

// Ended reports that the sidecar marked the end of the answer.
type Ended struct {
	Attempt  AttemptNumber
	Complete bool
	Code     result.Code
}

// Lost reports that the connection to the sidecar failed before an Ended.
type Lost struct{ Attempt AttemptNumber }

// Silent reports that the sidecar has sent no heartbeat for longer than
// HeartbeatTimeout, or that its upstream is silent.
type Silent struct{ Attempt AttemptNumber }

// Ticked reports that time has passed, so that timeouts are checked.
type Ticked struct{}

// CallerGone reports that the caller closed its connection.
type CallerGone struct{}

// Evicted reports that the gateway's queue evicted the request in favour of a
// higher tier.
type Evicted struct{}

// StopEnding reports that the gateway's stop has reached its limit, so that the
// request must end with an error.
type StopEnding struct{}

// NoRoom reports that the gateway has no memory for the answer.
type NoRoom struct{}

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
func (StopEnding) message()    {}
func (NoRoom) message()        {}

// Effect is an action that Attempts.Handle asks its caller to carry out.
type Effect interface{ effect() }

// Offer opens a stream to a candidate.
type Offer struct {
	Attempt   AttemptNumber
	Candidate Candidate
	// ResumeOffset is the number of tokens that the caller has already received.
	ResumeOffset table.Tokens
}

// SendBody sends the body on the attempt's stream.
type SendBody struct{ Attempt AttemptNumber }

// Withdraw closes an attempt's stream.
type Withdraw struct{ Attempt AttemptNumber }

// ForwardHead hands over the status and headers of the answer. The gateway
// forwards a streamed answer as it arrives and buffers any other.
type ForwardHead struct{ Status int }

// ForwardChunk hands over the chunk of the current message, which the gateway
// forwards or buffers like the head.
type ForwardChunk struct{}

// Discard drops the buffered parts of an answer whose request is retried.
type Discard struct{}

// WakeAt asks for a Ticked message at Time.
type WakeAt struct{ Time time.Time }

// CountRetry increments the retry counter for Reason.
type CountRetry struct{ Reason RetryReason }

// Finish ends the request. Code is OK for a complete answer.
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

// RetryReason is the reason for a further attempt.
type RetryReason string

// Retry reasons. Each has its own counter.
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

// RetryReasons returns all retry reasons.
func RetryReasons() []RetryReason {
	return []RetryReason{RetryRefused, RetryWiden, RetryRound, RetryIncomplete, RetryLost, RetrySilent, RetryResume, RetryLapsed, RetryKey}
}
