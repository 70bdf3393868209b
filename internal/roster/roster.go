// Package roster is what gateways that send to upstreams directly tell each
// other: who is there, what each has in flight, the revision it knows, and the
// requests that upstreams ended under. There is no leader and no agreement: each
// tells what it knows, and what is heard ages.
//
// # Usage
//
//	t := &roster.Task{Self: "10.1.0.40:8229", Seeds: seeds, Dialer: d, Desk: desk, Catalog: c}
//	go t.Run(ctx)
//	server := &wire.Server{Gateways: t}
package roster

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"jasminewing.dev/jasminewing/internal/catalog"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/wire"
)

const (
	// interval is the time between two exchanges with another gateway. Bytes
	// between data centres are charged, and placement needs loads within a second.
	interval = 400 * time.Millisecond
	// callTimeout bounds an exchange.
	callTimeout = 500 * time.Millisecond
	// callsARound bounds the exchanges that a gateway begins in an interval. With
	// as many that others begin, each of manyPeers gateways hears of all others in
	// an interval. With more it begins fewer, callsLeast at the least, as exchanges
	// may not take more than the 24 KB a second that a node may spend for control:
	// a sample then stands for all.
	callsARound = 12
	callsLeast  = 4
	manyPeers   = 30
	// spreadPause is the least time between two rounds that news asked for: a
	// crash brings many at once.
	spreadPause = 50 * time.Millisecond
	// silentRounds is how many times the usual time between two exchanges a
	// gateway may say nothing before it counts as silent.
	silentRounds = 5
	// silentInterval is the time between two calls to a silent gateway.
	silentInterval = 2 * time.Second
	// closeWatchers is how many gateways, of those that hear each other and that the
	// store answers, watch it closely; the others learn from them that they have
	// missed a change.
	closeWatchers = 3
	// namesTold is the most addresses of other gateways in an exchange, and
	// namesInterval the time between two exchanges with a gateway that have any.
	namesTold     = 16
	namesInterval = 4 * time.Second
	// loadStep is the number of tokens in which loads are told.
	loadStep = 256
	// forgetAfter is when a silent gateway ceases to count in shares of bounds of
	// the fleet: one that is cut off may go on sending until then.
	forgetAfter = 2 * time.Minute
)

// Desk is told what other gateways have in flight.
type Desk interface {
	Tell(placement.Message)
	Loads() map[placement.LoadKey]placement.Load
}

// Catalog is told what revision others know, and gives its own state.
type Catalog interface {
	Heard(ctx context.Context, address string, r catalog.Revision)
	Revision() catalog.Revision
	// Away says that the store did not answer when it was last asked.
	Away() bool
	State(newerThan catalog.Revision) *wire.PublishedState
	// Relax is told whether enough others watch the store closely.
	Relax(relaxed bool)
}

// Task keeps in touch with the other gateways. Its exported fields are set
// before Run.
type Task struct {
	// Self is where this gateway serves the others.
	Self        string
	DataCentre  route.DataCentre
	Incarnation fleet.Incarnation
	// Seeds are asked until they are heard from.
	Seeds    []string
	Dialer   *wire.Dialer
	Desk     Desk
	Catalog  Catalog
	Suspects *suspect.Book
	Log      *event.Log

	mu    sync.Mutex
	peers map[string]*peer
	// told is where the last row of names began.
	told int
	now  chan struct{}
}

// Run exchanges until ctx ends.
func (t *Task) Run(ctx context.Context) error {
	t.mu.Lock()
	t.init()
	t.mu.Unlock()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		began := time.Now()
		t.round(ctx, began)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-t.now:
			select {
			case <-ctx.Done():
			case <-time.After(spreadPause - time.Since(began)):
			}
		}
	}
	return nil
}

func (t *Task) init() {
	if t.peers != nil {
		return
	}
	t.peers = make(map[string]*peer)
	t.now = make(chan struct{}, 1)
	for _, s := range t.Seeds {
		t.meet(s)
	}
}

// meet notes a gateway that was named.
func (t *Task) meet(address string) {
	if address != t.Self && address != "" && t.peers[address] == nil {
		t.peers[address] = &peer{}
	}
}

// round calls the gateways that are due.
func (t *Task) round(ctx context.Context, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range t.due(now) {
		p := t.peers[address]
		p.calling, p.asked = true, now
		go t.call(ctx, address)
	}
	t.Desk.Tell(t.counted(now))
	t.Catalog.Relax(t.before() >= closeWatchers)
}

func (t *Task) call(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	state, err := wire.NewDRPCGatewaysClient(t.Dialer.To(address)).Tell(ctx, t.state(time.Now(), address))
	t.mu.Lock()
	t.peers[address].calling = false
	t.mu.Unlock()
	if err == nil {
		t.hear(ctx, state)
	}
}

// state is what this gateway tells another.
func (t *Task) state(now time.Time, to string) *wire.GatewayState {
	s := &wire.GatewayState{
		Address:     t.Self,
		DataCentre:  string(t.DataCentre),
		Incarnation: string(t.Incarnation),
		Revision:    uint64(t.Catalog.Revision()),
		StoreAway:   t.Catalog.Away(),
		Loads:       wordLoads(t.Desk.Loads()),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[to]
	if p == nil {
		return s
	}
	s.SuspicionSince = p.acknowledged
	s.Suspicions, s.SuspicionChange = t.Suspects.News(now, p.acknowledged)
	s.SuspicionHave, s.SuspicionIncarnation = p.have, p.incarnation
	if now.Sub(p.named) >= namesInterval {
		p.named = now
		s.Gateways = t.names()
	}
	return s
}

// names gives some gateways that are heard from, other ones each time.
func (t *Task) names() []string {
	var all []string
	for _, address := range slices.Sorted(maps.Keys(t.peers)) {
		if p := t.peers[address]; !p.heard.IsZero() && !p.silent {
			all = append(all, address)
		}
	}
	if len(all) <= namesTold {
		return all
	}
	t.told = (t.told + namesTold) % len(all)
	return append(all[t.told:], all[:t.told]...)[:namesTold]
}

// hear takes what another gateway told.
func (t *Task) hear(ctx context.Context, s *wire.GatewayState) {
	if s.Address == t.Self || s.Address == "" {
		return
	}
	now := time.Now()
	t.mu.Lock()
	t.init()
	t.meet(s.Address)
	p := t.peers[s.Address]
	news := p.heard.IsZero() || p.silent
	p.hear(now, s, string(t.Incarnation))
	for _, address := range s.Gateways {
		t.meet(address)
	}
	t.mu.Unlock()
	if news {
		t.Log.Write(event.GatewayHeard, "gateway", s.Address, "data_centre", s.DataCentre, "incarnation", s.Incarnation)
	}
	t.Desk.Tell(placement.PeerLoads{Gateway: s.Address, Loads: readLoads(s.Loads)})
	t.Suspects.Heard(now, s.Suspicions)
	t.Catalog.Heard(context.WithoutCancel(ctx), s.Address, catalog.Revision(s.Revision))
}

// Spread tells all gateways at once what is new; the channel is closed at once,
// as nobody waits for that here.
func (t *Task) Spread() <-chan struct{} {
	t.mu.Lock()
	t.init()
	t.mu.Unlock()
	select {
	case t.now <- struct{}{}:
	default:
	}
	done := make(chan struct{})
	close(done)
	return done
}

// Tell answers another gateway.
func (t *Task) Tell(ctx context.Context, s *wire.GatewayState) (*wire.GatewayState, error) {
	t.hear(ctx, s)
	return t.state(time.Now(), s.Address), nil
}

// Fetch answers another gateway that knows less.
func (t *Task) Fetch(_ context.Context, r *wire.FetchRequest) (*wire.PublishedState, error) {
	return t.Catalog.State(catalog.Revision(r.NewerThan)), nil
}
