package fleet

import (
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Value is a value of the configuration service. Data is never modified.
type Value struct {
	Name     string
	Revision table.Revision
	Data     []byte
}

// ValueRevision is the revision of a named value.
type ValueRevision struct {
	Name     string
	Revision table.Revision
}

// Message is an input of Core.
type Message interface{ message() }

// Ticked reports that time has passed; it drives timeouts and periodic work. It is
// expected every TickInterval.
type Ticked struct{}

// Watched is the reply to CallWatch.
type Watched struct {
	// Sent is when the call was made.
	Sent     time.Time
	Revision table.Revision
	Changed  []ValueRevision
	Err      error
}

// Got is the reply to CallGet.
type Got struct {
	Name  string
	Value Value
	Err   error
}

// Listed is the reply to CallList. List is empty if there is no newer one.
type Listed struct {
	Sent time.Time
	List VMList
	Err  error
}

// SyncRequested is a request from a peer. Core replies to it with exactly one
// Answer.
type SyncRequested struct{ Request *wire.SyncRequest }

// SyncAnswered is the reply to CallSync.
type SyncAnswered struct {
	Sent  time.Time
	From  Address
	Pull  bool
	Reply *wire.SyncReply
	Err   error
}

// VersionsSeen reports the versions that a message from a peer contained.
type VersionsSeen struct {
	From     Address
	Revision table.Revision
	List     ListVersion
}

// RenewRequested asks the core to contact peers or the configuration service
// again before work continues.
type RenewRequested struct{}

// ExchangeRequested asks for an immediate exchange with all neighbours.
type ExchangeRequested struct{}

func (ExchangeRequested) message() {}
func (Ticked) message()            {}
func (Watched) message()           {}
func (Got) message()               {}
func (Listed) message()            {}
func (SyncRequested) message()     {}
func (SyncAnswered) message()      {}
func (VersionsSeen) message()      {}
func (RenewRequested) message()    {}

// Effect is an action that Core requests from its caller.
type Effect interface{ effect() }

// CallWatch asks the configuration service which values changed after a revision,
// and waits up to Wait for a change.
type CallWatch struct {
	Sent  time.Time
	After table.Revision
	Wait  time.Duration
}

// CallGet reads a value of the configuration service.
type CallGet struct{ Name string }

// CallList reads the VM list if it is newer than After, and otherwise waits up to
// Wait for a newer one.
type CallList struct {
	Sent  time.Time
	After ListVersion
	Wait  time.Duration
}

// CallSync sends a request to a peer.
type CallSync struct {
	Sent time.Time
	To   Address
	// Pull means that the request asks for values, not only for revisions.
	Pull    bool
	Request *wire.SyncRequest
}

// Answer is the reply to SyncRequested.
type Answer struct{ Reply *wire.SyncReply }

// ViewChanged publishes the new view.
type ViewChanged struct {
	View *View
	// ConfirmedOnly is set if only ConfirmedAt changed.
	ConfirmedOnly bool
}

// Report asks for an event to be logged.
type Report struct {
	Event event.Number
	// Subject is the value, source or process that the event is about.
	Subject  string
	Revision uint64
	Err      error
}

func (CallWatch) effect()   {}
func (CallGet) effect()     {}
func (CallList) effect()    {}
func (CallSync) effect()    {}
func (Answer) effect()      {}
func (ViewChanged) effect() {}
func (Report) effect()      {}
