package booking

import (
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Names used by the core and the sidecar round it.
type (
	// Ref is the sidecar's name for one keyed offer; it is never reused.
	Ref uint64
	// ClaimRef is the sidecar's name for one incoming claim request.
	ClaimRef uint64
	// ClaimID numbers the claims of one home; it only grows.
	ClaimID uint64
)

// Key is a caller's idempotency key; keys of two accounts never meet.
type Key struct {
	Account table.AccountName
	Text    string
}

// Message is what the core is told.
type Message interface{ message() }

// Begin says that a keyed offer wants to run. Its outcome is one of Run,
// AnswerRecorded or Refuse, at once or later.
type Begin struct {
	Ref      Ref
	Key      Key
	BodyHash []byte
}

// Withdrawn says that nobody waits for the offer any more. After Run the
// sidecar sends Finished instead.
type Withdrawn struct{ Ref Ref }

// Finished ends what Run began.
type Finished struct {
	Ref Ref
	// NotRun says that the upstream provably ran nothing: the claim is released.
	NotRun bool
	// Answer is the whole answer; nil or incomplete for an unknown outcome.
	Answer *wire.StoredAnswer
}

// WitnessReplied is the reply to an AskWitness.
type WitnessReplied struct {
	ClaimID ClaimID
	From    fleet.VMName
	Reply   *wire.ClaimReply
}

// WitnessFailed says that an AskWitness got no reply in its time.
type WitnessFailed struct {
	ClaimID ClaimID
	From    fleet.VMName
}

// ClaimReceived is a request of another process. Each gets one ReplyClaim.
type ClaimReceived struct {
	Ref     ClaimRef
	Request *wire.ClaimRequest
}

// ViewChanged gives the VMs of the service, as Members returns them, and the
// longest key window of the service's classes.
type ViewChanged struct {
	// Members take work.
	Members []fleet.VM
	// Out take no work but may still answer claims.
	Out []fleet.VM
	// Window is zero to keep the one in force.
	Window time.Duration
}

// Draining says that this process is about to stop: its records are handed on.
type Draining struct{}

// Ticked lets records lapse and rounds time out. It is expected about once a
// second.
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

// Effect is what the core wants done.
type Effect interface{ effect() }

// Run lets the request go to the upstream, once. The sidecar answers with
// Finished, and with NotRun when Before has passed before it forwarded.
type Run struct {
	Ref Ref
	// Before is the last moment at which every claim certainly still stands.
	Before time.Time
}

// ReplayAnswer gives the caller the answer of the earlier run.
type ReplayAnswer struct {
	Ref    Ref
	Answer *wire.StoredAnswer
}

// Refuse ends the offer without running it. It says nothing of earlier
// attempts: none of its codes asserts not_run.
type Refuse struct {
	Ref    Ref
	Code   result.Code
	Detail string
}

// AskWitness sends a claim. Its outcome is WitnessReplied or WitnessFailed.
type AskWitness struct {
	To      fleet.VM
	ClaimID ClaimID
	Request *wire.ClaimRequest
}

// NotifyWitness sends an answer, a release or a record handed on. The reply is
// of no use to the core, and a failure may be tried again by the sidecar.
type NotifyWitness struct {
	To      fleet.VM
	Request *wire.ClaimRequest
}

// ReplyClaim answers a ClaimCame.
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
