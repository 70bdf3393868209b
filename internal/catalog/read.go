package catalog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/transfer"
)

var (
	errInterrupted = errors.New("interrupted")
	errSuperseded  = errors.New("another gateway sent newer state")
)

// Kinds of reads.
const (
	kindRange = "range"
	kindWatch = "watch"
	kindFetch = "fetch"
)

// read is one read of a section from the store or from another gateway.
type read struct {
	*transfer.Transfer
	section   Section
	kind      string
	startedAt time.Time
	// after is the position of the section that was known when the read started, and era
	// the latest era.
	after Position
	era   Era
	// reread reports that it started after the report that made it necessary.
	reread bool
	// wait is how long the store may hold a watch open, and timeout the time after which the next read
	// starts although this one has no response yet.
	wait, timeout time.Duration
	// changePause is the delay before the next call if this one returns changes.
	changePause time.Duration
	// overdue, if set, is the timer of a late read of a slow store that records the store as unreachable.
	overdue *time.Timer
	// ended reports that the result has been applied.
	ended bool
}

// completedRead is the size of a response, and the time from its first byte to its
// last.
type completedRead struct {
	bytes    int
	duration time.Duration
}

// startRead starts a read with the given limits of its response. The caller must call
// end.
func startRead(ctx context.Context, s Section, kind string, limits transfer.Limits) *read {
	return &read{Transfer: transfer.Start(ctx, limits), section: s, kind: kind, startedAt: time.Now()}
}

// supersede cancels the read if it started before a position became known: its
// response may contain that large change again.
func (r *read) supersede(known Position) {
	if r.after.Before(known) && !r.CancelIdle(errInterrupted) {
		r.Cancel(errSuperseded)
	}
}

func (r *read) end() completedRead {
	n, d := r.End()
	return completedRead{n, d}
}

// startStoreRead starts a read of the store, which supersede and interruptIdleRead
// may cancel.
func (t *Task) startStoreRead(ctx context.Context, s Section, kind string, wait time.Duration) *read {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &t.followers[s]
	r := startRead(ctx, s, kind, transfer.Limits{Response: wait + lateLimit, Stall: f.late.stall()})
	r.after, r.era, r.reread, r.wait = t.core.Position(s), t.core.Era(), f.reread, wait
	r.timeout = f.late.timeout(r)
	f.read = r
	if kind == kindRange {
		f.settling.startedAt = r.startedAt
	}
	t.countCall(s, kind)
	return r
}

// endStoreRead ends a read of the store, counts it, and logs it if it failed. The
// returned error is the cause if the read was cancelled. untilEnd reports that the store held a
// watch open until its end, or that the read is no watch.
func (t *Task) endStoreRead(ctx context.Context, r *read, err error, untilEnd bool) (completedRead, error) {
	cause := r.Cause()
	done := r.end()
	t.bytesReceived.Add(uint64(done.bytes))
	if err != nil && cause != nil {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	t.noteResponse(r, done, err, untilEnd)
	switch {
	case err == nil, isCancelled(err), ctx.Err() != nil, errors.Is(err, ErrCompacted), errors.Is(err, ErrRestored):
	case done.bytes > 0 || r.section != Upstreams:
		t.readsCut.Add(1)
		t.Log.WriteThrottled(event.ReadCut, r.section.String(), "read", r.kind, "bytes", done.bytes,
			"after_ms", done.duration.Milliseconds(), "error", err)
	}
	return done, err
}

// isCancelled reports whether a read ended because this gateway needs its response no longer.
func isCancelled(err error) bool {
	return errors.Is(err, errSuperseded) || errors.Is(err, errInterrupted)
}

// noteResponse notes what a response, of which a part may have arrived, tells of the store.
func (t *Task) noteResponse(r *read, done completedRead, err error, untilEnd bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &t.followers[r.section]
	if done.bytes > 0 || err == nil {
		f.late.noteDelay(r, time.Since(r.startedAt)-done.duration, untilEnd)
	}
	if r.kind == kindRange && !isCancelled(err) {
		f.settling.end(r.startedAt)
	}
	if err != nil {
		return
	}
	f.lastRead = done
	if f.late.answeredStart.Before(r.startedAt) {
		f.late.answeredStart = r.startedAt
	}
}
