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
	// Behind is how long another gateway has reported newer state.
	Behind time.Duration
	// BytesReceived counts the bytes of the store's responses.
	BytesReceived uint64
	// ReadsCut counts the reads of the store that ended early after the first byte
	// of the response.
	ReadsCut uint64
	// FetchesFailed counts the failed fetches from other gateways.
	FetchesFailed uint64
}

// Stats returns the counts so far.
func (t *Task) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Stats{
		Behind: t.behind(time.Now()), BytesReceived: t.bytesReceived.Load(),
		ReadsCut: t.readsCut.Load(), FetchesFailed: t.fetchesFailed.Load(),
	}
}

// behind returns how long another gateway has reported newer state.
func (t *Task) behind(now time.Time) time.Duration {
	if t.peerRevision <= t.core.Revision() {
		return 0
	}
	return now.Sub(t.peerRevisionSince)
}

// reportBehind logs once that another gateway has had newer state for
// behindAfter.
func (t *Task) reportBehind(now time.Time, address string, r Revision) {
	if t.behindReported || t.behind(now) < behindAfter {
		return
	}
	t.behindReported = true
	t.Log.Write(event.StateBehind, "gateway", address, "its_revision", uint64(r), "revision", uint64(t.core.Revision()),
		"behind_ms", t.behind(now).Milliseconds())
}

// reportCaughtUp logs the end of what reportBehind logged.
func (t *Task) reportCaughtUp(now time.Time) {
	if !t.behindReported || t.behind(now) > 0 {
		return
	}
	t.behindReported = false
	t.Log.Write(event.StateCaughtUp, "revision", uint64(t.core.Revision()), "behind_ms", now.Sub(t.peerRevisionSince).Milliseconds())
}
