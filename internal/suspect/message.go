package suspect

import (
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
)

// Message is what the core is told.
type Message interface{ message() }

// Died says that an upstream ended while these requests were in flight there.
type Died struct {
	// Incarnation names this run of the upstream; a death counts once.
	Incarnation  fleet.Incarnation
	Fingerprints []Fingerprint
}

// Received is what a peer shared.
type Received struct{ Suspicions []*wire.Suspicion }

// Completed says that a suspect ran to its whole answer.
type Completed struct{ Fingerprint Fingerprint }

// Ticked lets suspicions lapse. It is expected every few seconds.
type Ticked struct{}

func (Died) message()      {}
func (Received) message()  {}
func (Completed) message() {}
func (Ticked) message()    {}

// Effect is what the core wants done.
type Effect interface{ effect() }

// ShareNow says that peers should hear the suspicions without delay: a caller
// may repeat the request at once through another gateway.
type ShareNow struct{}

// Quarantined says that the request is refused from now on.
type Quarantined struct {
	Fingerprint Fingerprint
	Deaths      int
}

func (ShareNow) effect()    {}
func (Quarantined) effect() {}
