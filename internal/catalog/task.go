package catalog

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/wire"
)

const (
	// MaxEntries is the maximum number of entries of a section, and of those in a response. Each
	// costs some hundred bytes, however short it is.
	MaxEntries = 10_000
	// MaxBytes is the maximum size of the entries of a section in bytes.
	MaxBytes = 4 << 20
)

// ErrTooLarge reports that a response is larger than a client accepts.
var ErrTooLarge = errors.New("the response of the store is too large")

// ErrCompacted reports that the store no longer has the history after the
// requested revision.
var ErrCompacted = errors.New("the store no longer has this history")

// ErrRestored reports that the store was restored from a copy during the call.
var ErrRestored = errors.New("the store was restored from a copy during the call")

// Store is read access to the store of the platform, which gateways cannot write
// to. Its methods call received with the number of bytes as they arrive.
type Store interface {
	// Range returns all entries of a section, and a position from which a watch
	// misses no change.
	Range(ctx context.Context, s Section, received func(bytes int)) ([]Entry, Position, error)
	// Watch returns the changes of a section after a revision, and the position
	// that they lead to. It waits for changes no longer than the given time.
	Watch(ctx context.Context, s Section, after Revision, wait time.Duration, received func(bytes int)) ([]Entry, Position, error)
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
	// provenance tells where the state of each section comes from.
	provenance [SectionCount]provenance
	// restores counts how often a later era became known.
	restores uint64
	// heardAt is when another gateway last reported its revisions.
	heardAt time.Time
	// relaxed reports that enough other gateways watch the store closely.
	relaxed bool
	// calls are the calls to the store in progress.
	calls sync.WaitGroup

	bytesReceived, readsCut, fetchesFailed atomic.Uint64
}

// View returns the state in force. It is empty until all sections have been read.
func (t *Task) View() *route.View {
	if v := t.view.Load(); v != nil {
		return v
	}
	return &route.View{}
}

// Positions returns the position of the newest known change in each section, or zero for
// one that is outdated.
func (t *Task) Positions() Positions {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.core.Changed()
	for s := range SectionCount {
		if t.outdated(s) {
			p[s] = Position{}
		}
	}
	return p
}

// Run follows the store until ctx is done, and always returns nil.
func (t *Task) Run(ctx context.Context) error {
	t.mu.Lock()
	t.core.Start(time.Now())
	t.mu.Unlock()
	var g errgroup.Group
	for s := range SectionCount {
		g.Go(func() error {
			t.follow(ctx, s)
			return nil
		})
	}
	err := g.Wait()
	t.calls.Wait()
	return err
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

// recordReachability records from the error of a call whether the store responds,
// and logs a change. Only the small responses of Upstreams count: the transfer of a
// large table may fail for its size.
func (t *Task) recordReachability(s Section, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteReachability(s, err)
}

// noteReachability is recordReachability for callers that hold t.mu.
func (t *Task) noteReachability(s Section, err error) {
	if s != Upstreams {
		return
	}
	changed := t.core.SetStoreReachable(time.Now(), err == nil)
	at := t.core.Position(s)
	switch {
	case !changed:
	case err != nil:
		t.Log.Write(event.ConfigDown, "error", err, "era", int64(at.Era), "revision", uint64(at.Revision))
	default:
		t.Log.Write(event.ConfigBack, "era", int64(at.Era), "revision", uint64(at.Revision))
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
	v.Origin = t.origin(now, before, v)
	t.view.Store(v)
	if v.Table != nil && v.Table != before.Table {
		last := t.followers[RoutingTable].lastRead
		t.Log.Write(event.TableApplied, "era", v.Origin.Era, "revision", uint64(t.core.Changed()[RoutingTable].Revision), "version", int64(v.Table.Version),
			"source", v.Origin.Source, "routes", len(v.Table.Routes), "decode_ms", time.Since(now).Milliseconds(), "read_bytes", last.bytes,
			"read_ms", last.duration.Milliseconds())
	}
	if t.OnChange != nil {
		t.OnChange(v)
	}
}

// StoreUnreachable reports whether the last call to the store failed.
func (t *Task) StoreUnreachable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.StoreUnreachable()
}
