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

// LapseGrace is how long after regained contact a vanished upstream is kept:
// the platform promises lapsed entries back within about two seconds.
const LapseGrace = 2 * time.Second

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

// OutMark takes a data centre out.
type OutMark struct{ DataCentre route.DataCentre }

// Fault is an entry that was left out.
type Fault struct {
	Key   string
	Cause error
}

// Core holds what is published. Set Decode before use.
type Core struct {
	// Decode gives a *route.Table, a route.Upstream or an OutMark; nil for an
	// entry that concerns nobody here.
	Decode func(key string, value []byte) (any, error)

	at       Revision
	loaded   bool
	items    map[string]item
	regained time.Time
	away     bool
	table    *route.Table
}

type item struct {
	entry   Entry
	decoded any
	// lapsed is when a vanished item ceases to count; zero for one that stands.
	lapsed time.Time
}

// At gives the revision of what is known.
func (c *Core) At() Revision { return c.at }

// Loaded says that a whole state has been read.
func (c *Core) Loaded() bool { return c.loaded }

// Contact notes whether the store answers; it says whether that is news.
func (c *Core) Contact(now time.Time, reached bool) (changed bool) {
	changed = c.away == reached
	if reached && c.away {
		c.regained = now
	}
	c.away = !reached
	return changed
}

// Away says that the store did not answer when it was last asked.
func (c *Core) Away() bool { return c.away }

// Settled says that a missing entry is gone: the store has answered since
// LapseGrace or longer.
func (c *Core) Settled(now time.Time) bool {
	return !c.away && now.Sub(c.regained) >= LapseGrace
}

// Load takes a whole state as of a revision, unless it is older than what is
// known. settled says that what it lacks is gone; else it may have lapsed.
func (c *Core) Load(now time.Time, entries []Entry, at Revision, settled bool) []Fault {
	if c.loaded && at < c.at {
		return nil
	}
	present := make(map[string]bool, len(entries))
	var faults []Fault
	for _, e := range entries {
		present[e.Key] = true
		faults = c.put(e, faults)
	}
	for key, it := range c.items {
		if !present[key] && it.entry.Revision <= at {
			c.remove(now, key, settled)
		}
	}
	c.at, c.loaded = max(c.at, at), true
	return faults
}

// Change takes changes in the order of revisions.
func (c *Core) Change(now time.Time, changes []Entry, at Revision) []Fault {
	var faults []Fault
	for _, e := range changes {
		if e.Deleted {
			if it, ok := c.items[e.Key]; ok && it.entry.Revision < e.Revision {
				c.remove(now, e.Key, c.Settled(now))
			}
			continue
		}
		faults = c.put(e, faults)
	}
	c.at = max(c.at, at)
	return faults
}

func (c *Core) put(e Entry, faults []Fault) []Fault {
	if c.items == nil {
		c.items = make(map[string]item)
	}
	held, ok := c.items[e.Key]
	if ok && held.entry.Revision >= e.Revision {
		held.lapsed = time.Time{}
		c.items[e.Key] = held
		return faults
	}
	decoded, err := c.Decode(e.Key, e.Value)
	if err != nil {
		faults = append(faults, Fault{e.Key, err})
	}
	if t, isTable := decoded.(*route.Table); isTable {
		faults = c.takeTable(t, e.Key, faults)
	}
	c.items[e.Key] = item{entry: e, decoded: decoded}
	return faults
}

// takeTable puts a table in force unless its version is older.
func (c *Core) takeTable(t *route.Table, key string, faults []Fault) []Fault {
	if c.table != nil && t.Version < c.table.Version {
		return append(faults, Fault{key, fmt.Errorf("version %d is older than %d, which is in force", t.Version, c.table.Version)})
	}
	t.Index()
	c.table = t
	return faults
}

// remove takes an item out. An upstream's may have lapsed, unless settled.
func (c *Core) remove(now time.Time, key string, settled bool) {
	it := c.items[key]
	if _, upstream := it.decoded.(route.Upstream); upstream && !settled {
		if it.lapsed.IsZero() {
			it.lapsed = now.Add(LapseGrace)
			c.items[key] = it
		}
		return
	}
	delete(c.items, key)
}

// Next gives when the view changes by itself; zero for never.
func (c *Core) Next() time.Time {
	var next time.Time
	for _, it := range c.items {
		if !it.lapsed.IsZero() && (next.IsZero() || it.lapsed.Before(next)) {
			next = it.lapsed
		}
	}
	return next
}

// View gives what is in force at a time. What lapsed by then is dropped.
func (c *Core) View(now time.Time) *route.View {
	v := &route.View{Revision: int64(c.at), Table: c.table, DataCentresOut: make(map[route.DataCentre]bool)}
	for key, it := range c.items {
		if !it.lapsed.IsZero() && !now.Before(it.lapsed) && !c.away {
			delete(c.items, key)
			continue
		}
		switch d := it.decoded.(type) {
		case route.Upstream:
			v.Upstreams = append(v.Upstreams, d)
		case OutMark:
			v.DataCentresOut[d.DataCentre] = true
		}
	}
	slices.SortFunc(v.Upstreams, func(a, b route.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// Entries gives what stands, for another gateway, in the order of keys.
func (c *Core) Entries() []Entry {
	var out []Entry
	for _, it := range c.items {
		if it.lapsed.IsZero() {
			out = append(out, it.entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Key, b.Key) })
	return out
}
