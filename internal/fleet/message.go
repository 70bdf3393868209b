package fleet

import (
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Value is a value of the configuration service. Data is never changed.
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

// Message is what the core is told.
type Message interface{ message() }

// Ticked lets timers run. It is expected every TickInterval.
type Ticked struct{}

// Watched is the answer to CallWatch.
type Watched struct {
	// Sent is when the call was made.
	Sent     time.Time
	Revision table.Revision
	Changed  []ValueRevision
	Err      error
}

// Got is the answer to CallGet.
type Got struct {
	Name  string
	Value Value
	Err   error
}

// Listed is the answer to CallList. List is empty if there is none newer.
type Listed struct {
	Sent time.Time
	List VMList
	Err  error
}

// SyncAsked is a request of a peer; Answer is the only answer to it.
type SyncAsked struct{ Request *wire.SyncRequest }

// SyncAnswered is the answer to CallSync.
type SyncAnswered struct {
	Sent  time.Time
	From  Address
	Pull  bool
	Reply *wire.SyncReply
	Err   error
}

// VersionsSeen says that a message of a peer showed these versions.
type VersionsSeen struct {
	From     Address
	Revision table.Revision
	List     ListVersion
}

// RenewAsked asks to hear from somebody before work goes on.
type RenewAsked struct{}

// SpreadAsked asks to tell all neighbours at once what is shared with them.
type SpreadAsked struct{}

func (SpreadAsked) message()  {}
func (Ticked) message()       {}
func (Watched) message()      {}
func (Got) message()          {}
func (Listed) message()       {}
func (SyncAsked) message()    {}
func (SyncAnswered) message() {}
func (VersionsSeen) message() {}
func (RenewAsked) message()   {}

// Effect is what the core wants done.
type Effect interface{ effect() }

// CallWatch asks the configuration service what changed after a revision.
type CallWatch struct {
	Sent  time.Time
	After table.Revision
	Wait  time.Duration
}

// CallGet reads a value of the configuration service.
type CallGet struct{ Name string }

// CallList reads the VM list.
type CallList struct {
	Sent  time.Time
	After ListVersion
	Wait  time.Duration
}

// CallSync sends a request to a peer.
type CallSync struct {
	Sent time.Time
	To   Address
	// Pull says that values are wanted, not only revisions.
	Pull    bool
	Request *wire.SyncRequest
}

// Answer answers SyncAsked.
type Answer struct{ Reply *wire.SyncReply }

// ViewChanged gives the new view.
type ViewChanged struct {
	View *View
	// ConfirmedOnly is set if only ConfirmedAt changed.
	ConfirmedOnly bool
}

// Report wants an event logged.
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
