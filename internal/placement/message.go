// Package placement decides which upstream a gateway sends a request to, who
// waits, and who is refused. It does no I/O.
//
// A gateway has one Core. It is told what is published, what other gateways
// have in flight, and how each request went; it answers with grants and
// refusals. All gateways decide for themselves: bounds that hold for the sum of
// them, such as the rate that a cold upstream bears, are divided by the number
// of gateways that may be there.
//
// # Usage
//
//	c := &placement.Core{DataCentre: "ne-east-a", Seed: seed}
//	c.Handle(now, placement.Published{View: view})
//	for _, e := range c.Handle(now, placement.Ask{Ticket: 1, Request: r}) {
//		switch e := e.(type) {
//		case placement.Grant: // send to e.Upstream, then tell Begun and Done
//		case placement.Refuse: // answer with e.Code
//		}
//	}
package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/pkg/result"
)

// Ticket names a request, or a further send of one, at this gateway.
type Ticket uint64

// PartID names a part of a prompt.
type PartID uint64

// Part is a part of a prompt. Requests with the same parts in the same order
// share them in an engine's cache.
type Part struct {
	ID     PartID
	Tokens int
}

// Request is what the core knows of a request.
type Request struct {
	Service   route.ServiceName
	Priority  route.Priority
	Objective time.Duration
	// Deadline is when the answer must be there.
	Deadline time.Time
	// Prompt is empty for a plain service.
	Prompt []Part
	// OutputTokens is the expected number of tokens of the answer.
	OutputTokens int
	// Bytes is the size of request and expected answer.
	Bytes int
	// Tried are upstreams that it was sent to before.
	Tried []route.UpstreamID
}

// Message is what the core is told.
type Message interface{ message() }

// ViewUpdate is a new view of what is published.
type ViewUpdate struct{ View *route.View }

// Enqueue wants an upstream for a request.
type Enqueue struct {
	Ticket  Ticket
	Request Request
}

// ResponseStarted says that the first part of an answer came.
type ResponseStarted struct{ Ticket Ticket }

// Done says that a granted request has ended at its upstream.
type Done struct {
	Ticket  Ticket
	Outcome Outcome
}

// Cancelled says that a request that waits is no longer wanted.
type Cancelled struct{ Ticket Ticket }

// PeerLoads is what another gateway has in flight.
type PeerLoads struct {
	Gateway string
	Loads   map[LoadKey]Load
}

// LoadKey names an upstream in what gateways tell each other: a hash of its id.
// Two upstreams with one key would each seem to have the load of both.
type LoadKey uint32

// LoadKeyOf gives the key of an upstream.
func LoadKeyOf(id route.UpstreamID) LoadKey { return LoadKey(xxhash.Sum64String(string(id))) }

// Membership says how many gateways there are, this one included, and which of
// them it is, from 0, in an order that all agree on.
//
// Others is the number of those of the others that have not gone silent.
type Membership struct{ Count, Rank, LivePeers int }

// Tick lets time pass for those who wait.
type Tick struct{}

func (ViewUpdate) message()      {}
func (Enqueue) message()         {}
func (ResponseStarted) message() {}
func (Done) message()            {}
func (Cancelled) message()       {}
func (PeerLoads) message()       {}
func (Membership) message()      {}
func (Tick) message()            {}

// Outcome says how a send ended.
type Outcome int

// Outcomes.
const (
	// Served: a whole answer, of whatever meaning.
	Served Outcome = iota
	// Failed: the upstream answered with a failure of its own, or spoiled.
	Failed
	// Broken: the connection ended before the answer was whole.
	Broken
	// Unreached: no connection could be made.
	Unreached
	// Full: the upstream said that it did not run the request.
	Full
	// Misdirected: another upstream has the address.
	Misdirected
	// Silent: no answer in time.
	Silent
	// Left: the caller has left.
	Left
)

var outcomeNames = [...]string{"served", "failed", "broken", "unreached", "full", "misdirected", "silent", "left"}

// String gives the outcome's name in snake case.
func (o Outcome) String() string { return outcomeNames[o] }

// Load is what a gateway has in flight at an upstream.
type Load struct {
	InFlight int
	// WaitingTokens are prompt tokens sent whose answer has not begun.
	WaitingTokens int
	// MemoryTokens is the memory that the requests are expected to take.
	MemoryTokens int
}

func (l Load) scaled(factor float64) Load {
	return Load{
		InFlight:      int(factor * float64(l.InFlight)),
		WaitingTokens: int(factor * float64(l.WaitingTokens)),
		MemoryTokens:  int(factor * float64(l.MemoryTokens)),
	}
}

// Effect is what the core wants done.
type Effect interface{ effect() }

// Grant lets a request go to an upstream.
type Grant struct {
	Ticket   Ticket
	Upstream route.Upstream
	// Expected is the time in which the answer is expected to begin.
	Expected time.Duration
	// KVSource is the address of an engine that holds parts of the prompt which the
	// upstream lacks; empty for none.
	KVSource string
}

// Refuse ends a request that has not been sent.
type Refuse struct {
	Ticket     Ticket
	Code       result.Code
	RetryAfter time.Duration
}

// Avoided says that an upstream gets no requests for a while.
type Avoided struct {
	Upstream route.UpstreamID
	For      time.Duration
	Outcome  Outcome
}

func (Grant) effect()   {}
func (Refuse) effect()  {}
func (Avoided) effect() {}
