package suspect

import (
	"encoding/hex"
	"slices"
	"strconv"
	"sync"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

// exchangeTimeout bounds how long Died waits for peers to receive the suspicions.
const exchangeTimeout = 200 * time.Millisecond

// Tracker wraps a Core for concurrent use by multiple goroutines. Its exported
// fields are set before use.
type Tracker struct {
	Core Core
	Log  *event.Log
	// ExchangeNow sends new suspicions to peers immediately, and closes the
	// returned channel once they have received them. If ExchangeNow is nil, peers
	// receive suspicions with the next regular exchange.
	ExchangeNow func() <-chan struct{}
	// Chosen reports whether it is the turn of this process, of all that take requests
	// from callers, to let a request through that is held back. The turns have the same
	// numbers in all processes. If Chosen is nil, it is always the turn of this one.
	Chosen func(turn uint64) bool

	mu sync.Mutex
	// held are the findings that have been logged.
	held map[string]Blame
}

// Check returns how a request may run. For a request that is held back, by itself or for
// its traits, the error has the code result.Suspect.
func (t *Tracker) Check(now time.Time, o *wire.Offer) (Verdict, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	deaths, suspected, refuse := t.Core.Verdict(now, Fingerprint(o.Fingerprint))
	if refuse {
		e := result.Errorf(result.Suspect, "%d upstreams ended while they ran it", deaths)
		e.RetryAfter = t.Core.Quarantine
		return Verdict{Refuse: true}, e
	}
	var v Verdict
	if o.Trial {
		v = Verdict{Trial: true, Tried: traitsOf(o.Tried)}
	} else {
		v = t.Core.Crashes.Verdict(now, traitsOf(o.Traits), t.Chosen)
	}
	v.Suspected = suspected
	switch {
	case v.Busy:
		e := result.Errorf(result.SuspectBusy, "%d upstreams ended under requests with %s or with others, and one request at a time may show which: %s",
			len(v.Blame.Incarnations), TraitsText(v.Blame.Traits), v.Blame.IncarnationsText())
		e.RetryAfter = v.RetryAfter
		return v, e
	case v.Refuse:
		e := result.Errorf(result.Suspect, "%d upstreams ended under requests with %s: %s",
			len(v.Blame.Incarnations), TraitsText(v.Blame.Traits), v.Blame.IncarnationsText())
		e.RetryAfter = v.RetryAfter
		return v, e
	case v.Trial && !o.Trial:
		t.Log.Write(event.TraitsTried, "traits", TraitsText(v.Tried), "request_id", o.RequestId, "crashes", len(v.Blame.Incarnations))
	}
	return v, nil
}

// MayRun reports whether a request may still run as it was placed. A request that runs as
// a trial may.
func (t *Tracker) MayRun(now time.Time, o *wire.Offer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return o.Trial || t.Core.Crashes.MayRun(now, traitsOf(o.Traits), traitsOf(o.Tried))
}

func traitsOf(numbers []uint64) []Trait {
	if len(numbers) == 0 {
		return nil
	}
	out := make([]Trait, 0, len(numbers))
	for _, n := range numbers {
		out = append(out, Trait(n))
	}
	return out
}

// Numbers returns the traits as the numbers of a message.
func Numbers(traits []Trait) []uint64 {
	var out []uint64
	for _, t := range traits {
		out = append(out, uint64(t))
	}
	return out
}

// Died records the requests that were in flight when an instance of an upstream
// crashed. If the records are new, it blocks until peers have received them, for
// exchangeTimeout at most, so that none of these requests is retried through a
// process that does not know of the crash yet.
func (t *Tracker) Died(now time.Time, instance fleet.Incarnation, inFlight []*wire.Offer) {
	m := Died{Incarnation: instance}
	for _, o := range inFlight {
		m.Fingerprints = append(m.Fingerprints, Fingerprint(o.Fingerprint))
		m.Traits = append(m.Traits, traitsOf(o.Traits)...)
		m.Tried = append(m.Tried, traitsOf(o.Tried)...)
	}
	t.Log.WriteThrottled(event.UpstreamCrashed, string(instance), "incarnation", instance, "in_flight", len(inFlight),
		"traits", shownTraits(m.Traits), "tried", shownTraits(m.Tried))
	shared := t.handle(now, m)
	if shared == nil {
		return
	}
	timeout := time.NewTimer(exchangeTimeout)
	defer timeout.Stop()
	select {
	case <-shared:
	case <-timeout.C:
	}
}

// maxShownTraits is the maximum number of traits in a log line.
const maxShownTraits = 32

func shownTraits(traits []Trait) string {
	traits = slices.Compact(slices.Sorted(slices.Values(traits)))
	return TraitsText(traits[:min(len(traits), maxShownTraits)])
}

// Completed records that a request ran to the end of its answer, which shows that neither
// the request nor its traits were the cause of the crashes known here.
func (t *Tracker) Completed(now time.Time, o *wire.Offer) {
	t.CompletedAt(now, "", o)
}

// CompletedAt records the same of an instance of an upstream. Traits are cleared once the
// instance has run on for settleTime.
func (t *Tracker) CompletedAt(now time.Time, instance fleet.Incarnation, o *wire.Offer) {
	t.handle(now, Completed{Fingerprint(o.Fingerprint), instance, traitsOf(o.Traits), traitsOf(o.Tried)})
}

// Refused records that an instance of an upstream refuses connections.
func (t *Tracker) Refused(now time.Time, instance fleet.Incarnation) {
	t.handle(now, Refused{instance})
}

// Answered records that an upstream completed an answer to a request that was sent at a
// time.
func (t *Tracker) Answered(now time.Time, instance fleet.Incarnation, sent time.Time) {
	t.handle(now, Answered{instance, sent})
}

// Place returns the only VM that may run a suspect, and false if vms is empty.
func (t *Tracker) Place(o *wire.Offer, vms []fleet.VM) (fleet.VM, bool) {
	if len(o.Tried) > 0 {
		return Place(Fingerprint(strconv.FormatUint(o.Tried[0], 16)), vms)
	}
	return Place(Fingerprint(o.Fingerprint), vms)
}

// Stats counts what the tracker holds.
type Stats struct {
	// Held is the number of sets of traits that are held back, and Probation that of
	// traits whose requests run apart.
	Held, Probation int
}

// Stats returns what the tracker holds at present.
func (t *Tracker) Stats(now time.Time) Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{len(t.Core.Crashes.Held(now)), t.Core.Crashes.OnProbation(now)}
}

// Snapshot returns the suspicions to send to peers.
func (t *Tracker) Snapshot(now time.Time) []*wire.Suspicion {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Core.Handle(now, Ticked{})
	return t.Core.Snapshot(now)
}

// Digest returns a hash of all that is suspected.
func (t *Tracker) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Core.Digest()
}

// BatchFor returns the suspicions to send to a peer.
func (t *Tracker) BatchFor(now time.Time, p Peer) Batch {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Core.Handle(now, Ticked{})
	return t.Core.BatchFor(now, p)
}

// Merge adds the suspicions received from a peer.
func (t *Tracker) Merge(now time.Time, s []*wire.Suspicion) {
	if len(s) == 0 {
		return
	}
	for _, each := range s {
		if e := each.Crash; e != nil && !t.knows(fleet.Incarnation(e.Incarnation)) {
			t.Log.WriteThrottled(event.CrashHeard, e.Incarnation, "incarnation", e.Incarnation, "age_ms", e.AgeMs, "traits", len(e.Traits))
		}
	}
	t.handle(now, Received{s})
}

func (t *Tracker) knows(i fleet.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Core.Crashes.crashes[i] != nil
}

// handle passes a message to the core and carries out its effects. It returns a
// channel that is closed when peers have received the new suspicions, or nil if
// there are none or ExchangeNow is nil.
func (t *Tracker) handle(now time.Time, m Message) (shared <-chan struct{}) {
	t.mu.Lock()
	effects := t.Core.Handle(now, m)
	t.logFindings(now)
	t.mu.Unlock()
	for _, e := range effects {
		switch e := e.(type) {
		case ExchangeNow:
			if t.ExchangeNow != nil {
				shared = t.ExchangeNow()
			}
		case Quarantined:
			t.Log.WriteThrottled(event.RequestSuspect, FingerprintText(e.Fingerprint), "deaths", e.Deaths)
		}
	}
	return shared
}

// logFindings logs what has been held back or released since the last call.
func (t *Tracker) logFindings(now time.Time) {
	present := make(map[string]Blame)
	for _, b := range t.Core.Crashes.Held(now) {
		key := TraitsText(b.Traits)
		present[key] = b
		if before, ok := t.held[key]; !ok || len(before.Incarnations) != len(b.Incarnations) {
			t.Log.WriteThrottled(event.TraitsHeld, key, "traits", key, "crashes", len(b.Incarnations), "incarnations", b.IncarnationsText())
		}
	}
	for key := range t.held {
		if _, ok := present[key]; !ok {
			t.Log.Write(event.TraitsReleased, "traits", key)
		}
	}
	t.held = present
}

// FingerprintText returns the first bytes of a fingerprint in hexadecimal, for
// logs.
func FingerprintText(f Fingerprint) string {
	const shown = 6
	return hex.EncodeToString([]byte(f[:min(shown, len(f))]))
}
