package suspect

import (
	"encoding/hex"
	"sync"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

// spreadTimeout is how long Died waits for peers to receive the suspicions.
const spreadTimeout = 200 * time.Millisecond

// Tracker wraps a Core for concurrent use by multiple goroutines. Its exported
// fields are set before use.
type Tracker struct {
	Core Core
	Log  *event.Log
	// Spread sends new suspicions to peers immediately, and closes the returned
	// channel once they have received them. If Spread is nil, peers receive
	// suspicions with the next regular exchange.
	Spread func() <-chan struct{}

	mu sync.Mutex
}

// Judge reports whether a request is suspected, in which case it may run only
// at the VM that Place returns, and not concurrently with another suspect. For a
// quarantined request the error has the code result.Suspect.
func (b *Tracker) Judge(now time.Time, o *wire.Offer) (suspected bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	deaths, suspected, refuse := b.Core.Verdict(now, Fingerprint(o.Fingerprint))
	if refuse {
		e := result.Errorf(result.Suspect, "%d upstreams ended while they ran it", deaths)
		e.RetryAfter = b.Core.Quarantine
		return true, e
	}
	return suspected, nil
}

// Died records the requests that were in flight when an instance of an upstream
// crashed. If the records are new, it blocks until peers have received them, for
// spreadTimeout at most, so that none of these requests is retried through a
// process that does not know of the crash yet.
func (b *Tracker) Died(now time.Time, instance fleet.Incarnation, inFlight []*wire.Offer) {
	m := Died{Incarnation: instance}
	for _, o := range inFlight {
		m.Fingerprints = append(m.Fingerprints, Fingerprint(o.Fingerprint))
	}
	shared := b.handle(now, m)
	if shared == nil {
		return
	}
	timeout := time.NewTimer(spreadTimeout)
	defer timeout.Stop()
	select {
	case <-shared:
	case <-timeout.C:
	}
}

// Clean records that a suspect ran to the end of its answer, which clears it of
// the deaths known here.
func (b *Tracker) Clean(now time.Time, o *wire.Offer) {
	b.handle(now, Completed{Fingerprint(o.Fingerprint)})
}

// Place returns the only VM that may run a suspect, and false if vms is empty.
func (b *Tracker) Place(o *wire.Offer, vms []fleet.VM) (fleet.VM, bool) {
	return Place(Fingerprint(o.Fingerprint), vms)
}

// Snapshot returns the suspicions to send to peers.
func (b *Tracker) Snapshot(now time.Time) []*wire.Suspicion {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Core.Handle(now, Ticked{})
	return b.Core.Snapshot(now)
}

// ChangesSince returns the suspicions that changed after the change with the
// given number, and the number of the latest change.
func (b *Tracker) ChangesSince(now time.Time, change uint64) ([]*wire.Suspicion, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Core.Handle(now, Ticked{})
	return b.Core.ChangesSince(now, change), b.Core.LastChange()
}

// Merge adds the suspicions received from a peer.
func (b *Tracker) Merge(now time.Time, s []*wire.Suspicion) {
	if len(s) > 0 {
		b.handle(now, Received{s})
	}
}

// handle passes a message to the core and carries out its effects. It returns a
// channel that is closed when peers have received the new suspicions, or nil if
// there are none or Spread is nil.
func (b *Tracker) handle(now time.Time, m Message) (shared <-chan struct{}) {
	b.mu.Lock()
	effects := b.Core.Handle(now, m)
	b.mu.Unlock()
	for _, e := range effects {
		switch e := e.(type) {
		case ShareNow:
			if b.Spread != nil {
				shared = b.Spread()
			}
		case Quarantined:
			b.Log.WriteThrottled(event.RequestSuspect, FingerprintText(e.Fingerprint), "deaths", e.Deaths)
		}
	}
	return shared
}

// FingerprintText returns the first bytes of a fingerprint in hexadecimal, for
// logs.
func FingerprintText(f Fingerprint) string {
	const shown = 6
	return hex.EncodeToString([]byte(f[:min(shown, len(f))]))
}
