package catalog

import (
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

// item is an entry, with what it counts as.
type item struct {
	entry Entry
	// era is the era in which the entry was read.
	era     Era
	decoded any
	// expiresAt is the earliest time at which an entry that disappeared is removed. It is
	// zero while the entry is published.
	expiresAt time.Time
	// Until heldUntil an upstream of a copy of the store counts as held, which is nil if it had been
	// removed before the store was restored. heldUntil is zero if it isn't held.
	held      any
	heldUntil time.Time
}

// inForce returns what the item counts as.
func (it *item) inForce() any {
	if !it.heldUntil.IsZero() {
		return it.held
	}
	return it.decoded
}

// removed reports whether the item is an upstream that counts as removed.
func (it *item) removed() bool { return !it.heldUntil.IsZero() && it.held == nil }

// leaving reports whether the item is an upstream that receives no new requests.
func (it *item) leaving() bool {
	u, ok := it.inForce().(route.Upstream)
	return ok && u.Leaving
}

// release makes the item count as its entry.
func (it *item) release() { it.held, it.heldUntil = nil, time.Time{} }

// pendingUntil returns the time as of which the section must be known to tell whether the entry
// was deleted, or what it counts as; it is zero if that is known.
func (it *item) pendingUntil() time.Time {
	if it.expiresAt.IsZero() || !it.heldUntil.IsZero() && it.heldUntil.Before(it.expiresAt) {
		return it.heldUntil
	}
	return it.expiresAt
}

// keepLeaving holds a newly written upstream back as leaving if it was held back as that before.
func (it *item) keepLeaving(before *item) {
	u, ok := it.decoded.(route.Upstream)
	held, wasHeld := before.held.(route.Upstream)
	if ok && wasHeld && held.Leaving && held.Incarnation() == u.Incarnation() {
		u.Leaving = true
		it.held, it.heldUntil = u, before.heldUntil
	}
}

// removal is the removal of an upstream.
type removal struct {
	incarnation route.Incarnation
	// revision and value are those of its last entry, and leaving reports that it was leaving.
	revision Revision
	value    Digest
	leaving  bool
	at       time.Time
}

// removedLately reports whether an item of a copy is an upstream that was removed within removalMemory, and
// not one that has come back since: it has the entry that was removed, one of before it was leaving, or
// one of an earlier run. The revision is that up to which the section was known.
func (s *section) removedLately(now time.Time, it item, known Revision) bool {
	u, ok := it.decoded.(route.Upstream)
	if !ok {
		return false
	}
	r, ok := s.removals[it.entry.Key]
	if !ok {
		r, ok = s.olderRemovals[it.entry.Key]
	}
	if !ok || now.Sub(r.at) >= removalMemory {
		return false
	}
	if r.incarnation == u.Incarnation() {
		return r.leaving || r.revision == it.entry.Revision && r.value == digestOf(it.entry.Value)
	}
	return it.entry.Revision <= known && u.StartedAtMillis < r.incarnation.StartedAtMillis
}

// Settled reports whether a missing entry counts as deleted rather than expired:
// the store has been reachable for at least ExpiryGrace.
func (c *Core) Settled(now time.Time) bool {
	return !c.storeUnreachable && now.Sub(c.reachableSince) >= ExpiryGrace
}

// ReadAsOf records that the store has led to a position of a section, which includes every change up
// to a time. It tells nothing if another gateway has sent a newer position meanwhile.
func (c *Core) ReadAsOf(id Section, at Position, asOf time.Time) {
	s := &c.sections[id]
	if at == s.position() && s.asOf.Before(asOf) {
		s.asOf = asOf
	}
}

// UnsettledUntil returns the time as of which the store must be read for the state of a section to be
// settled, or zero if it was.
func (c *Core) UnsettledUntil(id Section) time.Time {
	if settled := c.reachableSince.Add(ExpiryGrace); c.sections[id].asOf.Before(settled) {
		return settled
	}
	return time.Time{}
}

// remove deletes an entry. Unless settled is true, an upstream may only have
// expired, and an entry of an earlier era may be missing in the copy of the store: it is
// kept until such entries are back, at least until the given time.
func (c *Core) remove(now time.Time, s *section, key string, settled bool, until time.Time) {
	it := s.items[key]
	_, upstream := it.decoded.(route.Upstream)
	if settled || it.removed() || !upstream && it.era == s.era {
		s.delete(now, key)
		return
	}
	if it.expiresAt.IsZero() {
		it.expiresAt = until
		s.set(key, it)
	}
}

// graceEnd returns when an entry that is missing now counts as deleted: ExpiryGrace after
// the store became reachable again. As long as that is not known, or if another gateway
// has found the entry missing, it is ExpiryGrace from now.
func (c *Core) graceEnd(now time.Time) time.Time {
	if end := c.reachableSince.Add(ExpiryGrace); !c.storeUnreachable && now.Before(end) {
		return end
	}
	return now.Add(ExpiryGrace)
}

// holdBack holds back an upstream of the copy whose entry is older than what was known, up to a revision,
// before the store was restored. The item of before is nil if the upstream was not known.
func (c *Core) holdBack(now time.Time, s *section, key string, known Revision, before *item) {
	it := s.items[key]
	copied, ok := it.decoded.(route.Upstream)
	if !ok {
		return
	}
	switch {
	case before != nil && !before.removed():
		was, ok := before.inForce().(route.Upstream)
		if !ok {
			return
		}
		latest := latestOf(was, copied, it.entry.Revision <= known)
		if latest == copied {
			return
		}
		it.held = latest
	case !s.removedLately(now, it, known):
		return
	}
	it.heldUntil = c.graceEnd(now)
	s.set(key, it)
}

// latestOf returns an upstream as it is in force, given what was known and what a copy has. An upstream
// that leaves never becomes ready again, and one that is warm stays so. An earlier run counts only
// if its entry may be older than what was known: the clock of a VM may have been set back.
func latestOf(was, copied route.Upstream, mayBeOlder bool) route.Upstream {
	switch {
	case mayBeOlder && copied.StartedAtMillis < was.StartedAtMillis:
		return was
	case copied.Incarnation() == was.Incarnation():
		copied.Leaving = copied.Leaving || was.Leaving
		copied.ColdFor = min(copied.ColdFor, was.ColdFor)
	}
	return copied
}

// release makes the item of a key count as its entry.
func (s *section) release(key string) {
	it := s.items[key]
	it.release()
	s.set(key, it)
}

// settles reports whether a state decides on an entry that is kept or held until a time, or that is missing
// for the first time if that is zero. A gateway that has missed an outage sends settled states, so that one which has
// seen it, and will soon know itself, doesn't believe them yet.
func (c *Core) settles(now time.Time, state State, until time.Time) bool {
	return state.Settled && (c.storeUnreachable || c.Settled(now) || !until.IsZero() && !now.Before(until))
}

// decide drops the kept entries that are missing in an older settled state of the same era, and releases the
// held ones that it has. What has changed since is known.
func (c *Core) decide(now time.Time, s *section, state State) {
	if state.Era != s.era {
		return
	}
	present := make(map[string]Revision, len(state.Entries))
	for _, e := range state.Entries {
		present[e.Key] = e.Revision
	}
	for key, it := range s.items {
		until := it.pendingUntil()
		if until.IsZero() || !c.settles(now, state, until) {
			continue
		}
		revision, ok := present[key]
		switch {
		case !it.expiresAt.IsZero() && !ok && (it.era < s.era || it.entry.Revision <= state.Revision):
			s.delete(now, key)
		case it.expiresAt.IsZero() && ok && revision == it.entry.Revision:
			s.release(key)
		}
	}
}

// pendingUntil returns the earliest time as of which a section must be known to decide on a kept or
// held entry, or zero if there is none.
func (c *Core) pendingUntil(id Section) time.Time {
	var next time.Time
	for _, it := range c.sections[id].items {
		if end := it.pendingUntil(); !end.IsZero() && (next.IsZero() || end.Before(next)) {
			next = end
		}
	}
	return next
}

// PendingUntil returns the time as of which the store must be read to decide on a kept or held entry
// of a section, or zero if there is none.
func (c *Core) PendingUntil(id Section) time.Time {
	until := c.pendingUntil(id)
	if settled := c.reachableSince.Add(ExpiryGrace); !until.IsZero() && until.Before(settled) {
		return settled
	}
	return until
}

// NeedsSettled reports whether it may be decided by now which kept or held entries are in force, but
// only a settled state of another gateway can tell: the store does not respond, or calls fail so often
// that no read has told for settleDelay.
func (c *Core) NeedsSettled(now time.Time, id Section) bool {
	until := c.pendingUntil(id)
	if !c.storeUnreachable {
		now = now.Add(-settleDelay)
	}
	return !until.IsZero() && !now.Before(until)
}

// over reports whether a section is known as of a time, and as of one at which a missing entry counts
// as deleted.
func (c *Core) over(s *section, until time.Time) bool {
	return !s.asOf.Before(until) && c.Settled(s.asOf)
}
