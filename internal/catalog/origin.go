package catalog

import (
	"bytes"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/route"
)

// Source is where the state of a section comes from: SourceStore, or the address of another
// gateway.
type Source string

// SourceStore is the source of what the store itself returned.
const SourceStore Source = "store"

// FromGateway reports whether the state comes from another gateway.
func (s Source) FromGateway() bool { return s != "" && s != SourceStore }

// answer is a successful response of the store or of another gateway.
type answer struct {
	section Section
	source  Source
	at      Position
	// after is the position of the section that was known when it was requested.
	after Position
	// state holds the entries of a complete state; it is nil for changes.
	state []Entry
}

// provenance is where the known state of a section comes from.
type provenance struct {
	source Source
	// confirmedAt is when a response last led to the known position, with or without changes.
	confirmedAt time.Time
	// ranges and watches count the calls to the store.
	ranges, watches uint64
	// ignoredStore and ignoredGateway count the states that were ignored, by who sent them.
	ignoredStore, ignoredGateway uint64
}

// applyAnswer applies an answer with change, and notes where the known state comes from.
func (t *Task) applyAnswer(a answer, change func(*Core, time.Time) []SkippedEntry) {
	t.apply(func(c *Core, now time.Time) []SkippedEntry {
		skipped := change(c, now)
		t.noteAnswer(now, a)
		return skipped
	})
}

// noteAnswer notes an answer that was passed to the core. One that is older than what was known
// before it was requested, or that has older entries, was ignored: within one history the store
// never goes back. An answer that another one overtook meanwhile is not reported. The caller must
// hold t.mu.
func (t *Task) noteAnswer(now time.Time, a answer) {
	p := &t.provenance[a.section]
	known := t.core.Position(a.section)
	switch {
	case a.at.Before(known) && a.at.Before(a.after), t.core.keepsNewer(a.section, a.state, a.at.Revision):
		t.reportIgnored(a)
	case known == a.at:
		p.source, p.confirmedAt = a.source, now
	}
}

// keepsNewer reports whether the core keeps a value of the present era, written at a revision or before,
// that is not the one in a complete state as of that revision.
func (c *Core) keepsNewer(id Section, state []Entry, revision Revision) bool {
	for _, e := range state {
		it, ok := c.sections[id].items[e.Key]
		known := it.entry
		if !ok || it.era < c.sections[id].era || known.Revision > revision {
			continue
		}
		if known.Revision > e.Revision || known.Revision == e.Revision && !bytes.Equal(known.Value, e.Value) {
			return true
		}
	}
	return false
}

// reportIgnored counts and logs an answer that was ignored. The caller must hold t.mu.
func (t *Task) reportIgnored(a answer) {
	p := &t.provenance[a.section]
	if a.source.FromGateway() {
		p.ignoredGateway++
	} else {
		p.ignoredStore++
	}
	t.Log.WriteThrottled(event.StateIgnored, a.section.String()+" "+string(a.source), t.positionFields(a.section, a.source, a.at, t.core.Position(a.section).Era)...)
}

// positionFields returns the fields of a log line that compare a position with the known revision
// of an era. The caller must hold t.mu.
func (t *Task) positionFields(s Section, source Source, at Position, era Era) []any {
	return []any{
		"section", s, "source", source, "its_era", int64(at.Era), "its_revision", uint64(at.Revision),
		"era", int64(era), "revision", uint64(t.core.Revision(s)),
	}
}

// origin returns where the routing table of a new view comes from. The caller must hold t.mu.
func (t *Task) origin(now time.Time, before, v *route.View) route.Origin {
	p := &t.provenance[RoutingTable]
	at := t.core.Position(RoutingTable)
	o := route.Origin{
		Era: int64(at.Era), Revision: int64(at.Revision), Source: string(p.source),
		AppliedAt: before.Origin.AppliedAt, ConfirmedAt: p.confirmedAt,
	}
	if v.Table != before.Table {
		o.AppliedAt = now
	}
	return o
}

// countCall counts a call to the store. The caller must hold t.mu.
func (t *Task) countCall(s Section, kind string) {
	if kind == kindRange {
		t.provenance[s].ranges++
		return
	}
	t.provenance[s].watches++
}

// SectionStats tell what is known of a section and what was read for it.
type SectionStats struct {
	// Position is as far as the section is known.
	Position Position
	// Source is who sent that position; it is empty until a response has been applied.
	Source Source
	// ConfirmedAt is when a response last led to that position; it is zero before the first.
	ConfirmedAt time.Time
	// Ranges and Watches count the calls to the store.
	Ranges, Watches uint64
	// IgnoredStore and IgnoredGateway count what the store and other gateways sent and what was
	// ignored as older than the known state.
	IgnoredStore, IgnoredGateway uint64
}

// sectionStats returns the stats of a section. The caller must hold t.mu.
func (t *Task) sectionStats(s Section) SectionStats {
	p := t.provenance[s]
	return SectionStats{
		Position: t.core.Position(s), Source: p.source, ConfirmedAt: p.confirmedAt,
		Ranges: p.ranges, Watches: p.watches, IgnoredStore: p.ignoredStore, IgnoredGateway: p.ignoredGateway,
	}
}
