package catalog

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/transfer"
)

const (
	// maxLate is the number of late reads of a section that go on beside its current one. While the store
	// is silent a call is made about once a second, so that within lateLimit hardly more are late.
	maxLate = 4
	// lateLimit bounds the time until the response of a late read begins, beyond the time for which the
	// store may hold a watch open.
	lateLimit = 5 * time.Second
	// delayMargin is the factor by which a response may take longer than the known delay before the store
	// counts as unreachable.
	delayMargin = 2
)

// lateReads are the reads of a section whose responses didn't begin in time, and what is known of the
// delay. A slow store is heard only if such reads go on. The next read doesn't wait for them, because their
// connections may have silently failed, and because a watch of a slow store has ended there long before
// its response arrives.
type lateReads struct {
	reads []*read
	// delay is how long responses take to begin, beyond the time for which the store holds a watch open.
	delay time.Duration
	// answeredStart is when the latest read started that has been answered.
	answeredStart time.Time
}

// slow reports whether responses are known to take longer than answerTimeout.
func (l *lateReads) slow() bool { return l.delay >= answerTimeout }

// patience is how long after the wait of a watch a response is expected to have begun.
func (l *lateReads) patience() time.Duration {
	return min(max(delayMargin*l.delay, answerTimeout), lateLimit)
}

// timeout returns the time after which the next read starts although a read has no response yet. A
// watch is followed by the next one soon after the store has ended it. A range of a slow store is
// followed by another one only if it takes longer than expected, as each returns the complete section.
func (l *lateReads) timeout(r *read) time.Duration {
	if r.kind == kindWatch && len(l.reads) < maxLate {
		return r.wait + answerTimeout
	}
	return r.wait + l.patience()
}

// stall returns the time without progress after which a response is given up. The pages of a range
// are requested one by one, and each takes the delay.
func (l *lateReads) stall() time.Duration { return max(stallTimeout, l.patience()) }

// noteDelay notes how long a response took to begin. The delay is known if the store held the watch open until
// its end; otherwise only its bounds are.
func (l *lateReads) noteDelay(r *read, began time.Duration, untilEnd bool) {
	least := max(began-r.wait, 0)
	if untilEnd {
		// Delays vary. A few short ones don't show that the next is short.
		l.delay = max(least, l.delay*4/5)
		return
	}
	l.delay = min(max(l.delay, least), began)
}

// errLate reports a read that goes on as a late one although the store is not known to be slow. It
// counts as failed.
var errLate = fmt.Errorf("the next call is made: %w", transfer.ErrNoResponse)

// await runs a call of the store, and returns what it returns. If its response doesn't begin in time, the
// call goes on as a late read, and await returns without it: with errLate, or with no error while the store is
// known to be slow.
func (t *Task) await(ctx context.Context, r *read, call func(context.Context, *read) (time.Duration, error)) (time.Duration, error) {
	type result struct {
		pause time.Duration
		err   error
	}
	done := make(chan result, 1)
	t.calls.Go(func() {
		pause, err := call(ctx, r)
		t.endCall(ctx, r, err)
		done <- result{pause, err}
	})
	timer := time.NewTimer(r.timeout)
	defer timer.Stop()
	select {
	case got := <-done:
		return got.pause, got.err
	case <-timer.C:
	}
	if late, err := t.makeLate(r); late {
		return 0, err
	}
	got := <-done
	return got.pause, got.err
}

// makeLate makes a read a late one, unless its response has begun. If too many are late already, it cancels
// the read. The error is that of await.
func (t *Task) makeLate(r *read) (late bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &t.followers[r.section]
	switch {
	case r.ended || r.Begun():
		return false, nil
	case len(f.late.reads) >= maxLate:
		r.CancelIdle(transfer.ErrNoResponse)
		return false, nil
	}
	f.late.reads = append(f.late.reads, r)
	if f.read == r {
		f.read = nil
	}
	if !f.late.slow() {
		t.noteReachability(r.section, errLate)
		return true, errLate
	}
	r.overdue = time.AfterFunc(r.wait+f.late.patience()-time.Since(r.startedAt), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !r.ended && !r.Begun() {
			t.expire(r, transfer.ErrNoResponse)
		}
	})
	return true, nil
}

// endCall ends a call, whose result has been applied.
func (t *Task) endCall(ctx context.Context, r *read, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.ended = true
	if r.overdue != nil {
		r.overdue.Stop()
	}
	l := &t.followers[r.section].late
	n := slices.Index(l.reads, r)
	if n < 0 {
		return
	}
	l.reads = slices.Delete(l.reads, n, n+1)
	if err != nil && ctx.Err() == nil && !errors.Is(err, errInterrupted) && !errors.Is(err, ErrRestored) {
		t.expire(r, err)
	}
}

// expire records that a late read has failed or got no response within the known delay, unless it or one that
// started after it was answered. The caller must hold t.mu.
func (t *Task) expire(r *read, err error) {
	l := &t.followers[r.section].late
	if !l.answeredStart.Before(r.startedAt) {
		return
	}
	if !r.Begun() {
		// The delay before an outage tells nothing of the time after it.
		l.delay = 0
	}
	t.noteReachability(r.section, err)
}

// cancelOtherRanges cancels the late ranges of a section that have no response yet, now that the response of
// one arrives, and the current one once it has been applied. Each returns the complete section, which may take
// a second on a slow link. Ranges that started in another era, or for a report that r precedes, are left alone.
func (t *Task) cancelOtherRanges(r *read, applied bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &t.followers[r.section]
	others := slices.Clone(f.late.reads)
	if applied && f.read != nil {
		others = append(others, f.read)
	}
	for _, o := range others {
		if o != r && o.kind == kindRange && o.era == r.era && o.reread == r.reread {
			o.CancelIdle(errInterrupted)
		}
	}
}
