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

// spreadTimeout bounds how long the news of a death is waited for.
const spreadTimeout = 200 * time.Millisecond

// Tracker is a Core that many tasks may ask at once. Its exported fields are set
// before use.
type Tracker struct {
	Core Core
	Log  *event.Log
	// Spread makes peers hear new suspicions at once, and closes the channel
	// when they have; nil to let them hear with the next exchange.
	Spread func() <-chan struct{}

	mu sync.Mutex
}

// Judge says whether a request is suspected, so that only its Place may run it
// and not beside another suspect. The error has the code result.Suspect for a
// request in quarantine.
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

// Died tells of the requests in flight when an instance of an upstream ended.
// It waits, within bounds, until peers have heard of it: nobody shall try such
// a request again where it is not known yet.
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

// Clean tells of a suspect that ran to its whole answer.
func (b *Tracker) Clean(now time.Time, o *wire.Offer) {
	b.handle(now, Completed{Fingerprint(o.Fingerprint)})
}

// Place gives the one VM that may run a suspect.
func (b *Tracker) Place(o *wire.Offer, vms []fleet.VM) (fleet.VM, bool) {
	return Place(Fingerprint(o.Fingerprint), vms)
}

// Snapshot gives what peers should know.
func (b *Tracker) Snapshot(now time.Time) []*wire.Suspicion {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Core.Handle(now, Ticked{})
	return b.Core.Snapshot(now)
}

// ChangesSince gives what came after the change of a number, and the number of the
// latest.
func (b *Tracker) ChangesSince(now time.Time, change uint64) ([]*wire.Suspicion, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Core.Handle(now, Ticked{})
	return b.Core.ChangesSince(now, change), b.Core.LastChange()
}

// Merge takes what a peer shared.
func (b *Tracker) Merge(now time.Time, s []*wire.Suspicion) {
	if len(s) > 0 {
		b.handle(now, Received{s})
	}
}

// handle gives a channel that is closed when peers have heard what is new; nil
// if nothing is.
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

// FingerprintText gives a fingerprint as logs show it.
func FingerprintText(f Fingerprint) string {
	const shown = 6
	return hex.EncodeToString([]byte(f[:min(shown, len(f))]))
}
