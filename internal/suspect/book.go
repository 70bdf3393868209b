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

// spreadWait bounds how long the news of a death is waited for.
const spreadWait = 200 * time.Millisecond

// Book is a Core that many tasks may ask at once. Its exported fields are set
// before use.
type Book struct {
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
func (b *Book) Judge(now time.Time, o *wire.Offer) (suspected bool, err error) {
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
func (b *Book) Died(now time.Time, instance fleet.Incarnation, inFlight []*wire.Offer) {
	m := Died{Incarnation: instance}
	for _, o := range inFlight {
		m.Fingerprints = append(m.Fingerprints, Fingerprint(o.Fingerprint))
	}
	told := b.handle(now, m)
	if told == nil {
		return
	}
	bound := time.NewTimer(spreadWait)
	defer bound.Stop()
	select {
	case <-told:
	case <-bound.C:
	}
}

// Clean tells of a suspect that ran to its whole answer.
func (b *Book) Clean(now time.Time, o *wire.Offer) {
	b.handle(now, Clean{Fingerprint(o.Fingerprint)})
}

// Place gives the one VM that may run a suspect.
func (b *Book) Place(o *wire.Offer, vms []fleet.VM) (fleet.VM, bool) {
	return Place(Fingerprint(o.Fingerprint), vms)
}

// Share gives what peers should know.
func (b *Book) Share(now time.Time) []*wire.Suspicion {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Core.Handle(now, Ticked{})
	return b.Core.Share(now)
}

// News gives what came after the change of a number, and the number of the
// latest.
func (b *Book) News(now time.Time, change uint64) ([]*wire.Suspicion, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Core.Handle(now, Ticked{})
	return b.Core.ShareSince(now, change), b.Core.Changes()
}

// Heard takes what a peer shared.
func (b *Book) Heard(now time.Time, s []*wire.Suspicion) {
	if len(s) > 0 {
		b.handle(now, Heard{s})
	}
}

// handle gives a channel that is closed when peers have heard what is new; nil
// if nothing is.
func (b *Book) handle(now time.Time, m Message) (told <-chan struct{}) {
	b.mu.Lock()
	effects := b.Core.Handle(now, m)
	b.mu.Unlock()
	for _, e := range effects {
		switch e := e.(type) {
		case ShareNow:
			if b.Spread != nil {
				told = b.Spread()
			}
		case Quarantined:
			b.Log.WriteThrottled(event.RequestSuspect, FingerprintText(e.Fingerprint), "deaths", e.Deaths)
		}
	}
	return told
}

// FingerprintText gives a fingerprint as logs show it.
func FingerprintText(f Fingerprint) string {
	const shown = 6
	return hex.EncodeToString([]byte(f[:min(shown, len(f))]))
}
