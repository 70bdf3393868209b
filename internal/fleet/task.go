package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// callTimeout is the timeout of a call to a peer.
	callTimeout = time.Second
	// maxSyncs is the maximum number of concurrent calls to peers.
	maxSyncs = 32
	// inboxSize is the number of messages that may be queued for the core.
	inboxSize = 256
)

// ConfigReader reads from the configuration service. It limits the time of its
// calls by their progress.
type ConfigReader interface {
	// Watch returns the latest revision and the values changed after the given
	// revision. If there are none, it waits for a change, for the given time at
	// most.
	Watch(ctx context.Context, after table.Revision, wait time.Duration) (table.Revision, []ValueRevision, error)
	// Get returns a value. The error has the code result.NotFound if it does
	// not exist.
	Get(ctx context.Context, name string) (Value, error)
}

// VMLister reads the VM list. It limits the time of its calls by their progress.
type VMLister interface {
	// List returns the VM list if it is newer than the given version, and
	// otherwise an empty list after the wait.
	List(ctx context.Context, after ListVersion, wait time.Duration) (VMList, error)
}

// PeerCaller calls other processes.
type PeerCaller interface {
	Sync(ctx context.Context, to Address, r *wire.SyncRequest) (*wire.SyncReply, error)
}

// SuspicionTracker holds the requests that are suspected of crashing upstreams.
type SuspicionTracker interface {
	// Snapshot returns the suspicions to send to peers.
	Snapshot(now time.Time) []*wire.Suspicion
	// Digest returns a hash of all suspicions.
	Digest() uint64
	Merge(now time.Time, s []*wire.Suspicion)
}

// GatewayCounter tracks the gateways among which account limits are divided.
type GatewayCounter interface {
	// Count adds these gateways to the count, and returns all gateways that
	// are counted.
	Count(now time.Time, gateways []string) []string
}

// Task runs a Core. Set the exported fields before Run.
type Task struct {
	Self        VM
	Incarnation Incarnation
	Config      ConfigReader
	VMs         VMLister
	Peers       PeerCaller
	Seeds       []Address
	Now         func() time.Time
	Log         *event.Log
	// Parse builds a table from all values.
	Parse func([]Value) (*table.Table, error)
	// Suspicions may be nil.
	Suspicions SuspicionTracker
	// Gateways may be nil.
	Gateways GatewayCounter

	once             sync.Once
	core             *Core
	inbox            chan envelope
	syncSlots        chan struct{}
	exchangeRequests chan struct{}
	group            *errgroup.Group
	view             atomic.Pointer[View]
	refused          atomic.Pointer[[]Refusal]
	inForce          atomic.Pointer[map[string]Value]
	// lastHandled is the time of the last handled message, in nanoseconds since
	// start, so that it is monotonic.
	lastHandled atomic.Int64
	digest      atomic.Uint64
	start       time.Time
	// suspicionDigests holds the hash of what each peer suspected at the last exchange, by
	// Address.
	suspicionDigests sync.Map

	// activeRound is the immediate exchange whose calls the loop is starting;
	// nil means none.
	activeRound *exchangeRound

	mu          sync.Mutex
	subscribers []chan struct{}
	// pendingRound is the immediate exchange that was requested but not started.
	pendingRound *exchangeRound
}

// envelope carries a message to the core, and the channel for its reply.
type envelope struct {
	message Message
	answer  chan *wire.SyncReply
}

func (t *Task) init() {
	t.once.Do(func() {
		if t.Now == nil {
			t.Now = time.Now
		}
		t.inbox = make(chan envelope, inboxSize)
		t.syncSlots = make(chan struct{}, maxSyncs)
		t.exchangeRequests = make(chan struct{}, 1)
		t.start = t.Now()
		t.view.Store(&View{})
		t.refused.Store(&[]Refusal{})
		t.core = &Core{
			Self:        t.Self,
			Incarnation: t.Incarnation,
			Seeds:       t.Seeds,
			Parse:       t.Parse,
			Seed:        xxhash.Sum64String(string(t.Incarnation)),
		}
	})
}

// Run runs the task until ctx is done, and then returns nil.
func (t *Task) Run(ctx context.Context) error {
	t.init()
	t.group, ctx = errgroup.WithContext(ctx)
	t.group.Go(func() error { return t.loop(ctx) })
	return t.group.Wait()
}

func (t *Task) loop(ctx context.Context) error {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	gap := time.NewTimer(0)
	defer gap.Stop()
	var requests <-chan struct{}
	t.handle(ctx, envelope{message: Ticked{}})
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gap.C:
			requests = t.exchangeRequests
		case <-requests:
			requests = nil
			gap.Reset(minExchangeGap)
			t.startRound(ctx)
		case <-ticker.C:
			t.handle(ctx, envelope{message: Ticked{}})
		case e := <-t.inbox:
			t.handle(ctx, e)
		}
	}
}

func (t *Task) handle(ctx context.Context, e envelope) {
	now := t.Now()
	for _, f := range t.core.Handle(now, e.message) {
		t.carryOut(ctx, f, e.answer)
	}
	rs := t.core.Refused()
	t.refused.Store(&rs)
	inForce := t.core.values.inForce
	t.inForce.Store(&inForce)
	t.digest.Store(t.core.values.digest)
	// Stored after the view, so that Paused sees a pause either in the gap
	// since lastHandled or in the view.
	t.lastHandled.Store(int64(now.Sub(t.start)))
}

// View returns the current view. It is never nil.
func (t *Task) View() *View {
	t.init()
	return t.view.Load()
}

// Refused returns the values whose newest revision is not in force, sorted by
// name.
func (t *Task) Refused() []Refusal {
	t.init()
	return *t.refused.Load()
}

// Changed returns a new channel that receives a value after the view changed.
// Changes that occur before the value is received are merged into one.
func (t *Task) Changed() <-chan struct{} {
	c := make(chan struct{}, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscribers = append(t.subscribers, c)
	return c
}

// Paused reports whether this process was suspended and has not heard from a peer
// or the configuration service since. It detects a pause even before the core
// does. A paused process must neither dispatch nor grant.
func (t *Task) Paused() bool {
	t.init()
	gap := t.Now().Sub(t.start) - time.Duration(t.lastHandled.Load())
	return gap > PauseThreshold || t.view.Load().Paused
}

// Renew waits until the pause of this process ends, for RenewTimeout at most. It
// returns an error with the code result.Paused if the pause does not end in time.
// It is cheap if the process is not paused.
func (t *Task) Renew(ctx context.Context) error {
	if !t.Paused() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, RenewTimeout)
	defer cancel()
	changed := t.Changed()
	defer t.unsubscribe(changed)
	t.post(ctx, envelope{message: RenewRequested{}})
	for t.Paused() {
		select {
		case <-ctx.Done():
			return result.Errorf(result.Paused, "renew: %w", ctx.Err())
		case <-changed:
		}
	}
	return nil
}

// ObserveVersions reports the table revision and VM list version that a message
// from a peer contained. If one of them is newer than the version known here, the
// core pulls it from that peer immediately. The report is dropped if the inbox is
// full.
func (t *Task) ObserveVersions(r table.Revision, v ListVersion, from Address) {
	view := t.View()
	if view.Table != nil && r <= view.Table.Revision && v <= view.VMs.Version {
		return
	}
	select {
	case t.inbox <- envelope{message: VersionsSeen{From: from, Revision: r, List: v}}:
	default:
	}
}

// HandleSync replies to a Sync request from a peer.
func (t *Task) HandleSync(ctx context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	t.init()
	if t.Suspicions != nil {
		// Merged before the reply, so that a peer that waits for the reply knows
		// that its suspicions were received.
		t.Suspicions.Merge(t.Now(), r.Suspicions)
	}
	answer := make(chan *wire.SyncReply, 1)
	t.post(ctx, envelope{SyncRequested{r}, answer})
	var reply *wire.SyncReply
	select {
	case <-ctx.Done():
		return nil, result.Errorf(result.NotReady, "sync: %w", ctx.Err())
	case reply = <-answer:
	}
	if t.Suspicions != nil {
		if reply.SuspicionDigest = t.Suspicions.Digest(); reply.SuspicionDigest != r.SuspicionDigest {
			reply.Suspicions = t.Suspicions.Snapshot(t.Now())
		}
	}
	if t.Gateways != nil && len(r.Gateways) > 0 {
		reply.Gateways = t.Gateways.Count(t.Now(), r.Gateways)
	}
	return reply, nil
}

// AskToCount asks another gateway to count these gateways, and returns the
// gateways that it counts.
func (t *Task) AskToCount(ctx context.Context, to Address, gateways []string) ([]string, error) {
	t.init()
	r := &wire.SyncRequest{
		From:           string(t.Self.Address),
		Incarnation:    string(t.Incarnation),
		VmListVersion:  uint64(t.View().VMs.Version),
		ConfirmedAgeMs: unknownAge,
		Have:           []*wire.ValueRevision{{Name: digestName, Revision: t.digest.Load()}},
		Gateways:       gateways,
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := t.Peers.Sync(ctx, to, r)
	if err != nil {
		return nil, err
	}
	return reply.Gateways, nil
}

func (t *Task) post(ctx context.Context, e envelope) {
	select {
	case t.inbox <- e:
	case <-ctx.Done():
	}
}

func (t *Task) notify() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

func (t *Task) unsubscribe(channel <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, c := range t.subscribers {
		if c == channel {
			t.subscribers = append(t.subscribers[:i], t.subscribers[i+1:]...)
			return
		}
	}
}
