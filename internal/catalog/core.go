// Package catalog tracks the state that the platform publishes in its store: the
// routing table, the upstreams, and the data centres that are out of service.
// Core does no I/O. Task reads the store, and fetches the state of another gateway
// that reports a newer revision if the store does not deliver it in time.
//
// The state has three sections, which are read separately: a large routing table on
// a slow link does not delay the news that an upstream leaves.
//
// State older than the known state is never applied, whatever its source. Revisions
// order the states of one era only: a store that was restored from a copy gives
// revisions out again, and tells it by a later era. An entry that cannot be decoded is
// skipped and logged, and the other entries stay valid. If the table cannot be decoded,
// the last valid version stays in force; an older version never replaces a newer one.
//
// Entries of upstreams expire while the store is unavailable and are published
// again soon after it recovers. An upstream whose entry disappears right after the
// store became reachable again is therefore kept until ExpiryGrace after that.
//
// In a later era everything is published again that the copy lacks. Until ExpiryGrace
// after the era began, an entry that the copy lacks is kept; and an entry that it has
// in an earlier version doesn't replace the newer one: of an upstream that was leaving, had
// been removed, or has restarted since.
//
// Such a time ends with a read of the store as of its end, not by itself: only that read tells
// what has been published again.
//
// # Usage
//
//	c := &catalog.Core{Decode: decode}
//	skipped := c.ApplyState(now, catalog.Upstreams, state)
//	skipped = c.ApplyChanges(now, catalog.Upstreams, changes, position, asOf)
//	c.ReadAsOf(catalog.Upstreams, position, asOf)
//	view := c.View(now)
package catalog

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/route"
)

// ExpiryGrace is how long after the store became reachable again the entry of an
// upstream may be missing because it expired. The platform promises to restore expired entries within about two seconds.
const ExpiryGrace = 2 * time.Second

const (
	// largeEntryBytes is the size from which the value of an entry is kept, to be
	// sent to other gateways as a difference.
	largeEntryBytes = 16 << 10
	// recentValues is how many large values are kept.
	recentValues = 8
	// settleDelay is how long after the end of ExpiryGrace a read of the store may take to decide on
	// kept entries before another gateway is asked.
	settleDelay = time.Second
	// removalMemory is how long after its removal an upstream is recognized in a copy of the
	// store. Copies are some seconds old.
	removalMemory = 30 * time.Second
	// maxRemovals is the maximum number of removals that are kept; a fleet has some thousand
	// upstreams.
	maxRemovals = 4096
)

// Section is a part of the published state that is read separately.
type Section int

// Sections.
const (
	RoutingTable Section = iota
	Upstreams
	DataCentresOut
	// SectionCount is the number of sections.
	SectionCount
)

// String returns the name of the section in logs.
func (s Section) String() string {
	switch s {
	case RoutingTable:
		return "routing_table"
	case Upstreams:
		return "upstreams"
	case DataCentresOut:
		return "data_centres_out"
	}
	return "unknown"
}

// Positions has one position for each section.
type Positions [SectionCount]Position

// Entry is one published key with its encoded value.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	// Deleted reports that the entry was deleted at Revision.
	Deleted bool
}

func (e Entry) size() int { return len(e.Key) + len(e.Value) }

// DataCentreOut is a decoded entry that takes a data centre out of service.
type DataCentreOut struct{ DataCentre route.DataCentre }

// SkippedEntry is an entry that was not applied, with the reason.
type SkippedEntry struct {
	Key   string
	Cause error
}

// State is the complete state of a section.
type State struct {
	Entries []Entry
	// Era and Revision are the position up to which the state includes every change.
	Era      Era
	Revision Revision
	// Changed is the revision of the newest change in the state, or Revision if that
	// is not known.
	Changed Revision
	// Settled reports that an entry missing from the state is deleted. Otherwise a
	// missing upstream may only have expired.
	Settled bool
}

// Position returns the position up to which the state includes every change.
func (s State) Position() Position { return Position{s.Era, s.Revision} }

// Digest identifies a value.
type Digest uint64

func digestOf(value []byte) Digest { return Digest(xxhash.Sum64(value)) }

// largeValue is a large value with its digest.
type largeValue struct {
	digest Digest
	value  []byte
}

// Core holds the published state. Set Decode before use.
type Core struct {
	// Decode returns a *route.Table, a route.Upstream or a DataCentreOut, or nil
	// for an entry that gateways do not use.
	Decode func(key string, value []byte) (any, error)

	sections         [SectionCount]section
	reachableSince   time.Time
	storeUnreachable bool
	// answeredAt is when the store last responded.
	answeredAt time.Time
	// era is the latest era in which any state is known.
	era   Era
	table *route.Table
	// recent holds the latest large values, oldest first. Another gateway may
	// still have one of them.
	recent []largeValue
}

// section is the known state of one section.
type section struct {
	// era, revision and changed are those of the State.
	era               Era
	revision, changed Revision
	loaded            bool
	// asOf is the latest time as of which the section is known from the store. It is zero after a newer
	// state of another gateway that is not settled.
	asOf time.Time
	// settled is the position to which a settled state of another gateway has led.
	settled Position
	items   map[string]item
	// bytes is the size of the entries in items.
	bytes int
	// removals holds the upstreams that were removed since removalsSince, by their keys, and
	// olderRemovals those that were removed in the removalMemory before.
	removals, olderRemovals map[string]removal
	removalsSince           time.Time
}

func (s *section) position() Position { return Position{s.era, s.revision} }

// set sets the item of a key.
func (s *section) set(key string, it item) {
	s.bytes += it.entry.size() - s.items[key].entry.size()
	s.items[key] = it
}

// delete deletes the item of a key.
func (s *section) delete(now time.Time, key string) {
	it := s.items[key]
	if now.Sub(s.removalsSince) >= removalMemory {
		s.removals, s.olderRemovals, s.removalsSince = make(map[string]removal), s.removals, now
	}
	if u, ok := it.decoded.(route.Upstream); ok && len(s.removals) < maxRemovals {
		s.removals[key] = removal{u.Incarnation(), it.entry.Revision, digestOf(it.entry.Value), it.removed() || it.leaving(), now}
	}
	s.bytes -= it.entry.size()
	delete(s.items, key)
}

// Revision returns the revision up to which every change of a section is known.
func (c *Core) Revision(s Section) Revision { return c.sections[s].revision }

// Position returns the position up to which every change of a section is known.
func (c *Core) Position(s Section) Position { return c.sections[s].position() }

// Era returns the latest era in which any state is known.
func (c *Core) Era() Era { return c.era }

// EnterEra records that the store has answered in an era, or another gateway has sent
// state of it. It reports whether the store was restored, which it was if that is a later
// era than the one of a known section. It may have been restored also before the first one.
func (c *Core) EnterEra(now time.Time, era Era) (restored bool) {
	if era <= c.era {
		return false
	}
	c.era, c.reachableSince = era, now
	return slices.ContainsFunc(c.sections[:], func(s section) bool { return s.loaded })
}

// Outdated reports whether a section is not known in the latest era yet.
func (c *Core) Outdated(s Section) bool { return c.sections[s].era < c.era }

// Changed returns the position of the newest known change in each section.
func (c *Core) Changed() Positions {
	var p Positions
	for n, s := range c.sections {
		p[n] = Position{s.era, s.changed}
	}
	return p
}

// Overflows reports whether a section may exceed MaxEntries or MaxBytes with the changes.
func (c *Core) Overflows(s Section, changes []Entry) bool {
	known := &c.sections[s]
	entries, size := len(known.items)+len(changes), known.bytes
	for _, e := range changes {
		size += e.size()
		if _, ok := known.items[e.Key]; ok {
			entries--
		}
	}
	return entries > MaxEntries || size > MaxBytes
}

// Loaded reports whether a complete state of a section has been applied.
func (c *Core) Loaded(s Section) bool { return c.sections[s].loaded }

// AllLoaded reports whether complete states of all sections have been applied.
func (c *Core) AllLoaded() bool {
	for s := range c.sections {
		if !c.sections[s].loaded {
			return false
		}
	}
	return true
}

// SetStoreReachable records whether the store responds, and reports whether that
// changed.
func (c *Core) SetStoreReachable(now time.Time, reachable bool) (changed bool) {
	changed = c.storeUnreachable == reachable
	if reachable && c.storeUnreachable {
		c.reachableSince = now
	}
	if reachable {
		c.answeredAt = now
	}
	c.storeUnreachable = !reachable
	return changed
}

// Start records when this gateway started. What the store lacks then may be published again like
// after an outage, of which this gateway doesn't know.
func (c *Core) Start(now time.Time) { c.reachableSince = now }

// StoreUnreachable reports whether the last call to the store failed.
func (c *Core) StoreUnreachable() bool { return c.storeUnreachable }

// AnsweredWithin reports whether the store has last responded within a time.
func (c *Core) AnsweredWithin(now time.Time, d time.Duration) bool {
	return now.Sub(c.answeredAt) <= d
}

// ApplyState applies a complete state of a section, unless it is older than the
// known state. An older one only decides on kept and held entries, if it is settled. Upstreams missing from a state that is not settled are kept for
// ExpiryGrace, and so are all entries of an earlier era.
func (c *Core) ApplyState(now time.Time, id Section, state State) []SkippedEntry {
	s := &c.sections[id]
	if state.Era < c.era || s.loaded && state.Position().Before(s.position()) {
		c.decide(now, s, state)
		return nil
	}
	c.EnterEra(now, state.Era)
	restored, known := s.loaded && state.Era > s.era, s.revision
	if state.Era > s.era {
		s.era, s.revision, s.changed, s.asOf = state.Era, 0, 0, time.Time{}
	}
	if !state.Settled && s.position().Before(state.Position()) {
		// What is missing in the state may have expired, until the store has led to it.
		s.asOf = time.Time{}
	}
	present := make(map[string]bool, len(state.Entries))
	var skipped []SkippedEntry
	for _, e := range state.Entries {
		present[e.Key] = true
		before, ok := s.items[e.Key]
		skipped = c.put(s, e, skipped)
		switch it := s.items[e.Key]; {
		case c.settles(now, state, it.heldUntil):
			s.release(e.Key)
		case restored && ok:
			c.holdBack(now, s, e.Key, known, &before)
		case restored:
			c.holdBack(now, s, e.Key, known, nil)
		}
	}
	for key, it := range s.items {
		if !present[key] && (it.era < s.era || it.entry.Revision <= state.Revision) {
			if restored {
				it.expiresAt = time.Time{}
				s.set(key, it)
			}
			c.remove(now, s, key, c.settles(now, state, it.expiresAt), c.graceEnd(now))
		}
	}
	s.loaded = true
	s.advance(state.Revision, state.Changed)
	if state.Settled && state.Position() == s.position() {
		s.settled = s.position()
	}
	return skipped
}

// ApplyChanges applies changes of a section, which must be in the order of their
// revisions, and of the era in which the section is known. The state is then as of the
// given position, if that is newer. Of several changes of a key it applies the last.
// Changes of another era are ignored, as what precedes them is not known.
//
// It skips changes up to the revision of the known state, which has them: newer state of
// another gateway may have been applied while the store was being watched, and in it an
// entry that the changes write may be deleted.
//
// The section is then known as of a time, see ReadAsOf. An entry that was deleted may have expired unless
// a missing entry counted as deleted at that time: the response may have been under way for long.
func (c *Core) ApplyChanges(now time.Time, id Section, changes []Entry, to Position, asOf time.Time) []SkippedEntry {
	s := &c.sections[id]
	if to.Era != s.era || c.Outdated(id) {
		return nil
	}
	known := s.revision
	last := make(map[string]int, len(changes))
	for n, e := range changes {
		last[e.Key] = n
	}
	var skipped []SkippedEntry
	for n, e := range changes {
		s.advance(e.Revision, e.Revision)
		if last[e.Key] != n || e.Revision <= known {
			continue
		}
		if e.Deleted {
			if it, ok := s.items[e.Key]; ok && (it.era < s.era || it.entry.Revision < e.Revision) {
				c.remove(now, s, e.Key, c.Settled(asOf), c.graceEnd(asOf))
			}
			continue
		}
		skipped = c.put(s, e, skipped)
	}
	s.advance(to.Revision, 0)
	c.ReadAsOf(id, to, asOf)
	return skipped
}

func (s *section) advance(revision, changed Revision) {
	s.revision, s.changed = max(s.revision, revision), max(s.changed, changed)
}

func (c *Core) put(s *section, e Entry, skipped []SkippedEntry) []SkippedEntry {
	if s.items == nil {
		s.items = make(map[string]item)
	}
	known, ok := s.items[e.Key]
	if ok && known.era == s.era && known.entry.Revision >= e.Revision {
		known.expiresAt = time.Time{}
		s.set(e.Key, known)
		return skipped
	}
	it := item{entry: e, era: s.era}
	if ok && known.decoded != nil && bytes.Equal(known.entry.Value, e.Value) {
		it.entry.Value, it.decoded = known.entry.Value, known.decoded
	} else {
		decoded, err := c.Decode(e.Key, e.Value)
		if err != nil {
			skipped = append(skipped, SkippedEntry{e.Key, err})
		}
		if t, isTable := decoded.(*route.Table); isTable {
			skipped = c.applyTable(t, e.Key, skipped)
		}
		it.decoded = decoded
		c.rememberValue(e.Value)
	}
	it.keepLeaving(&known)
	s.set(e.Key, it)
	return skipped
}

// rememberValue keeps a value that other gateways may have too, if it is large.
func (c *Core) rememberValue(value []byte) {
	if len(value) < largeEntryBytes {
		return
	}
	c.recent = append(c.recent, largeValue{digestOf(value), value})
	c.recent = slices.Delete(c.recent, 0, max(len(c.recent)-recentValues, 0))
}

// Large returns the largest value of a section with its digest, or zeros if no value is
// large.
func (c *Core) Large(s Section) (Digest, []byte) {
	var largest []byte
	for _, it := range c.sections[s].items {
		if len(it.entry.Value) >= max(len(largest), largeEntryBytes) {
			largest = it.entry.Value
		}
	}
	if largest == nil {
		return 0, nil
	}
	return digestOf(largest), largest
}

// Recent returns a large value by its digest, or nil if it is not known any more.
func (c *Core) Recent(d Digest) []byte {
	for _, v := range c.recent {
		if v.digest == d {
			return v.value
		}
	}
	return nil
}

// applyTable puts a table in force unless its version is older than the current
// one.
func (c *Core) applyTable(t *route.Table, key string, skipped []SkippedEntry) []SkippedEntry {
	if c.table != nil && t.Version < c.table.Version {
		return append(skipped, SkippedEntry{key, fmt.Errorf("version %d is older than %d, which is in force", t.Version, c.table.Version)})
	}
	t.Index()
	c.table = t
	return skipped
}

// View returns the state in force at a time. It drops kept entries, and releases held ones, of sections
// that are known as of the end of the time for which they are kept or held.
func (c *Core) View(now time.Time) *route.View {
	v := &route.View{Table: c.table, DataCentresOut: make(map[route.DataCentre]bool)}
	var newest Position
	for n := range c.sections {
		s := &c.sections[n]
		if at := (Position{s.era, s.changed}); newest.Before(at) {
			newest = at
		}
		for key, it := range s.items {
			if !it.expiresAt.IsZero() && c.over(s, it.expiresAt) {
				s.delete(now, key)
				continue
			}
			if !it.heldUntil.IsZero() && c.over(s, it.heldUntil) {
				it.release()
				s.set(key, it)
			}
			switch d := it.inForce().(type) {
			case route.Upstream:
				v.Upstreams = append(v.Upstreams, d)
			case DataCentreOut:
				v.DataCentresOut[d.DataCentre] = true
			}
		}
	}
	v.Revision = int64(newest.Revision)
	slices.SortFunc(v.Upstreams, func(a, b route.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// State returns the state of a section, to be sent to another gateway. Entries that
// may have expired are left out; the state is settled if there are none, and if the section is known
// as of a time at which a missing entry counts as deleted, or from a settled state of another gateway.
func (c *Core) State(id Section) State {
	s := &c.sections[id]
	settled := (c.Settled(s.asOf) || s.settled == s.position()) && s.era == c.era && c.pendingUntil(id).IsZero()
	out := State{Era: s.era, Revision: s.revision, Changed: s.changed, Settled: settled}
	for _, it := range s.items {
		if it.expiresAt.IsZero() {
			out.Entries = append(out.Entries, it.entry)
		}
	}
	slices.SortFunc(out.Entries, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return out
}
