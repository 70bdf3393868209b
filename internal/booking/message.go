package booking

import (
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Identifiers shared by the core and the sidecar that runs it.
type (
	// Ref identifies an offer with an idempotency key within a sidecar. It is
	// never reused.
	Ref uint64
	// ClaimRef identifies an incoming claim request within a sidecar.
	ClaimRef uint64
	// ClaimID numbers the claims of one home in increasing order.
	ClaimID uint64
)

// Key is a caller's idempotency key, scoped to the client account: equal texts
// of two accounts are different keys.
type Key struct {
	Account table.AccountName
	Text    string
}

// Message is an input to Core.Handle.
type Message interface{ message() }

// Begin requests to run an offer with an idempotency key. Its outcome is Run,
// ReplayAnswer or Refuse, immediately or later.
type Begin struct {
	Ref      Ref
	Key      Key
	BodyHash []byte
}

// Withdrawn reports that the caller no longer waits for the offer. After Run,
// the sidecar sends Finished instead.
type Withdrawn struct{ Ref Ref }

// Finished reports the end of a request that Run started.
type Finished struct {
	Ref Ref
	// NotRun states that the upstream provably did not run the request, so that
	// the claim is released.
	NotRun bool
	// Answer is the complete answer. It is nil or incomplete if the outcome is
	// unknown.
	Answer *wire.StoredAnswer
}

// WitnessReplied is the reply to an AskWitness.
type WitnessReplied struct {
	ClaimID ClaimID
	From    fleet.VMName
	Reply   *wire.ClaimReply
}

// WitnessFailed reports that an AskWitness got no reply in time.
type WitnessFailed struct {
	ClaimID ClaimID
	From    fleet.VMName
}

// ClaimReceived is a claim request from another process. Each one is answered by
// one ReplyClaim.
type ClaimReceived struct {
	Ref     ClaimRef
	Request *wire.ClaimRequest
}

// ViewChanged carries the VMs of the service, as returned by Members, and the
// longest key window of the service's classes.
type ViewChanged struct {
	// Members are the VMs that accept work.
	Members []fleet.VM
	// Out are the VMs that accept no work but may still answer claims.
	Out []fleet.VM
	// Window is the new key window; zero keeps the current one.
	Window time.Duration
}

// Draining reports that this process is about to stop. Its records are handed
// off to other members.
type Draining struct{}

// Ticked reports that time has passed, so that records expire and rounds time out.
// It is expected about once a second.
type Ticked struct{}

func (Begin) message()          {}
func (Withdrawn) message()      {}
func (Finished) message()       {}
func (WitnessReplied) message() {}
func (WitnessFailed) message()  {}
func (ClaimReceived) message()  {}
func (ViewChanged) message()    {}
func (Draining) message()       {}
func (Ticked) message()         {}

// Effect is an action that the sidecar carries out for the core.
type Effect interface{ effect() }

// Run permits forwarding the request to the upstream once. The sidecar answers
// with Finished, and sets NotRun if Before passed before it forwarded the
// request.
type Run struct {
	Ref Ref
	// Before is the latest time at which the claim is certain to be unexpired at
	// every witness.
	Before time.Time
}

// ReplayAnswer sends the caller the recorded answer of the earlier run.
type ReplayAnswer struct {
	Ref    Ref
	Answer *wire.StoredAnswer
}

// Refuse ends the offer without running it. It makes no statement about earlier
// attempts: none of its codes asserts not_run.
type Refuse struct {
	Ref    Ref
	Code   result.Code
	Detail string
}

// AskWitness sends a claim to a witness. Its outcome is WitnessReplied or
// WitnessFailed.
type AskWitness struct {
	To      fleet.VM
	ClaimID ClaimID
	Request *wire.ClaimRequest
}

// NotifyWitness sends a witness an answer, a release or a record that is handed
// off. The core ignores the reply, and the sidecar may retry after a failure.
type NotifyWitness struct {
	To      fleet.VM
	Request *wire.ClaimRequest
}

// ReplyClaim answers a ClaimReceived.
type ReplyClaim struct {
	Ref   ClaimRef
	Reply *wire.ClaimReply
}

func (Run) effect()           {}
func (ReplayAnswer) effect()  {}
func (Refuse) effect()        {}
func (AskWitness) effect()    {}
func (NotifyWitness) effect() {}
func (ReplyClaim) effect()    {}
