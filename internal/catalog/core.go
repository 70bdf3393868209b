// Package catalog follows what the platform publishes: the routing table, the
// upstreams and the data centres that are out. The core does no I/O; Task reads
// the store and asks other gateways when the store does not answer.
//
// Revisions only grow: what is older than what is known is never applied, from
// whichever source. An entry that cannot be decoded is left out and logged, and
// the others hold; for the table the last good version stays in force.
//
// The entries of upstreams lapse while the store is away, and are back soon
// after it is. So an entry that vanishes right after contact was regained is
// kept for LapseGrace.
//
// # Usage
//
//	c := &catalog.Core{Decode: decode}
//	faults := c.Load(now, entries, at, false)
//	faults = c.Change(now, changes, at)
//	view := c.View(now)
package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

// ExpiryGrace is how long after regained contact a vanished upstream is kept:
// the platform promises lapsed entries back within about two seconds.
const ExpiryGrace = 2 * time.Second

// Revision is the store's; it grows with each change.
type Revision uint64

// Entry is one published item, as bytes.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	// Deleted says that the item is gone as of Revision.
	Deleted bool
}

// DataCentreOut takes a data centre out.
type DataCentreOut struct{ DataCentre route.DataCentre }

// SkippedEntry is an entry that was left out.
type SkippedEntry struct {
	Key   string
	Cause error
}

// Core holds what is published. Set Decode before use.
type Core struct {
	// Decode gives a *route.Table, a route.Upstream or an OutMark; nil for an
	// entry that concerns nobody here.
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
	// expiresAt is when a vanished item ceases to count; zero for one that stands.
	expiresAt time.Time
}

// Revision gives the revision of what is known.
func (c *Core) Revision() Revision { return c.revision }

// Loaded says that a whole state has been read.
func (c *Core) Loaded() bool { return c.loaded }

// SetStoreReachable notes whether the store answers; it says whether that is news.
func (c *Core) SetStoreReachable(now time.Time, reachable bool) (changed bool) {
	changed = c.storeUnreachable == reachable
	if reachable && c.storeUnreachable {
		c.reachableSince = now
	}
	c.storeUnreachable = !reachable
	return changed
}

// StoreUnreachable says that the store did not answer when it was last asked.
func (c *Core) StoreUnreachable() bool { return c.storeUnreachable }

// Settled says that a missing entry is gone: the store has answered since
// LapseGrace or longer.
func (c *Core) Settled(now time.Time) bool {
	return !c.storeUnreachable && now.Sub(c.reachableSince) >= ExpiryGrace
}

// ApplyState takes a whole state as of a revision, unless it is older than what is
// known. settled says that what it lacks is gone; else it may have lapsed.
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

// ApplyChanges takes changes in the order of revisions.
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

// applyTable puts a table in force unless its version is older.
func (c *Core) applyTable(t *route.Table, key string, skipped []SkippedEntry) []SkippedEntry {
	if c.table != nil && t.Version < c.table.Version {
		return append(skipped, SkippedEntry{key, fmt.Errorf("version %d is older than %d, which is in force", t.Version, c.table.Version)})
	}
	t.Index()
	c.table = t
	return skipped
}

// remove takes an item out. An upstream's may have lapsed, unless settled.
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

// NextExpiry gives when the view changes by itself; zero for never.
func (c *Core) NextExpiry() time.Time {
	var next time.Time
	for _, it := range c.items {
		if !it.expiresAt.IsZero() && (next.IsZero() || it.expiresAt.Before(next)) {
			next = it.expiresAt
		}
	}
	return next
}

// View gives what is in force at a time. What lapsed by then is dropped.
func (c *Core) View(now time.Time) *route.View {
	v := &route.View{Revision: int64(c.revision), Table: c.table, Out: make(map[route.DataCentre]bool)}
	for key, it := range c.items {
		if !it.expiresAt.IsZero() && !now.Before(it.expiresAt) && !c.storeUnreachable {
			delete(c.items, key)
			continue
		}
		switch d := it.decoded.(type) {
		case route.Upstream:
			v.Upstreams = append(v.Upstreams, d)
		case DataCentreOut:
			v.Out[d.DataCentre] = true
		}
	}
	slices.SortFunc(v.Upstreams, func(a, b route.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// Entries gives what stands, for another gateway, in the order of keys.
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
