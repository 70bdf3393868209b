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
	// callTimeout bounds a call beyond the time that it may wait.
	callTimeout = time.Second
	// maxSyncs bounds the calls to peers under way.
	maxSyncs = 32
	// inboxSize is how many messages wait for the core.
	inboxSize = 256
)

// ConfigReader reads the configuration service.
type ConfigReader interface {
	// Watch gives the values above a revision, at once if there are any, else
	// after the wait.
	Watch(ctx context.Context, after table.Revision, wait time.Duration) (table.Revision, []ValueRevision, error)
	// Get gives a value. The error has result.NotFound if there is none.
	Get(ctx context.Context, name string) (Value, error)
}

// VMLister reads the VM list.
type VMLister interface {
	// List gives the list if it is newer than a version, else an empty one
	// after the wait.
	List(ctx context.Context, after ListVersion, wait time.Duration) (VMList, error)
}

// PeerCaller calls other processes.
type PeerCaller interface {
	Sync(ctx context.Context, to Address, r *wire.SyncRequest) (*wire.SyncReply, error)
}

// SuspicionTracker holds the requests that are suspected of ending upstreams.
type SuspicionTracker interface {
	// Snapshot gives what peers should know.
	Snapshot(now time.Time) []*wire.Suspicion
	Merge(now time.Time, s []*wire.Suspicion)
}

// GatewayCounter holds the gateways that account limits are divided by.
type GatewayCounter interface {
	// Count counts these gateways in, and gives those that are counted.
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
	// Parse makes a table of all values.
	Parse func([]Value) (*table.Table, error)
	// Suspicions may be nil.
	Suspicions SuspicionTracker
	// Gateways may be nil.
	Gateways GatewayCounter

	once           sync.Once
	core           *Core
	inbox          chan envelope
	syncSlots      chan struct{}
	spreadRequests chan struct{}
	group          *errgroup.Group
	view           atomic.Pointer[View]
	refused        atomic.Pointer[[]Refusal]
	inForce        atomic.Pointer[map[string]Value]
	// lastTick is in nanoseconds since start, so that it is monotonic.
	lastTick atomic.Int64
	digest   atomic.Uint64
	start    time.Time

	// activeSpread is the spread whose calls the loop is making.
	activeSpread *spreadRound

	mu          sync.Mutex
	subscribers []chan struct{}
	// pendingSpread is the spread that was asked for and not begun.
	pendingSpread *spreadRound
}

// envelope carries a message to the core, and the answer back.
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
		t.spreadRequests = make(chan struct{}, 1)
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

// Run runs until ctx is done. It gives ctx's error only if that is not a
// cancellation.
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
	var spreads <-chan struct{}
	t.handle(ctx, envelope{message: Ticked{}})
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gap.C:
			spreads = t.spreadRequests
		case <-spreads:
			spreads = nil
			gap.Reset(spreadGap)
			t.spread(ctx)
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
		t.execute(ctx, f, e.answer)
	}
	rs := t.core.Refused()
	t.refused.Store(&rs)
	inForce := t.core.values.inForce
	t.inForce.Store(&inForce)
	t.digest.Store(t.core.values.digest)
	// After the view, so that a pause is seen at one place or the other.
	t.lastTick.Store(int64(now.Sub(t.start)))
}

// View gives what is known now. It is never nil.
func (t *Task) View() *View {
	t.init()
	return t.view.Load()
}

// Refused gives the values that are known and not in force.
func (t *Task) Refused() []Refusal {
	t.init()
	return *t.refused.Load()
}

// Changed gives a channel of its own that holds a token after the view
// changed. Changes that nobody took meanwhile are one token.
func (t *Task) Changed() <-chan struct{} {
	c := make(chan struct{}, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subscribers = append(t.subscribers, c)
	return c
}

// Paused says that this process was paused, noticed or not, and has heard from
// nobody since. It must neither dispatch nor grant.
func (t *Task) Paused() bool {
	t.init()
	gap := t.Now().Sub(t.start) - time.Duration(t.lastTick.Load())
	return gap > PauseThreshold || t.view.Load().Paused
}

// Renew waits until a paused process has heard from somebody, for RenewBound
// at most. The error has result.Paused. It is cheap when there was no pause.
func (t *Task) Renew(ctx context.Context) error {
	if !t.Paused() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, RenewTimeout)
	defer cancel()
	changed := t.Changed()
	defer t.unsubscribe(changed)
	t.post(ctx, envelope{message: RenewAsked{}})
	for t.Paused() {
		select {
		case <-ctx.Done():
			return result.Errorf(result.Paused, "renew: %w", ctx.Err())
		case <-changed:
		}
	}
	return nil
}

// Behind says that a message of a peer showed these versions. If they are
// newer than what is known, they are pulled from it at once.
func (t *Task) Behind(r table.Revision, v ListVersion, from Address) {
	view := t.View()
	if view.Table != nil && r <= view.Table.Revision && v <= view.VMs.Version {
		return
	}
	select {
	case t.inbox <- envelope{message: VersionsSeen{From: from, Revision: r, List: v}}:
	default:
	}
}

// HandleSync answers a peer.
func (t *Task) HandleSync(ctx context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	t.init()
	if t.Suspicions != nil {
		// First, so that whoever waits for the answer knows that it was heard.
		t.Suspicions.Merge(t.Now(), r.Suspicions)
	}
	answer := make(chan *wire.SyncReply, 1)
	t.post(ctx, envelope{SyncAsked{r}, answer})
	var reply *wire.SyncReply
	select {
	case <-ctx.Done():
		return nil, result.Errorf(result.NotReady, "sync: %w", ctx.Err())
	case reply = <-answer:
	}
	if t.Suspicions != nil {
		reply.Suspicions = t.Suspicions.Snapshot(t.Now())
	}
	if t.Gateways != nil && len(r.Gateways) > 0 {
		reply.Gateways = t.Gateways.Count(t.Now(), r.Gateways)
	}
	return reply, nil
}

// Ask asks another gateway to count these gateways, and gives those it counts.
func (t *Task) Ask(ctx context.Context, to Address, gateways []string) ([]string, error) {
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
