// Package catalog tracks the state that the platform publishes in its store: the
// routing table, the upstreams, and the data centres that are out of service.
// Core does no I/O. Task reads the store, and fetches the state of another gateway
// that reports a newer revision if the store does not deliver it in time.
//
// Revisions only increase: state older than the known state is never applied,
// whatever its source. An entry that cannot be decoded is skipped and logged, and
// the other entries stay valid. If the table cannot be decoded, the last valid
// version stays in force.
//
// Entries of upstreams expire while the store is unavailable and are published
// again soon after it recovers. An upstream whose entry disappears right after the
// store became reachable again is therefore kept for ExpiryGrace.
//
// # Usage
//
//	c := &catalog.Core{Decode: decode}
//	skipped := c.ApplyState(now, entries, revision, false)
//	skipped = c.ApplyChanges(now, changes, revision)
//	view := c.View(now)
package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

// ExpiryGrace is how long after the store became reachable again the entry of an
// upstream may be missing because it expired, and how long such an upstream is
// kept. The platform promises to restore expired entries within about two seconds.
const ExpiryGrace = 2 * time.Second

// Revision is a revision of the store. It increases with each change.
type Revision uint64

// Entry is one published key with its encoded value.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	// Deleted reports that the entry was deleted at Revision.
	Deleted bool
}

// DataCentreOut is a decoded entry that takes a data centre out of service.
type DataCentreOut struct{ DataCentre route.DataCentre }

// SkippedEntry is an entry that was not applied, with the reason.
type SkippedEntry struct {
	Key   string
	Cause error
}

// Core holds the published state. Set Decode before use.
type Core struct {
	// Decode returns a *route.Table, a route.Upstream or a DataCentreOut, or nil
	// for an entry that gateways do not use.
	Decode func(key string, value []byte) (any, error)

	revision         Revision
	loaded           bool
	items            map[string]item
	reachableSince   time.Time
	storeUnreachable bool
	table            *route.Table
}

type item struct {
	entry   Entry
	decoded any
	// expiresAt is when an upstream whose entry disappeared is removed. It is
	// zero while the entry is published.
	expiresAt time.Time
}

// Revision returns the revision of the known state.
func (c *Core) Revision() Revision { return c.revision }

// Loaded reports whether a complete state has been applied.
func (c *Core) Loaded() bool { return c.loaded }

// SetStoreReachable records whether the store responds, and reports whether that
// changed.
func (c *Core) SetStoreReachable(now time.Time, reachable bool) (changed bool) {
	changed = c.storeUnreachable == reachable
	if reachable && c.storeUnreachable {
		c.reachableSince = now
	}
	c.storeUnreachable = !reachable
	return changed
}

// StoreUnreachable reports whether the last call to the store failed.
func (c *Core) StoreUnreachable() bool { return c.storeUnreachable }

// Settled reports whether a missing entry counts as deleted rather than expired:
// the store has been reachable for at least ExpiryGrace.
func (c *Core) Settled(now time.Time) bool {
	return !c.storeUnreachable && now.Sub(c.reachableSince) >= ExpiryGrace
}

// ApplyState applies a complete state as of a revision, unless it is older than
// the known state. If settled is true, entries missing from it are deleted;
// otherwise missing upstreams may only have expired and are kept for ExpiryGrace.
func (c *Core) ApplyState(now time.Time, entries []Entry, revision Revision, settled bool) []SkippedEntry {
	if c.loaded && revision < c.revision {
		return nil
	}
	present := make(map[string]bool, len(entries))
	var skipped []SkippedEntry
	for _, e := range entries {
		present[e.Key] = true
		skipped = c.put(e, skipped)
	}
	for key, it := range c.items {
		if !present[key] && it.entry.Revision <= revision {
			c.remove(now, key, settled)
		}
	}
	c.revision, c.loaded = max(c.revision, revision), true
	return skipped
}

// ApplyChanges applies changes, which must be in the order of their revisions.
// The state is then as of the given revision.
func (c *Core) ApplyChanges(now time.Time, changes []Entry, revision Revision) []SkippedEntry {
	var skipped []SkippedEntry
	for _, e := range changes {
		if e.Deleted {
			if it, ok := c.items[e.Key]; ok && it.entry.Revision < e.Revision {
				c.remove(now, e.Key, c.Settled(now))
			}
			continue
		}
		skipped = c.put(e, skipped)
	}
	c.revision = max(c.revision, revision)
	return skipped
}

func (c *Core) put(e Entry, skipped []SkippedEntry) []SkippedEntry {
	if c.items == nil {
		c.items = make(map[string]item)
	}
	known, ok := c.items[e.Key]
	if ok && known.entry.Revision >= e.Revision {
		known.expiresAt = time.Time{}
		c.items[e.Key] = known
		return skipped
	}
	decoded, err := c.Decode(e.Key, e.Value)
	if err != nil {
		skipped = append(skipped, SkippedEntry{e.Key, err})
	}
	if t, isTable := decoded.(*route.Table); isTable {
		skipped = c.applyTable(t, e.Key, skipped)
	}
	c.items[e.Key] = item{entry: e, decoded: decoded}
	return skipped
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

// remove deletes an entry. Unless settled is true, an upstream may only have
// expired and is kept for ExpiryGrace.
func (c *Core) remove(now time.Time, key string, settled bool) {
	it := c.items[key]
	if _, upstream := it.decoded.(route.Upstream); upstream && !settled {
		if it.expiresAt.IsZero() {
			it.expiresAt = now.Add(ExpiryGrace)
			c.items[key] = it
		}
		return
	}
	delete(c.items, key)
}

// NextExpiry returns the earliest time at which a kept upstream expires, or zero
// if none is pending.
func (c *Core) NextExpiry() time.Time {
	var next time.Time
	for _, it := range c.items {
		if !it.expiresAt.IsZero() && (next.IsZero() || it.expiresAt.Before(next)) {
			next = it.expiresAt
		}
	}
	return next
}

// View returns the state in force at a time. It drops upstreams that have expired
// by then, except while the store is unreachable.
func (c *Core) View(now time.Time) *route.View {
	v := &route.View{Revision: int64(c.revision), Table: c.table, DataCentresOut: make(map[route.DataCentre]bool)}
	for key, it := range c.items {
		if !it.expiresAt.IsZero() && !now.Before(it.expiresAt) && !c.storeUnreachable {
			delete(c.items, key)
			continue
		}
		switch d := it.decoded.(type) {
		case route.Upstream:
			v.Upstreams = append(v.Upstreams, d)
		case DataCentreOut:
			v.DataCentresOut[d.DataCentre] = true
		}
	}
	slices.SortFunc(v.Upstreams, func(a, b route.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// Entries returns the published entries sorted by key, to be sent to another
// gateway. Entries that may have expired are left out.
func (c *Core) Entries() []Entry {
	var out []Entry
	for _, it := range c.items {
		if it.expiresAt.IsZero() {
			out = append(out, it.entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return out
}
