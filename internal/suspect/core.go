// Package suspect keeps a request that ends upstreams from ending many of
// them. It does no I/O; gateways and sidecars hold a core each.
//
// All requests in flight at an upstream that dies are suspect, named by client
// account and body. A suspect runs beside no other suspect, at one upstream of
// the fleet only. There an innocent request comes to a clean end and is
// cleared; a second death puts the request in quarantine, in which it is
// refused everywhere, also by processes that have only heard of it.
//
// A suspicion is a set of marks, one for each death. Peers exchange marks, and
// merging them gives the same in any order and any number of times.
//
// # Usage
//
//	c := &suspect.Core{}
//	c.Handle(now, suspect.Died{Incarnation: id, Fingerprints: inFlight})
//	deaths, solo, refuse := c.Verdict(now, f)
//	// refuse: result.Suspect; solo: only at suspect.Place(f, vms)
//	peer.Handle(now, suspect.Heard{Suspicions: c.Share(now)})
package suspect

import (
	"cmp"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
)

// Defaults of Core.
const (
	DefaultQuarantine = 10 * time.Minute
	DefaultMaxRecords = 4096
)

const (
	// quarantineDeaths is how many deaths put a request in quarantine.
	quarantineDeaths = 2
	// expiredRetention is how long a lapsed mark is kept, uncounted, so that a peer whose
	// clock of it runs a little late does not bring it back.
	expiredRetention = time.Minute
)

// record is one death that a request is suspected of.
type record struct {
	// at is the earliest time of the death that was heard of. A later one would
	// let a mark live on as peers tell it back and forth.
	at      time.Time
	cleared bool
}

type recordKey struct {
	fingerprint Fingerprint
	incarnation fleet.Incarnation
}

// Core holds the suspicions of one process. Set the exported fields before
// use; zero values stand for the defaults.
type Core struct {
	// Quarantine is how long after a death a suspicion holds.
	Quarantine time.Duration
	// MaxRecords bounds the marks held; the oldest goes first.
	MaxRecords int

	records map[recordKey]record
	// lastChange is the number of the latest change here, changed that of each mark's.
	lastChange uint64
	changeOf   map[recordKey]uint64
	// deaths indexes marks by request.
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
}

// Handle takes one message and returns what is to be done.
func (c *Core) Handle(now time.Time, m Message) []Effect {
	c.setDefaults()
	var out []Effect
	switch m := m.(type) {
	case Died:
		for _, f := range m.Fingerprints {
			out = append(out, c.merge(now, recordKey{f, m.Incarnation}, record{at: now})...)
		}
	case Received:
		for _, s := range m.Suspicions {
			out = append(out, c.mergeReceived(now, s)...)
		}
	case Completed:
		out = c.clear(now, m.Fingerprint)
	case Ticked:
		c.expire(now)
	}
	c.evict()
	return dedupeShareNow(out)
}

// Verdict says what may be done with a request: deaths is how many upstreams
// it is suspected of, solo that it may run only at its Place and beside no other
// suspect, refuse that it may not run.
func (c *Core) Verdict(now time.Time, f Fingerprint) (deaths int, solo, refuse bool) {
	for _, i := range c.deaths[f] {
		m := c.records[recordKey{f, i}]
		if !m.cleared && now.Sub(m.at) < c.Quarantine {
			deaths++
		}
	}
	return deaths, deaths > 0, deaths >= quarantineDeaths
}

// Snapshot gives all marks for peers, in a steady order. One that was cleared has
// no deaths.
func (c *Core) Snapshot(now time.Time) []*wire.Suspicion { return c.ChangesSince(now, 0) }

// LastChange gives the number of the latest change, for ShareSince.
func (c *Core) LastChange() uint64 { return c.lastChange }

// ChangesSince gives the marks that came or changed after the change of a number.
// An upstream that dies may leave a hundred marks: whoever tells them to all
// peers again and again spends more on them than on all else.
func (c *Core) ChangesSince(now time.Time, change uint64) []*wire.Suspicion {
	if change >= c.lastChange {
		return nil
	}
	var keys []recordKey
	for k, m := range c.records {
		if c.changeOf[k] > change && now.Sub(m.at) < c.Quarantine {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, compareKeys)
	out := make([]*wire.Suspicion, 0, len(keys))
	for _, k := range keys {
		m := c.records[k]
		s := &wire.Suspicion{
			Fingerprint: []byte(k.fingerprint),
			Deaths:      1,
			AgeMs:       uint64(max(0, now.Sub(m.at)) / time.Millisecond),
			DeathsOf:    []string{string(k.incarnation)},
		}
		if m.cleared {
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

// merge merges a mark: the earlier time and the clearing win.
func (c *Core) merge(now time.Time, k recordKey, m record) []Effect {
	_, _, refusedBefore := c.Verdict(now, k.fingerprint)
	held, ok := c.records[k]
	if !ok {
		c.deaths[k.fingerprint] = append(c.deaths[k.fingerprint], k.incarnation)
	} else {
		m.cleared = m.cleared || held.cleared
		if held.at.Before(m.at) {
			m.at = held.at
		}
	}
	c.records[k] = m
	var out []Effect
	if !ok || m.cleared != held.cleared {
		c.lastChange++
		c.changeOf[k] = c.lastChange
		out = append(out, ShareNow{})
	}
	if deaths, _, refuse := c.Verdict(now, k.fingerprint); refuse && !refusedBefore {
		out = append(out, Quarantined{k.fingerprint, deaths})
	}
	return out
}

// clear takes back the deaths that are known here; one that is not yet known
// still counts when it is heard of.
func (c *Core) clear(now time.Time, f Fingerprint) []Effect {
	var out []Effect
	for _, i := range slices.Clone(c.deaths[f]) {
		k := recordKey{f, i}
		out = append(out, c.merge(now, k, record{at: c.records[k].at, cleared: true})...)
	}
	return out
}

func (c *Core) expire(now time.Time) {
	for k, m := range c.records {
		if now.Sub(m.at) >= c.Quarantine+expiredRetention {
			c.remove(k)
		}
	}
}

// evict drops the oldest marks above the bound, cleared ones first.
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
		c.remove(k)
	}
}

func (c *Core) remove(k recordKey) {
	delete(c.records, k)
	delete(c.changeOf, k)
	left := slices.DeleteFunc(c.deaths[k.fingerprint], func(i fleet.Incarnation) bool { return i == k.incarnation })
	if len(left) == 0 {
		delete(c.deaths, k.fingerprint)
		return
	}
	c.deaths[k.fingerprint] = left
}

// dedupeShareNow keeps one ShareNow, at the end.
func dedupeShareNow(es []Effect) []Effect {
	n := len(es)
	es = slices.DeleteFunc(es, func(e Effect) bool { return e == Effect(ShareNow{}) })
	if len(es) < n {
		es = append(es, ShareNow{})
	}
	return es
}

func compareKeys(a, b recordKey) int {
	return cmp.Or(cmp.Compare(a.fingerprint, b.fingerprint), cmp.Compare(a.incarnation, b.incarnation))
}
