// Package suspect limits how many upstreams a request that crashes upstreams can
// take down, and how many a trait can that requests share, such as a part of their
// prompts. It does no I/O; each gateway and sidecar has its own Core.
//
// # Single requests
//
// All requests in flight at an upstream that crashes become suspects, identified
// by client account and body. A suspect runs at only one upstream of the fleet, and
// not concurrently with another suspect. A harmless request completes there and is
// cleared. A second death puts the request in quarantine, and every process
// refuses it, including those that know of it only from peers.
//
// A suspicion is a set of records, one for each death. Peers exchange records,
// and merging them is commutative and idempotent.
//
// # Traits
//
// Crashes records what the requests had in common that were in flight at each crash, or had
// completed just before it. A request that completes at an upstream that runs on clears its
// traits. Requests with a trait that remains run apart
// from others, and a trait that explains two series of crashes is held back.
//
// # Usage
//
//	c := &suspect.Core{}
//	c.Handle(now, suspect.Died{Incarnation: id, Fingerprints: inFlight})
//	deaths, solo, refuse := c.Verdict(now, f)
//	// refuse: result.Suspect; solo: only at suspect.Place(f, vms)
//	v := c.Crashes.Verdict(now, traits, nil)
//	// v.Refuse: result.Suspect; v.Tried: only at the place for the first of them
//	c.Handle(now, suspect.Completed{Fingerprint: f, Incarnation: id, Traits: traits})
//	peer.Handle(now, suspect.Received{Suspicions: c.Snapshot(now)})
package suspect

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
)

// Default values for the fields of Core.
const (
	DefaultQuarantine = 10 * time.Minute
	DefaultMaxRecords = 4096
)

const (
	// quarantineDeaths is the number of deaths that puts a request in
	// quarantine.
	quarantineDeaths = 2
	// expiredRetention is how long an expired record is kept without being
	// counted, so that a peer whose copy expires slightly later does not
	// reintroduce it.
	expiredRetention = time.Minute
)

// record is one death that a request is suspected of.
type record struct {
	// at is the earliest reported time of the death. Taking a later time would
	// extend the lifetime of the record each time that peers exchange it.
	at      time.Time
	cleared bool
}

type recordKey struct {
	fingerprint Fingerprint
	incarnation fleet.Incarnation
}

// digest returns a hash of a record.
func (k recordKey) digest(r record) uint64 {
	return mixHash(xxhash.Sum64String(string(k.fingerprint)+"\x00"+string(k.incarnation)) + uint64(boolToInt(r.cleared)))
}

// Core holds the suspicions known to one process. Set the exported fields before
// use; a zero field takes its default. It is not safe for concurrent use.
type Core struct {
	// Quarantine is how long a death counts against a request.
	Quarantine time.Duration
	// MaxRecords is the maximum number of records held. Cleared records are
	// evicted first, then the oldest.
	MaxRecords int

	records map[recordKey]record
	// Crashes finds what several requests have in common that crash upstreams. It shares
	// the numbers of changes.
	Crashes Crashes
	changes changeCounter
	// evictedUntil is the time of the newest record that was evicted. Peers may report it
	// again, and older ones, which would evict others in turn.
	evictedUntil time.Time
	// recent holds the numbers of the latest changes at some recent times.
	recent []changeMark
	// lastRepair is when a peer was last sent all that it had not acknowledged.
	lastRepair time.Time
	// recordDigest is a hash of all records.
	recordDigest uint64
	// changeOf holds the number of the latest change of each record.
	changeOf map[recordKey]uint64
	// deaths indexes the records by request.
	deaths map[Fingerprint][]fleet.Incarnation
}

func (c *Core) setDefaults() {
	if c.records != nil {
		return
	}
	c.records = make(map[recordKey]record)
	c.deaths = make(map[Fingerprint][]fleet.Incarnation)
	c.changeOf = make(map[recordKey]uint64)
	if c.Quarantine <= 0 {
		c.Quarantine = DefaultQuarantine
	}
	if c.MaxRecords <= 0 {
		c.MaxRecords = DefaultMaxRecords
	}
	c.Crashes.changes, c.Crashes.Quarantine = &c.changes, c.Quarantine
	c.Crashes.setDefaults()
}

// Handle processes one message and returns the effects to carry out.
func (c *Core) Handle(now time.Time, m Message) []Effect {
	c.setDefaults()
	c.markChanges(now)
	c.Crashes.settle(now)
	var out []Effect
	switch m := m.(type) {
	case Died:
		for _, f := range m.Fingerprints {
			out = append(out, c.merge(now, recordKey{f, m.Incarnation}, record{at: now})...)
		}
		out = append(out, share(c.Crashes.Report(now, m.Incarnation, m.Traits, m.Tried))...)
	case Received:
		for _, s := range m.Suspicions {
			if s.Crash != nil {
				out = append(out, share(c.Crashes.Received(now, s.Crash))...)
				continue
			}
			out = append(out, c.mergeReceived(now, s)...)
		}
	case Completed:
		out = append(c.clear(now, m.Fingerprint), share(c.Crashes.Completed(now, m.Incarnation, m.Traits, m.Tried))...)
	case Refused:
		out = share(c.Crashes.Refused(now, m.Incarnation))
	case Answered:
		c.Crashes.Answered(now, m.Incarnation, m.Sent)
	case Ticked:
		c.expire(now)
		c.Crashes.Expire(now)
	}
	c.evict()
	return dedupeExchangeNow(out)
}

// share returns the effect that sends an urgent change to peers without delay.
func share(urgent bool) []Effect {
	if !urgent {
		return nil
	}
	return []Effect{ExchangeNow{}}
}

// Verdict returns how a request may run. deaths is the number of upstream deaths
// that the request is suspected of. solo means that it may run only at the VM
// that Place returns and not concurrently with another suspect. refuse means that
// it may not run.
func (c *Core) Verdict(now time.Time, f Fingerprint) (deaths int, solo, refuse bool) {
	for _, i := range c.deaths[f] {
		r := c.records[recordKey{f, i}]
		if !r.cleared && now.Sub(r.at) < c.Quarantine {
			deaths++
		}
	}
	return deaths, deaths > 0, deaths >= quarantineDeaths
}

// Snapshot returns all unexpired records for peers, in a stable order. Deaths is
// zero in a record that was cleared.
func (c *Core) Snapshot(now time.Time) []*wire.Suspicion {
	return append(c.recordsSince(now, 0), c.Crashes.ChangesSince(now, 0)...)
}

// LastChange returns the number of the latest change, for ChangesSince.
func (c *Core) LastChange() uint64 { return c.changes.last }

// ChangesSince returns the unexpired records that were added or changed after the
// change with the given number. One crash can add a hundred records, and sending
// all of them in every exchange would use more bandwidth than everything else in
// the exchange.
func (c *Core) ChangesSince(now time.Time, change uint64) []*wire.Suspicion {
	if change >= c.changes.last {
		return nil
	}
	return append(c.recordsSince(now, change), c.Crashes.ChangesSince(now, change)...)
}

// recordsSince returns the unexpired records of single requests that were added or changed
// after the change with the given number.
func (c *Core) recordsSince(now time.Time, change uint64) []*wire.Suspicion {
	var keys []recordKey
	for k, r := range c.records {
		if c.changeOf[k] > change && now.Sub(r.at) < c.Quarantine {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, compareKeys)
	out := make([]*wire.Suspicion, 0, len(keys))
	for _, k := range keys {
		r := c.records[k]
		s := &wire.Suspicion{
			Fingerprint: []byte(k.fingerprint),
			Deaths:      1,
			AgeMs:       uint64(max(0, now.Sub(r.at)) / time.Millisecond),
			DeathsOf:    []string{string(k.incarnation)},
		}
		if r.cleared {
			s.Deaths = 0
		}
		out = append(out, s)
	}
	return out
}

func (c *Core) mergeReceived(now time.Time, s *wire.Suspicion) []Effect {
	age := time.Duration(min(s.AgeMs, uint64(c.Quarantine/time.Millisecond))) * time.Millisecond
	if age >= c.Quarantine {
		return nil
	}
	var out []Effect
	for _, i := range s.DeathsOf {
		k := recordKey{Fingerprint(s.Fingerprint), fleet.Incarnation(i)}
		out = append(out, c.merge(now, k, record{at: now.Add(-age), cleared: s.Deaths == 0})...)
	}
	return out
}

// merge adds a record, or merges it into the existing one: the earlier time wins,
// and a cleared record stays cleared.
func (c *Core) merge(now time.Time, k recordKey, r record) []Effect {
	held, ok := c.records[k]
	if !ok && !r.at.After(c.evictedUntil) {
		return nil
	}
	_, _, refusedBefore := c.Verdict(now, k.fingerprint)
	if !ok {
		c.deaths[k.fingerprint] = append(c.deaths[k.fingerprint], k.incarnation)
	} else {
		r.cleared = r.cleared || held.cleared
		if held.at.Before(r.at) {
			r.at = held.at
		}
	}
	if ok {
		c.recordDigest ^= k.digest(held)
	}
	c.recordDigest ^= k.digest(r)
	c.records[k] = r
	var out []Effect
	if !ok || r.cleared != held.cleared {
		c.changeOf[k] = c.changes.next()
		out = append(out, ExchangeNow{})
	}
	if deaths, _, refuse := c.Verdict(now, k.fingerprint); refuse && !refusedBefore {
		out = append(out, Quarantined{k.fingerprint, deaths})
	}
	return out
}

// clear marks the deaths known here as cleared. A death that is reported later
// still counts.
func (c *Core) clear(now time.Time, f Fingerprint) []Effect {
	var out []Effect
	for _, i := range slices.Clone(c.deaths[f]) {
		k := recordKey{f, i}
		out = append(out, c.merge(now, k, record{at: c.records[k].at, cleared: true})...)
	}
	return out
}

func (c *Core) expire(now time.Time) {
	for k, r := range c.records {
		if now.Sub(r.at) >= c.Quarantine+expiredRetention {
			c.remove(k)
		}
	}
}

// evict removes records in excess of MaxRecords: cleared ones first, then the
// oldest.
func (c *Core) evict() {
	excess := len(c.records) - c.MaxRecords
	if excess <= 0 {
		return
	}
	keys := make([]recordKey, 0, len(c.records))
	for k := range c.records {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b recordKey) int {
		x, y := c.records[a], c.records[b]
		if x.cleared != y.cleared {
			if x.cleared {
				return -1
			}
			return 1
		}
		return cmp.Or(x.at.Compare(y.at), compareKeys(a, b))
	})
	for _, k := range keys[:excess] {
		if at := c.records[k].at; at.After(c.evictedUntil) {
			c.evictedUntil = at
		}
		c.remove(k)
	}
}

func (c *Core) remove(k recordKey) {
	c.recordDigest ^= k.digest(c.records[k])
	delete(c.records, k)
	delete(c.changeOf, k)
	left := slices.DeleteFunc(c.deaths[k.fingerprint], func(i fleet.Incarnation) bool { return i == k.incarnation })
	if len(left) == 0 {
		delete(c.deaths, k.fingerprint)
		return
	}
	c.deaths[k.fingerprint] = left
}

// dedupeExchangeNow replaces all ExchangeNow effects with a single one at the end.
func dedupeExchangeNow(es []Effect) []Effect {
	n := len(es)
	es = slices.DeleteFunc(es, func(e Effect) bool { return e == Effect(ExchangeNow{}) })
	if len(es) < n {
		es = append(es, ExchangeNow{})
	}
	return es
}

func compareKeys(a, b recordKey) int {
	return cmp.Or(cmp.Compare(a.fingerprint, b.fingerprint), cmp.Compare(a.incarnation, b.incarnation))
}
