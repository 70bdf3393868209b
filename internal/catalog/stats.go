package catalog

import (
	"context"
	"sync/atomic"
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

// read measures one read of the store.
type read struct {
	kind    string
	startAt time.Time
	// firstByteAt is in nanoseconds after startAt, or zero before the first byte.
	firstByteAt atomic.Int64
	bytes       atomic.Int64
}

// completedRead is the size of a response, and the time from its first byte to its
// last.
type completedRead struct {
	bytes    int64
	duration time.Duration
}

func (t *Task) startRead(kind string) *read { return &read{kind: kind, startAt: time.Now()} }

func (r *read) receive(bytes int) {
	r.firstByteAt.CompareAndSwap(0, int64(time.Since(r.startAt)))
	r.bytes.Add(int64(bytes))
}

func (r *read) duration() time.Duration {
	return time.Since(r.startAt) - time.Duration(r.firstByteAt.Load())
}

// endRead counts a read, and logs one that ended early unless the process stops.
func (t *Task) endRead(ctx context.Context, r *read, err error) {
	t.bytesReceived.Add(uint64(r.bytes.Load()))
	switch {
	case err == nil:
		t.mu.Lock()
		t.lastRead = completedRead{r.bytes.Load(), r.duration()}
		t.mu.Unlock()
	case r.bytes.Load() > 0 && ctx.Err() == nil:
		t.readsCut.Add(1)
		t.Log.WriteThrottled(event.ReadCut, r.kind, "bytes", r.bytes.Load(), "after_ms", r.duration().Milliseconds(), "error", err)
	}
}
