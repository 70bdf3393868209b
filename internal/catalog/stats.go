package catalog

import (
	"time"

	"jasminewing.dev/jasminewing/internal/event"
)

// behindAfter is how long another gateway may report newer state before that is
// logged.
const behindAfter = time.Second

// Stats are counts of what a task has read.
type Stats struct {
	// Behind is how long another gateway has reported newer state of a section.
	Behind time.Duration
	// BytesReceived counts the bytes of the store's responses.
	BytesReceived uint64
	// ReadsCut counts the reads of the store that ended before the response was
	// complete. Reads of the upstreams without a response count as an outage instead.
	ReadsCut uint64
	// FetchesFailed counts the failed fetches from other gateways.
	FetchesFailed uint64
	// Era is the latest era of the store that is known; zero if it doesn't tell.
	Era Era
	// Restores counts how often a later era became known.
	Restores uint64
	// Sections has the stats of each section.
	Sections [SectionCount]SectionStats
}

// Stats returns the counts so far.
func (t *Task) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Stats{BytesReceived: t.bytesReceived.Load(), ReadsCut: t.readsCut.Load(), FetchesFailed: t.fetchesFailed.Load(), Era: t.core.Era(), Restores: t.restores}
	for section := range SectionCount {
		s.Behind = max(s.Behind, t.behind(time.Now(), section))
		s.Sections[section] = t.sectionStats(section)
	}
	return s
}

// behind returns how long another gateway has reported newer state of a section.
func (t *Task) behind(now time.Time, s Section) time.Duration {
	f := &t.followers[s]
	if !t.core.Position(s).Before(f.peerPosition) {
		return 0
	}
	return now.Sub(f.peerPositionSince)
}

// reportBehind logs once that another gateway has had newer state of a section for
// behindAfter.
func (t *Task) reportBehind(now time.Time, s Section, address string, p Position) {
	f := &t.followers[s]
	if f.behindReported || t.behind(now, s) < behindAfter {
		return
	}
	f.behindReported = true
	at := t.core.Position(s)
	t.Log.Write(event.StateBehind, "section", s, "gateway", address, "its_era", int64(p.Era), "its_revision", uint64(p.Revision),
		"era", int64(at.Era), "revision", uint64(at.Revision), "behind_ms", t.behind(now, s).Milliseconds())
}

// reportCaughtUp logs the end of what reportBehind logged.
func (t *Task) reportCaughtUp(now time.Time) {
	for s := range SectionCount {
		f := &t.followers[s]
		if f.behindReported && t.behind(now, s) == 0 {
			f.behindReported = false
			t.Log.Write(event.StateCaughtUp, "section", s, "era", int64(t.core.Position(s).Era), "revision", uint64(t.core.Revision(s)),
				"behind_ms", now.Sub(f.peerPositionSince).Milliseconds())
		}
	}
}
