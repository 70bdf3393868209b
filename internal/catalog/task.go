package catalog

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/wire"
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
	// stallTimeout bounds the time without a further byte of a response. A
	// response as a whole has no limit: what a slow link can't transfer in time,
	// it couldn't on the next try either.
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

// ErrTooLarge reports that a response is larger than a client accepts.
var ErrTooLarge = errors.New("the response of the store is too large")

// ErrCompacted reports that the store no longer has the history after the
// requested revision.
var ErrCompacted = errors.New("the store no longer has this history")

// Store is read access to the store of the platform, which gateways cannot write
// to. Its methods call received with the number of bytes as they arrive.
type Store interface {
	// Range returns all entries of a section, and a revision from which a watch
	// misses no change.
	Range(ctx context.Context, s Section, received func(bytes int)) ([]Entry, Revision, error)
	// Watch returns the changes of a section after a revision, and the revision
	// that they lead to. It waits for changes no longer than the given time.
	Watch(ctx context.Context, s Section, after Revision, wait time.Duration, received func(bytes int)) ([]Entry, Revision, error)
}

// Task follows the store. Its exported fields must be set before Run.
type Task struct {
	Store  Store
	Decode func(key string, value []byte) (any, error)
	// Fetch requests the state of a section from another gateway. It calls received
	// with the number of bytes as they arrive.
	Fetch func(ctx context.Context, address string, r *wire.FetchRequest, received func(bytes int)) (*wire.StatePart, error)
	Log   *event.Log
	// OnChange, if set, is called with each new view.
	OnChange func(*route.View)

	mu        sync.Mutex
	core      Core
	view      atomic.Pointer[route.View]
	followers [SectionCount]follower
	// heardAt is when another gateway last reported its revisions.
	heardAt time.Time
	// relaxed reports that enough other gateways watch the store closely.
	relaxed bool
	timer   *time.Timer

	bytesReceived, readsCut, fetchesFailed atomic.Uint64
}

// follower is the progress of reading one section.
type follower struct {
	// read is the current or latest read of the store, or nil.
	read *read
	// newestOnly makes the next read return only the newest entries. A watch
	// returns each version that was written since the last, which may be more than
	// the link transfers.
	newestOnly bool
	// lastRead is the last complete read that the store answered.
	lastRead completedRead
	// fetching prevents concurrent fetches.
	fetching bool
	// peerRevision is the first revision reported by another gateway that was
	// newer than the known state, and peerRevisionSince is when it was reported.
	// Reports of revisions that are not newer change neither.
	peerRevision      Revision
	peerRevisionSince time.Time
	// peerNewest is the newest revision reported by another gateway.
	peerNewest Revision
	// behindReported reports that StateBehind was logged.
	behindReported bool
}

// View returns the state in force. It is empty until all sections have been read.
func (t *Task) View() *route.View {
	if v := t.view.Load(); v != nil {
		return v
	}
	return &route.View{}
}

// Revisions returns the revision of the newest known change in each section.
func (t *Task) Revisions() Revisions {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Changed()
}

// Run follows the store until ctx is done, and always returns nil.
func (t *Task) Run(ctx context.Context) error {
	var g errgroup.Group
	for s := range SectionCount {
		g.Go(func() error {
			t.follow(ctx, s)
			return nil
		})
	}
	return g.Wait()
}

// follow reads a section until ctx is done. It retries failed calls with
// exponential backoff.
func (t *Task) follow(ctx context.Context, s Section) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		if err := t.poll(ctx, s); err != nil && ctx.Err() == nil {
			t.recordReachability(s, err)
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = firstBackoff
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// poll makes one watch call, or reads the complete section if it is not known yet,
// if the store has dropped the history, or if the history is too much to read.
func (t *Task) poll(ctx context.Context, s Section) error {
	t.mu.Lock()
	if t.followers[s].newestOnly || !t.core.Loaded(s) {
		t.mu.Unlock()
		return t.load(ctx, s)
	}
	at := t.core.Revision(s)
	wait, pause := t.watchTiming(s)
	r := startRead(ctx, s, "watch", wait+answerTimeout)
	r.after = at
	t.followers[s].read = r
	t.mu.Unlock()
	changes, revision, err := t.Store.Watch(r.Context(), s, at, wait, r.Receive)
	done := t.endRead(ctx, r, err)
	switch {
	case errors.Is(err, ErrTooLarge):
		return t.load(ctx, s)
	case errors.Is(err, ErrCompacted):
		t.Log.WriteThrottled(event.HistoryDropped, s.String(), "revision", uint64(at))
		// A store that drops all history immediately must not be called in a loop
		// without a delay.
		sleep(ctx, firstBackoff)
		return t.load(ctx, s)
	case err != nil && r.EndedBy(errInterrupted):
		// The next watch uses a new connection and shows whether the store
		// responds.
		return nil
	case err != nil && r.EndedBy(errSuperseded):
		sleep(ctx, supersededPause)
		return nil
	case err != nil:
		return err
	}
	t.recordReachability(s, nil)
	t.apply(func(c *Core, now time.Time) []SkippedEntry { return c.ApplyChanges(now, s, changes, revision) })
	if len(changes) > 0 {
		sleep(ctx, pause)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f := &t.followers[s]
	mayBeNewer := f.peerNewest > revision || time.Since(t.heardAt) > heardWithin
	f.newestOnly = sizeOfSuperseded(changes) >= supersededBytes || done.duration >= slowTransfer && mayBeNewer
	return nil
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

// watchTiming returns how long the next watch may be held open, and the delay
// after a watch that returned changes.
func (t *Task) watchTiming(s Section) (wait, pause time.Duration) {
	wait, pause = watchWaits[s].close, changePause
	if t.relaxed {
		wait, pause = watchWaits[s].relaxed, relaxedPause
	}
	if t.core.StoreUnreachable() {
		wait = recoveryWait
	}
	return wait, pause
}

// SetRelaxed sets whether enough other gateways watch the store closely. When
// they no longer do, it interrupts the current long watches, as no other gateway
// would reveal that their connections have silently failed.
func (t *Task) SetRelaxed(relaxed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.relaxed == relaxed {
		return
	}
	t.relaxed = relaxed
	t.Log.Write(event.WatchChanged, "closely", !relaxed)
	if relaxed {
		return
	}
	for s := range t.followers {
		t.followers[s].interruptIdleRead()
	}
}

// interruptIdleRead cancels the current read unless its response is arriving, so
// that a new one starts.
func (f *follower) interruptIdleRead() {
	if f.read != nil {
		f.read.CancelIdle(errInterrupted)
	}
}

// load reads a complete section from the store.
func (t *Task) load(ctx context.Context, s Section) error {
	r := startRead(ctx, s, "range", answerTimeout)
	t.mu.Lock()
	r.after = t.core.Revision(s)
	t.followers[s].read = r
	t.mu.Unlock()
	entries, at, err := t.Store.Range(r.Context(), s, r.Receive)
	t.endRead(ctx, r, err)
	if err != nil && r.EndedBy(errSuperseded) {
		sleep(ctx, supersededPause)
		return nil
	}
	if err != nil {
		return err
	}
	t.recordReachability(s, nil)
	again := t.setNewestOnly(s, entries)
	t.apply(func(c *Core, now time.Time) []SkippedEntry {
		return c.ApplyState(now, s, State{Entries: entries, Revision: at, Changed: at, Settled: c.Settled(now)})
	})
	if again {
		sleep(ctx, changePause)
	}
	return nil
}

// setNewestOnly decides after a complete read how to go on: with watches unless it
// returned a newer version, in which case more may follow soon. It reports whether
// the next read is a complete one again.
func (t *Task) setNewestOnly(s Section, entries []Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, f := t.core.Changed()[s], &t.followers[s]
	f.newestOnly = f.newestOnly && slices.ContainsFunc(entries, func(e Entry) bool { return e.Revision > known })
	return f.newestOnly
}

// recordReachability records from the error of a call whether the store responds,
// and logs a change. Only the small responses of Upstreams count: the transfer of a
// large table may fail for its size.
func (t *Task) recordReachability(s Section, err error) {
	if s != Upstreams {
		return
	}
	t.mu.Lock()
	changed := t.core.SetStoreReachable(time.Now(), err == nil)
	at := t.core.Revision(s)
	t.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		t.Log.Write(event.ConfigDown, "error", err, "revision", uint64(at))
	default:
		t.Log.Write(event.ConfigBack, "revision", uint64(at))
	}
}

// apply updates the core and publishes the new view once all sections are known.
func (t *Task) apply(change func(*Core, time.Time) []SkippedEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.Decode = t.Decode
	now := time.Now()
	before := t.View()
	for _, e := range change(&t.core, now) {
		t.Log.WriteThrottled(event.EntrySkipped, e.Key, "key", e.Key, "error", e.Cause)
	}
	t.reportCaughtUp(now)
	if !t.core.AllLoaded() {
		return
	}
	v := t.core.View(now)
	t.view.Store(v)
	if v.Table != nil && v.Table != before.Table {
		last := t.followers[RoutingTable].lastRead
		t.Log.Write(event.TableApplied, "revision", uint64(t.core.Changed()[RoutingTable]), "version", int64(v.Table.Version),
			"routes", len(v.Table.Routes), "decode_ms", time.Since(now).Milliseconds(), "read_bytes", last.bytes,
			"read_ms", last.duration.Milliseconds())
	}
	if t.OnChange != nil {
		t.OnChange(v)
	}
	t.scheduleExpiry(now)
}

// scheduleExpiry sets the timer that publishes a new view when the next kept
// upstream expires.
func (t *Task) scheduleExpiry(now time.Time) {
	if t.timer != nil {
		t.timer.Stop()
	}
	next := t.core.NextExpiry()
	if next.IsZero() {
		return
	}
	// An upstream whose expiry is due while the store is unreachable is kept and
	// checked again later.
	t.timer = time.AfterFunc(max(next.Sub(now), maxBackoff), func() {
		t.apply(func(*Core, time.Time) []SkippedEntry { return nil })
	})
}

// StoreUnreachable reports whether the last call to the store failed.
func (t *Task) StoreUnreachable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.StoreUnreachable()
}
