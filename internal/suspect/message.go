package suspect

import (
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
)

// Message is an input of Core.
type Message interface{ message() }

// Died reports that an upstream crashed while these requests were in flight.
type Died struct {
	// Incarnation identifies this run of the upstream, so that its death counts
	// once.
	Incarnation  fleet.Incarnation
	Fingerprints []Fingerprint
	// Traits are those of all these requests, and Tried those of them because of which a
	// request ran apart from others.
	Traits, Tried []Trait
}

// Received holds the suspicions that a peer sent.
type Received struct{ Suspicions []*wire.Suspicion }

// Completed reports that a request ran to the end of its answer.
type Completed struct {
	Fingerprint Fingerprint
	// Incarnation is the one that answered. Without it, the traits are cleared at once,
	// although the upstream may crash just after.
	Incarnation fleet.Incarnation
	// Traits are those of the request, and Tried those of them because of which it ran
	// apart from others.
	Traits, Tried []Trait
}

// Refused reports that an upstream refuses connections.
type Refused struct{ Incarnation fleet.Incarnation }

// Answered reports that an upstream completed an answer to a request that was sent to it
// at a time.
type Answered struct {
	Incarnation fleet.Incarnation
	Sent        time.Time
}

// Ticked reports that time has passed, so that expired records are removed. It is
// expected every few seconds.
type Ticked struct{}

func (Died) message()      {}
func (Received) message()  {}
func (Completed) message() {}
func (Answered) message()  {}
func (Refused) message()   {}
func (Ticked) message()    {}

// Effect is an action that Core requests from its caller.
type Effect interface{ effect() }

// ExchangeNow requests that suspicions are sent to peers without delay, because a
// caller may retry the request immediately through another gateway.
type ExchangeNow struct{}

// Quarantined reports that the request is refused from now on.
type Quarantined struct {
	Fingerprint Fingerprint
	Deaths      int
}

func (ExchangeNow) effect() {}
func (Quarantined) effect() {}
