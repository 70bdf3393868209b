// Package roster exchanges state between gateways that send to upstreams
// directly: which gateways exist, what each has in flight, the store revision it
// knows, and the requests during which upstreams crashed. There is no leader and
// no consensus: each gateway reports what it knows, and the reports expire.
//
// # Usage
//
//	t := &roster.Task{Self: "10.1.0.40:8229", Seeds: seeds, Dialer: d, Scheduler: scheduler, Catalog: c}
//	go t.Run(ctx)
//	server := &wire.Server{Gateways: t}
package roster

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"jasminewing.dev/jasminewing/internal/catalog"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/wire"
)

const (
	// exchangeInterval is the time between two rounds of exchanges. Traffic
	// between data centres is charged, and placement needs loads that are at most
	// a second old.
	exchangeInterval = 400 * time.Millisecond
	// callTimeout bounds one exchange.
	callTimeout = 500 * time.Millisecond
	// maxCallsPerRound bounds the exchanges that a gateway starts per interval.
	// Since other gateways start as many, each of up to fullRatePeers gateways
	// hears from all others within an interval. With more peers a gateway starts
	// fewer exchanges, but at least minCallsPerRound, because exchanges must stay
	// within the 24 KB per second that a node may spend on control traffic: a
	// sample of the gateways then represents all of them.
	maxCallsPerRound = 12
	minCallsPerRound = 4
	fullRatePeers    = 30
	// minRoundGap is the minimum time between two rounds triggered by
	// ExchangeNow: a crash causes many such calls at once.
	minRoundGap = 50 * time.Millisecond
	// urgentRounds is the number of such rounds in a second. Beyond that, as after the
	// loss of a data centre, suspicions wait for the regular rounds.
	urgentRounds = 4
	// silentRounds is the number of expected exchange periods without a message
	// after which a gateway counts as silent.
	silentRounds = 5
	// silentInterval is the time between two calls to a silent gateway.
	silentInterval = 2 * time.Second
	// closeWatchers is the number of gateways that watch the store closely, out
	// of those that hear each other and can reach it. The other gateways learn
	// from them that they have missed a change.
	closeWatchers = 3
	// maxAddressesSent is the maximum number of gateway addresses in a message,
	// and addressesInterval is the time between two messages to the same gateway
	// that contain any.
	maxAddressesSent  = 16
	addressesInterval = 4 * time.Second
	// maxPeers is the maximum number of gateways that are kept, and maxAddressBytes the length
	// of the address of one, so that a faulty gateway can't fill the memory with addresses. A
	// fleet has some hundred gateways.
	maxPeers        = 4096
	maxAddressBytes = 255
	// loadStep is the unit, in tokens, in which loads are reported.
	loadStep = 256
	// forgetAfter is how long after its last message a silent gateway still
	// counts in the division of fleet-wide limits: a gateway that is partitioned
	// off may keep sending requests for that long.
	forgetAfter = 2 * time.Minute
)

// Scheduler receives the membership and the loads of the other gateways, and
// returns the loads of this one.
type Scheduler interface {
	Tell(placement.Message)
	Loads() map[placement.LoadKey]placement.Load
	// Speeds returns what this gateway has observed of the speed of upstreams lately.
	Speeds() map[placement.LoadKey]placement.Speed
}

// Catalog receives the positions in the store that other gateways know, and provides the
// state of this one.
type Catalog interface {
	ObservePositions(ctx context.Context, address string, p catalog.Positions)
	// Positions returns the position of the newest known change in each section.
	Positions() catalog.Positions
	// StoreUnreachable reports whether the last call to the store failed.
	StoreUnreachable() bool
	EncodedState(r *wire.FetchRequest) (*wire.StatePart, error)
	// SetRelaxed sets whether enough other gateways watch the store closely.
	SetRelaxed(relaxed bool)
}

// Task exchanges state with the other gateways. Its exported fields must be set
// before Run.
type Task struct {
	// Self is the address at which this gateway serves the others.
	Self        string
	DataCentre  route.DataCentre
	Incarnation fleet.Incarnation
	// Seeds are the addresses of gateways that are called from the start, before
	// they have been heard from. SetSeeds replaces them.
	Seeds     []string
	Dialer    *wire.Dialer
	Scheduler Scheduler
	Catalog   Catalog
	Suspects  *suspect.Tracker
	Log       *event.Log

	mu    sync.Mutex
	peers map[string]*peer
	// addressOffset is where the last selection of addresses started.
	addressOffset int
	wake          chan struct{}
	// livePeers holds the addresses of the gateways that were not silent at the last
	// round; nil until this one has had the time to hear them. It is read without mu,
	// because Suspects is called with mu held.
	livePeers atomic.Pointer[[]string]
	// startedAt is when Run began, and introduced reports that another gateway has since
	// told all that it suspects.
	startedAt  time.Time
	introduced bool
}

// Run starts exchanges at each interval, and sooner after ExchangeNow, until ctx
// is done. It always returns nil.
func (t *Task) Run(ctx context.Context) error {
	t.mu.Lock()
	t.init()
	t.startedAt = time.Now()
	t.mu.Unlock()
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	urgent := rate.NewLimiter(urgentRounds, urgentRounds)
	for ctx.Err() == nil {
		began := time.Now()
		t.round(ctx, began)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-t.wake:
			wait := ticker.C
			if urgent.Allow() {
				wait = time.After(minRoundGap - time.Since(began))
			}
			select {
			case <-ctx.Done():
			case <-wait:
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
	t.wake = make(chan struct{}, 1)
	for _, s := range t.Seeds {
		t.addPeer(s)
	}
}

// SetSeeds replaces the seeds, and reports whether they are other ones. New ones are called in the next
// rounds, also if they had been silent. Former ones that have never been heard from are called no more.
func (t *Task) SetSeeds(seeds []string) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(seeds, t.Seeds) {
		return false
	}
	t.init()
	former := t.Seeds
	t.Seeds = slices.Clone(seeds)
	for _, address := range former {
		if p := t.peers[address]; p != nil && p.lastHeard.IsZero() && !p.calling && !slices.Contains(seeds, address) {
			delete(t.peers, address)
		}
	}
	for _, address := range seeds {
		t.addPeer(address)
		if p := t.peers[address]; p != nil && p.silent && !slices.Contains(former, address) {
			p.lastCalled = time.Time{}
		}
	}
	return true
}

// addPeer adds a gateway by its address unless it is known already or is this
// one.
func (t *Task) addPeer(address string) {
	if address == t.Self || address == "" || len(address) > maxAddressBytes || t.peers[address] != nil {
		return
	}
	if len(t.peers) >= maxPeers && !t.removeUnheard() {
		return
	}
	t.peers[address] = &peer{}
}

// removeUnheard removes a gateway that has never been heard from, if there is one. Seeds are kept.
func (t *Task) removeUnheard() bool {
	for address, p := range t.peers {
		if p.lastHeard.IsZero() && !p.calling && !slices.Contains(t.Seeds, address) {
			delete(t.peers, address)
			return true
		}
	}
	return false
}

// round starts exchanges with the gateways that are due.
func (t *Task) round(ctx context.Context, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, address := range t.due(now) {
		p := t.peers[address]
		p.calling, p.lastCalled = true, now
		go t.call(ctx, address)
	}
	t.publishLivePeers(now)
	t.Scheduler.Tell(t.countGateways(now))
	t.Catalog.SetRelaxed(t.watchersBefore() >= closeWatchers)
}

func (t *Task) call(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer func() {
		t.mu.Lock()
		t.peers[address].calling = false
		t.mu.Unlock()
	}()
	client := wire.NewDRPCGatewaysClient(t.Dialer.To(address))
	reply, err := client.Tell(ctx, t.state(time.Now(), address, false))
	if err != nil {
		t.recordFailedCall(ctx, address)
		return
	}
	t.receive(ctx, reply)
	if t.Suspects.Digest() == reply.SuspicionDigest {
		return
	}
	// The other gateway may lack something that this one has not sent.
	if s := t.state(time.Now(), address, true); len(s.Suspicions) > 0 {
		if reply, err = client.Tell(ctx, s); err == nil {
			t.receive(ctx, reply)
		}
	}
}

// state returns the message that this gateway sends to the given one. digestKnown reports
// that a message of the other has just told what it suspects.
func (t *Task) state(now time.Time, to string, digestKnown bool) *wire.GatewayState {
	s := &wire.GatewayState{
		Address:     t.Self,
		DataCentre:  string(t.DataCentre),
		Incarnation: string(t.Incarnation),
		StoreAway:   t.Catalog.StoreUnreachable(),
		Loads:       encodeLoads(t.Scheduler.Loads()),
		Speeds:      encodeSpeeds(t.Scheduler.Speeds()),
	}
	encodePositions(s, t.Catalog.Positions())
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[to]
	if p == nil {
		return s
	}
	b := t.Suspects.BatchFor(now, suspect.Peer{
		Acknowledged: p.acknowledged, Met: p.met, Digest: p.digest, DigestKnown: digestKnown, DiffersSince: p.differsSince,
	})
	s.Suspicions, s.SuspicionSince, s.SuspicionChange = b.Suspicions, b.Since, b.Change
	s.SuspicionDigest = t.Suspects.Digest()
	s.SuspicionHave, s.SuspicionIncarnation = p.received, p.incarnation
	if now.Sub(p.addressesSent) >= addressesInterval {
		p.addressesSent = now
		s.Gateways = t.addressesToSend()
	}
	return s
}

// addressesToSend returns up to maxAddressesSent gateways that are heard from,
// and continues with the next ones on each call.
func (t *Task) addressesToSend() []string {
	var all []string
	for _, address := range slices.Sorted(maps.Keys(t.peers)) {
		if p := t.peers[address]; !p.lastHeard.IsZero() && !p.silent {
			all = append(all, address)
		}
	}
	if len(all) <= maxAddressesSent {
		return all
	}
	t.addressOffset = (t.addressOffset + maxAddressesSent) % len(all)
	return append(all[t.addressOffset:], all[:t.addressOffset]...)[:maxAddressesSent]
}

// receive processes the state that another gateway sent.
func (t *Task) receive(ctx context.Context, s *wire.GatewayState) {
	if s.Address == t.Self || s.Address == "" {
		return
	}
	now := time.Now()
	t.mu.Lock()
	t.init()
	t.addPeer(s.Address)
	p := t.peers[s.Address]
	if p == nil {
		t.mu.Unlock()
		return
	}
	newlyHeard := p.lastHeard.IsZero() || p.silent
	p.update(now, s, string(t.Incarnation))
	for _, address := range s.Gateways[:min(len(s.Gateways), maxAddressesSent)] {
		t.addPeer(address)
	}
	t.mu.Unlock()
	if newlyHeard {
		t.Log.Write(event.GatewayHeard, "gateway", s.Address, "data_centre", s.DataCentre, "incarnation", s.Incarnation)
	}
	t.Scheduler.Tell(placement.PeerLoads{Gateway: s.Address, Loads: decodeLoads(s.Loads), Speeds: decodeSpeeds(s.Speeds)})
	t.Suspects.Merge(now, s.Suspicions)
	t.compareDigests(now, p, s.SuspicionDigest)
	if s.SuspicionSince == 0 {
		t.setIntroduced()
	}
	t.Catalog.ObservePositions(context.WithoutCancel(ctx), s.Address, decodePositions(s))
}

// compareDigests notes whether a gateway suspects the same as this one.
func (t *Task) compareDigests(now time.Time, p *peer, digest uint64) {
	own := t.Suspects.Digest()
	t.mu.Lock()
	defer t.mu.Unlock()
	p.digest = digest
	switch {
	case digest == own:
		p.differsSince = time.Time{}
	case p.differsSince.IsZero():
		p.differsSince = now
	}
}

// ExchangeNow starts a round of exchanges without waiting for the next interval,
// to report new suspicions to the other gateways. The returned channel is already
// closed, so that callers do not wait for delivery.
func (t *Task) ExchangeNow() <-chan struct{} {
	t.mu.Lock()
	t.init()
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
	done := make(chan struct{})
	close(done)
	return done
}

// Chosen reports whether this gateway is the one, of those that it hears from, whose turn
// it is. The turns have the same numbers at all gateways. It is never the turn of a gateway
// that has just started.
func (t *Task) Chosen(turn uint64) bool {
	live := t.livePeers.Load()
	return live != nil && suspect.Chosen(turn, t.Self, *live)
}

// LiveGateways returns the number of other gateways that were not silent at the last round.
func (t *Task) LiveGateways() int {
	if live := t.livePeers.Load(); live != nil {
		return len(*live)
	}
	return 0
}

// Tell handles a state sent by another gateway and returns the state of this one.
func (t *Task) Tell(ctx context.Context, s *wire.GatewayState) (*wire.GatewayState, error) {
	t.receive(ctx, s)
	return t.state(time.Now(), s.Address, true), nil
}

// Fetch sends a section of the published state to a gateway that has an older
// revision.
func (t *Task) Fetch(r *wire.FetchRequest, stream wire.DRPCGateways_FetchStream) error {
	state, err := t.Catalog.EncodedState(r)
	if err != nil {
		return err
	}
	return wire.SendState(stream, state)
}

// encodePositions sets the positions in a message.
func encodePositions(into *wire.GatewayState, positions catalog.Positions) {
	for _, p := range positions {
		into.Revisions = append(into.Revisions, uint64(p.Revision))
		into.Eras = append(into.Eras, uint64(p.Era))
	}
}

// decodePositions returns the positions in a message, without those of sections that this version
// does not know. Those of gateways that send no eras count as of era 0.
func decodePositions(s *wire.GatewayState) catalog.Positions {
	var out catalog.Positions
	for n := range out {
		if n < len(s.Revisions) {
			out[n].Revision = catalog.Revision(s.Revisions[n])
		}
		if n < len(s.Eras) {
			out[n].Era = catalog.Era(s.Eras[n])
		}
	}
	return out
}
