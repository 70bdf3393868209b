package catalog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
)

const (
	// recoveryWait replaces the wait of a watch while the store is unreachable, so
	// that a watch shows quickly whether it responds again.
	recoveryWait = 100 * time.Millisecond
	// changePause is the delay between a watch that returned changes and the next
	// watch, since changes arrive in bursts and each call is charged.
	// relaxedPause is the same delay for gateways that leave close watching to
	// others, which are most of them. A change must be in force within two
	// seconds.
	changePause  = 100 * time.Millisecond
	relaxedPause = 400 * time.Millisecond
	// answerTimeout bounds the time until a response of the store begins, beyond
	// the time for which it may hold a watch open.
	answerTimeout = 500 * time.Millisecond
	// stallTimeout bounds the time without progress of a response, which has no
	// limit as a whole.
	stallTimeout = time.Second
	// slowTransfer is the transfer time of a response during which newer versions
	// may have been written.
	slowTransfer = 300 * time.Millisecond
	// heardWithin is the age up to which a report of another gateway shows that
	// nothing newer was written.
	heardWithin = time.Second
	// supersededBytes is the size of values in a response that were already
	// superseded in it, from which reading only the newest ones saves time.
	supersededBytes = 64 << 10
	// supersededPause is the delay after a response that another gateway overtook.
	// On such a link the others deliver changes sooner.
	supersededPause = time.Second
	// firstBackoff and maxBackoff bound the exponential backoff after failed
	// calls.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
)

// watchWait is how long the store may hold a watch open without changes. Each watch
// is charged, but a watch whose connection has silently failed is only noticed at
// its timeout.
type watchWait struct {
	// close is the wait of the few gateways that watch closely. A change must be in
	// force within two seconds, a data centre out of service within five.
	close time.Duration
	// relaxed is the wait while enough other gateways that this one hears from
	// watch closely. If this gateway misses a change, it learns of it from them.
	// The watch of the upstreams also shows whether the store responds.
	relaxed time.Duration
}

var watchWaits = [SectionCount]watchWait{
	RoutingTable:   {close: time.Second, relaxed: 20 * time.Second},
	Upstreams:      {close: time.Second, relaxed: 6 * time.Second},
	DataCentresOut: {close: 2 * time.Second, relaxed: 20 * time.Second},
}

// follower is the progress of reading one section.
type follower struct {
	// read is the current or latest read of the store, or nil.
	read *read
	// newestOnly makes the next read return only the newest entries. A watch
	// returns each version that was written since the last, which may be more than
	// the link transfers.
	newestOnly bool
	// mustLoad makes the next read return the complete section, because a watch can't.
	mustLoad bool
	// late are the reads beside the current one.
	late lateReads
	// lastRead is the last complete read of the store or fetch.
	lastRead completedRead
	// fetching prevents concurrent fetches.
	fetching bool
	// peerPosition is the first position reported by another gateway that was
	// newer than the known state, and peerPositionSince is when it was reported.
	// Reports of positions that are not newer change neither.
	peerPosition      Position
	peerPositionSince time.Time
	// peerNewest is the newest position reported by another gateway.
	peerNewest Position
	// heardEra is the latest era reported by another gateway, and heardEraAt is when it was
	// last reported.
	heardEra   Era
	heardEraAt time.Time
	// reread makes the next read return the complete section, because another gateway
	// has reported rereadEra at rereadAt.
	reread    bool
	rereadEra Era
	rereadAt  time.Time
	// settling is when the section is read because of states that are not settled.
	settling settling
	// interruptedAt is when a read was last interrupted because another gateway has newer
	// state.
	interruptedAt time.Time
	// settledAsked is when a state was last fetched because it may be settled, and
	// unsettledUntil holds the gateways that need not be asked before a time.
	settledAsked   time.Time
	unsettledUntil map[string]time.Time
	// behindReported reports that StateBehind was logged.
	behindReported bool
}

// follow reads a section until ctx is done. It retries failed calls with
// exponential backoff.
func (t *Task) follow(ctx context.Context, s Section) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		if err := t.poll(ctx, s); err != nil && ctx.Err() == nil {
			if !errors.Is(err, ErrRestored) && !errors.Is(err, errLate) {
				t.recordReachability(s, err)
			}
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = firstBackoff
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// poll makes one call to the store.
func (t *Task) poll(ctx context.Context, s Section) error {
	t.mu.Lock()
	f := &t.followers[s]
	whole := !t.core.Loaded(s) || t.core.Outdated(s) || f.newestOnly || f.reread || f.mustLoad || t.settlingDue(time.Now(), s)
	f.mustLoad = false
	wait, pause := t.watchTiming(s, time.Now())
	t.mu.Unlock()
	kind, call := kindWatch, t.watch
	if whole {
		kind, call, wait = kindRange, t.load, 0
	}
	r := t.startStoreRead(ctx, s, kind, wait)
	r.changePause = pause
	pause, err := t.await(ctx, r, call)
	switch {
	case errors.Is(err, errInterrupted):
		// The next call uses a new connection and shows whether the store responds.
		return nil
	case errors.Is(err, errSuperseded):
		t.mu.Lock()
		settle := t.settlingDue(time.Now(), s)
		t.mu.Unlock()
		if !settle {
			sleep(ctx, supersededPause)
		}
		return nil
	}
	sleep(ctx, pause)
	return err
}

// checkEra returns the position of a response of the store. The first response of a later
// era makes all sections be read again. A response of an earlier one is an error, unless it
// was under way when the era began.
func (t *Task) checkEra(r *read, at Position) (Position, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.core.Era()
	switch {
	case at.Era == NoEra && r.era == known:
		at.Era = known
	case at.Era < known && r.era < known:
		return at, errInterrupted
	case at.Era < known:
		t.reportIgnored(answer{section: r.section, source: SourceStore, at: at})
		return at, fmt.Errorf("the store responded as of era %d, but era %d is known", at.Era, known)
	}
	t.enterEra(time.Now(), r.section, SourceStore, at)
	return at, nil
}

// enterEra notes the era of a position that the store or another gateway has sent. A later
// one than the known one makes all sections be read again. The caller must hold t.mu.
func (t *Task) enterEra(now time.Time, s Section, source Source, at Position) {
	before := t.core.Era()
	if !t.core.EnterEra(now, at.Era) {
		return
	}
	t.restores++
	t.Log.Write(event.StoreRestored, t.positionFields(s, source, at, before)...)
	for s := range t.followers {
		t.followers[s].interruptIdleWatch()
	}
}

// watch waits for changes of a section, and returns the delay before the next call. If the store
// has dropped the history, or it is too much to read, the next call reads the complete section.
func (t *Task) watch(ctx context.Context, r *read) (pause time.Duration, err error) {
	s := r.section
	changes, at, err := t.Store.Watch(r.Context(), s, r.after.Revision, r.wait, r.Receive)
	ended := r.startedAt.Add(r.wait)
	untilEnd := len(changes) == 0 && !time.Now().Before(ended)
	done, err := t.endStoreRead(ctx, r, err, untilEnd)
	switch {
	case errors.Is(err, ErrTooLarge):
		t.loadNext(r)
		return 0, nil
	case errors.Is(err, ErrCompacted):
		t.Log.WriteThrottled(event.HistoryDropped, s.String(), "era", int64(r.after.Era), "revision", uint64(r.after.Revision))
		t.loadNext(r)
		// A store that drops all history immediately must not be called in a loop
		// without a delay.
		return firstBackoff, nil
	case err != nil:
		return 0, err
	}
	if at, err = t.checkEra(r, at); err != nil {
		return 0, err
	}
	t.recordReachability(s, nil)
	if at.Era != r.after.Era {
		// The watch was as of another history. The next read is a complete one if the section
		// is not known in this era yet.
		return 0, nil
	}
	if t.overflows(s, changes) {
		// A faulty store may write new entries without end. A complete read is bounded and
		// removes those that it doesn't have.
		t.loadNext(r)
		return changePause, nil
	}
	asOf := r.startedAt
	if untilEnd {
		asOf = ended
	}
	t.applyAnswer(answer{section: s, source: SourceStore, at: at, after: r.after}, func(c *Core, now time.Time) []SkippedEntry {
		return c.ApplyChanges(now, s, changes, at, asOf)
	})
	if len(changes) > 0 {
		pause = r.changePause
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &t.followers[s]
	mayBeNewer := at.Before(f.peerNewest) || time.Since(t.heardAt) > heardWithin
	f.newestOnly = sizeOfSuperseded(changes) >= supersededBytes || done.duration >= slowTransfer && mayBeNewer
	return pause, nil
}

// loadNext makes the next call read the complete section, because a watch can't, unless newer state
// became known since that watch started. If the watch was late, the current one, which can't either, is
// interrupted.
func (t *Task) loadNext(r *read) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &t.followers[r.section]
	if t.core.Position(r.section) != r.after {
		return
	}
	f.mustLoad = true
	if f.read != r {
		f.interruptIdleWatch()
	}
}

func (t *Task) overflows(s Section, changes []Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Overflows(s, changes)
}

// watchTiming returns how long the next watch may be held open, and the delay
// after a watch that returned changes. A watch of a section with kept or held entries ends at the time
// as of which the store can tell what became of them, or at which the section is read because of them;
// and a relaxed one ends early if the state of the section isn't settled, as others may need it.
func (t *Task) watchTiming(s Section, now time.Time) (wait, pause time.Duration) {
	wait, pause = watchWaits[s].close, changePause
	if t.relaxed {
		wait, pause = watchWaits[s].relaxed, relaxedPause
		if until := t.core.UnsettledUntil(s); !until.IsZero() {
			wait = min(wait, max(until.Sub(now), watchWaits[s].close))
		}
	}
	if until := t.core.PendingUntil(s); !until.IsZero() {
		wait = min(wait, max(until.Sub(now), recoveryWait))
	}
	if due := t.followers[s].settling.due; !due.IsZero() {
		wait = min(wait, max(due.Sub(now), recoveryWait))
	}
	if t.core.StoreUnreachable() {
		wait = recoveryWait
	}
	return wait, pause
}

// sizeOfSuperseded returns the size of the values in changes that a later change
// replaces.
func sizeOfSuperseded(changes []Entry) int {
	last := make(map[string]int, len(changes))
	size := 0
	for n, e := range changes {
		if previous, ok := last[e.Key]; ok {
			size += len(changes[previous].Value)
		}
		last[e.Key] = n
	}
	return size
}

// load reads a complete section, and returns the delay before the next call.
func (t *Task) load(ctx context.Context, r *read) (pause time.Duration, err error) {
	s := r.section
	begun := false
	entries, at, err := t.Store.Range(r.Context(), s, func(bytes int) {
		r.Receive(bytes)
		if !begun && bytes > 0 {
			begun = true
			t.cancelOtherRanges(r, false)
		}
	})
	if _, err = t.endStoreRead(ctx, r, err, true); err != nil {
		return 0, err
	}
	if at, err = t.checkEra(r, at); err != nil {
		return 0, err
	}
	t.recordReachability(s, nil)
	changed := at.Revision
	if s == RoutingTable {
		// The table is only ever replaced, so its entry is the newest change.
		changed = newest(entries)
	}
	if t.setNewestOnly(r, Position{at.Era, newest(entries)}) {
		pause = changePause
	}
	t.applyAnswer(answer{section: s, source: SourceStore, at: at, after: r.after, state: entries}, func(c *Core, now time.Time) []SkippedEntry {
		skipped := c.ApplyState(now, s, State{Entries: entries, Era: at.Era, Revision: at.Revision, Changed: changed, Settled: c.Settled(r.startedAt)})
		c.ReadAsOf(s, at, r.startedAt)
		return skipped
	})
	t.cancelOtherRanges(r, true)
	return pause, nil
}

// setNewestOnly decides after a complete read how to go on: with watches unless its
// newest entry is a newer version, in which case more may follow soon. It reports whether
// the next read is a complete one again.
func (t *Task) setNewestOnly(r *read, newest Position) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &t.followers[r.section]
	f.reread = f.reread && !r.reread && newest.Era < f.heardEra
	f.newestOnly = f.newestOnly && t.core.Changed()[r.section].Before(newest)
	return f.newestOnly
}

// newest returns the newest revision of entries.
func newest(entries []Entry) Revision {
	var r Revision
	for _, e := range entries {
		r = max(r, e.Revision)
	}
	return r
}

// interruptIdleWatch cancels the current read if it is a watch without a response yet.
func (f *follower) interruptIdleWatch() {
	if f.read != nil && f.read.kind == kindWatch {
		f.interruptIdleRead()
	}
}

// interruptIdleRead cancels the current read unless its response is arriving, so
// that a new one starts.
func (f *follower) interruptIdleRead() {
	if f.read != nil {
		f.read.CancelIdle(errInterrupted)
	}
}
