package catalog

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/wire"
)

const (
	// watchWait is how long the store may keep a watch waiting. Each watch is
	// charged, but a watch that has gone silent shows only when its time is up,
	// and changes must be in force within two seconds.
	watchWait = time.Second
	// relaxedWait is the same while enough other gateways watch closely and are
	// heard from: one that misses a change hears of it from them.
	relaxedWait = 6 * time.Second
	// recoveryWait is the same for a watch that is to show whether a store that was
	// away answers again.
	recoveryWait = 100 * time.Millisecond
	// changePause is the time between an answer with changes and the next watch,
	// as changes come in rows and each call is charged; relaxedPause is that of
	// gateways that leave watching closely to others, which are most. A change must
	// be in force within two seconds.
	changePause  = 100 * time.Millisecond
	relaxedPause = 400 * time.Millisecond
	// answerTimeout bounds the store's answer beyond the time it may wait.
	answerTimeout = 500 * time.Millisecond
	// loadTimeout bounds the reading of everything, page by page.
	loadTimeout = 5 * time.Second
	// firstBackoff and retryMost are the pauses after calls that failed.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
	// fetchDelay is how long another gateway may know more before it is asked:
	// the store's own answer is usually on its way.
	fetchDelay   = 200 * time.Millisecond
	fetchTimeout = time.Second
)

// ErrCompacted says that the store has dropped the history asked for.
var ErrCompacted = errors.New("the store dropped this history")

// Store is the platform's store, which can only be read.
type Store interface {
	// Range gives all entries, and a revision from which a watch misses nothing.
	Range(ctx context.Context) ([]Entry, Revision, error)
	// Watch waits for changes after a revision, for at most the time given.
	Watch(ctx context.Context, after Revision, wait time.Duration) ([]Entry, Revision, error)
}

// Task follows the store. Its exported fields are set before Run.
type Task struct {
	Store  Store
	Decode func(key string, value []byte) (any, error)
	// Fetch asks another gateway for its state.
	Fetch func(ctx context.Context, address string, newerThan Revision) (*wire.PublishedState, error)
	Log   *event.Log
	// OnChange is called with each new view.
	OnChange func(*route.View)

	mu   sync.Mutex
	core Core
	view atomic.Pointer[route.View]
	// fetching guards against several fetches at once.
	fetching bool
	// peerRevision is the first revision that another gateway was heard to know and that
	// is not known here, and behindSince when; what others know that know no more
	// changes neither.
	peerRevision      Revision
	peerRevisionSince time.Time
	// relaxed says that others watch closely.
	relaxed bool
	// cancelWatch ends the watch that is waiting; aborted says that it did.
	cancelWatch context.CancelFunc
	interrupted bool
	timer       *time.Timer
}

// View gives what is in force.
func (t *Task) View() *route.View {
	if v := t.view.Load(); v != nil {
		return v
	}
	return &route.View{}
}

// Revision gives the revision of what is known.
func (t *Task) Revision() Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Revision()
}

// Run follows the store until ctx ends.
func (t *Task) Run(ctx context.Context) error {
	backoff := firstBackoff
	for ctx.Err() == nil {
		if err := t.poll(ctx); err != nil && ctx.Err() == nil {
			t.recordReachability(err)
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = firstBackoff
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// poll makes one call to the store.
func (t *Task) poll(ctx context.Context) error {
	t.mu.Lock()
	if !t.core.Loaded() {
		t.mu.Unlock()
		return t.load(ctx)
	}
	at := t.core.Revision()
	wait, pause := t.watchTiming()
	watchCtx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	t.cancelWatch = cancel
	t.mu.Unlock()
	changes, revision, err := t.Store.Watch(watchCtx, at, wait)
	switch {
	case errors.Is(err, ErrCompacted):
		t.Log.WriteThrottled(event.HistoryDropped, "store", "revision", uint64(at))
		// A store that drops all history at once must not be asked without a pause.
		sleep(ctx, firstBackoff)
		return t.load(ctx)
	case err != nil && t.clearInterrupted():
		// The next watch, on a connection of its own, tells whether the store answers.
		return nil
	case err != nil:
		return err
	}
	t.recordReachability(nil)
	t.apply(func(c *Core, now time.Time) []SkippedEntry { return c.ApplyChanges(now, changes, revision) })
	if len(changes) > 0 {
		sleep(ctx, pause)
	}
	return nil
}

// watchTiming gives how long the next watch may wait, and the pause after one that had
// changes.
func (t *Task) watchTiming() (wait, pause time.Duration) {
	wait, pause = watchWait, changePause
	if t.relaxed {
		wait, pause = relaxedWait, relaxedPause
	}
	if t.core.StoreUnreachable() {
		wait = recoveryWait
	}
	return wait, pause
}

// Relax says whether enough others watch the store closely. A long watch that
// waits when they cease to is ended, as nobody may tell that it has gone silent.
func (t *Task) SetRelaxed(relaxed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.relaxed == relaxed {
		return
	}
	t.relaxed = relaxed
	t.Log.Write(event.WatchChanged, "closely", !relaxed, "revision", uint64(t.core.Revision()))
	if !relaxed {
		t.interruptWatch()
	}
}

// interruptWatch ends the watch that is waiting, so that another begins.
func (t *Task) interruptWatch() {
	if t.cancelWatch != nil {
		t.interrupted = true
		t.cancelWatch()
	}
}

func (t *Task) clearInterrupted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	was := t.interrupted
	t.interrupted = false
	return was
}

// load reads everything.
func (t *Task) load(ctx context.Context) error {
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	entries, at, err := t.Store.Range(loadCtx)
	if err != nil {
		return err
	}
	t.recordReachability(nil)
	t.apply(func(c *Core, now time.Time) []SkippedEntry { return c.ApplyState(now, entries, at, c.Settled(now)) })
	return nil
}

// recordReachability notes whether the store answers.
func (t *Task) recordReachability(err error) {
	t.mu.Lock()
	changed := t.core.SetStoreReachable(time.Now(), err == nil)
	at := t.core.Revision()
	t.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		t.Log.Write(event.ConfigDown, "error", err, "revision", uint64(at))
	default:
		t.Log.Write(event.ConfigBack, "revision", uint64(at))
	}
}

// apply changes the core and publishes the new view.
func (t *Task) apply(change func(*Core, time.Time) []SkippedEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.Decode = t.Decode
	now := time.Now()
	before := t.View()
	for _, f := range change(&t.core, now) {
		t.Log.WriteThrottled(event.EntrySkipped, f.Key, "key", f.Key, "error", f.Cause)
	}
	v := t.core.View(now)
	t.view.Store(v)
	if v.Table != nil && v.Table != before.Table {
		t.Log.Write(event.TableApplied, "revision", uint64(v.Revision), "version", int64(v.Table.Version),
			"routes", len(v.Table.Routes))
	}
	if t.OnChange != nil {
		t.OnChange(v)
	}
	t.scheduleExpiry(now)
}

// scheduleExpiry applies what changes by itself.
func (t *Task) scheduleExpiry(now time.Time) {
	if t.timer != nil {
		t.timer.Stop()
	}
	next := t.core.NextExpiry()
	if next.IsZero() {
		return
	}
	// A lapse that is due while the store is away is looked at again later.
	t.timer = time.AfterFunc(max(next.Sub(now), maxBackoff), func() {
		t.apply(func(*Core, time.Time) []SkippedEntry { return nil })
	})
}

// Away says that the store did not answer when it was last asked.
func (t *Task) StoreUnreachable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.StoreUnreachable()
}

// ObserveRevision is told what revision another gateway has.
func (t *Task) ObserveRevision(ctx context.Context, address string, r Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	at := t.core.Revision()
	switch {
	case r <= at:
		return
	case t.peerRevision <= at:
		t.peerRevision, t.peerRevisionSince = r, now
		return
	case t.fetching || now.Sub(t.peerRevisionSince) < fetchDelay:
		return
	}
	t.fetching = true
	t.interruptWatch()
	go t.fetch(ctx, address)
}

// fetch takes over what another gateway knows.
func (t *Task) fetch(ctx context.Context, address string) {
	defer func() {
		t.mu.Lock()
		t.fetching = false
		t.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	state, err := t.Fetch(ctx, address, t.Revision())
	if err != nil {
		t.Log.WriteThrottled(event.FetchFailed, address, "error", err)
		return
	}
	entries := make([]Entry, 0, len(state.Entries))
	for _, e := range state.Entries {
		entries = append(entries, Entry{Key: e.Key, Value: e.Value, Revision: Revision(e.Revision)})
	}
	if len(entries) == 0 {
		return
	}
	t.Log.Write(event.FetchedState, "from", address, "revision", state.Revision)
	t.apply(func(c *Core, now time.Time) []SkippedEntry {
		return c.ApplyState(now, entries, Revision(state.Revision), state.Settled)
	})
}

// State gives what is known, if it is newer than the revision given.
func (t *Task) State(newerThan Revision) *wire.PublishedState {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &wire.PublishedState{Revision: uint64(t.core.Revision()), Settled: t.core.Settled(time.Now())}
	if t.core.Revision() <= newerThan {
		return s
	}
	for _, e := range t.core.Entries() {
		s.Entries = append(s.Entries, &wire.PublishedEntry{Key: e.Key, Value: e.Value, Revision: uint64(e.Revision)})
	}
	return s
}
