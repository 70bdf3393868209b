package gateway

import (
	"context"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/booking"
	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// silenceInterval is how often the sidecars of a request are checked for silence.
const silenceInterval = 250 * time.Millisecond

// arrival is a message from an attempt's stream, with what it carries.
type arrival struct {
	message dispatch.Message
	headers []*wire.Header
	data    []byte
	detail  string
	tokens  table.Tokens
	// death names the death of an upstream that the attempt may have met.
	death fleet.Incarnation
}

// run is the task of one request. It owns the dispatch core and the answer.
type run struct {
	gateway  *Gateway
	call     *call
	offer    *wire.Offer
	answer   *answer
	attempts dispatch.Attempts
	place    *dispatch.QueueEntry
	trace    *trace
	inbox    chan arrival
	streams  map[dispatch.AttemptNumber]*stream
	// suspected says that the request may have ended an upstream.
	suspected bool
	tokens    table.Tokens
	finish    dispatch.Finish
	// wake is when the core wants a Ticked.
	wake time.Time
	// last is the arrival that the core is being told of.
	last arrival
}

// execute carries a call to its end and gives the tokens of its answer.
func (g *Gateway) execute(ctx context.Context, c *call, a *answer) (dispatch.Finish, table.Tokens) {
	r := &run{
		gateway: g,
		call:    c,
		offer:   c.offer(string(g.Name)),
		answer:  a,
		trace:   g.traces.begin(c),
		inbox:   make(chan arrival),
		streams: make(map[dispatch.AttemptNumber]*stream),
	}
	defer g.traces.end(r.trace)
	if f, refused := r.judge(); refused {
		return f, 0
	}
	r.place = g.room.Enqueue(c.class.Tier)
	if r.place == nil {
		return r.refuse(result.QueueFull, "gateway queue is full", time.Second), 0
	}
	defer g.room.Remove(r.place)
	r.prepare()
	r.loop(ctx)
	return r.finish, r.tokens
}

func (r *run) judge() (dispatch.Finish, bool) {
	suspected, err := r.gateway.Suspects.Judge(time.Now(), r.offer)
	if err != nil {
		return r.refuse(result.CodeOf(err), result.DetailOf(err), result.RetryAfterOf(err)), true
	}
	r.suspected = suspected
	return dispatch.Finish{}, false
}

// judgeAgain is asked before each offer: earlier attempts of this request, or
// of the same one at another gateway, may have ended upstreams meanwhile.
func (r *run) judgeAgain() error {
	suspected, err := r.gateway.Suspects.Judge(time.Now(), r.offer)
	r.suspected = r.suspected || suspected
	return err
}

func (r *run) refuse(code result.Code, detail string, after time.Duration) dispatch.Finish {
	r.answer.detail = detail
	r.trace.step("refused", "", code)
	return dispatch.Finish{Code: code, NotRun: code.Info().NotRun && !r.call.keyed(), RetryAfter: after}
}

func (r *run) prepare() {
	r.gateway.budget.Earn()
	r.attempts = dispatch.Attempts{
		Request: dispatch.Request{
			ID:       r.call.id,
			Class:    r.call.class,
			Arrived:  r.call.arrived,
			Deadline: r.call.arrived.Add(r.call.class.Deadline),
			Streamed: r.call.streamed,
			Keyed:    r.call.keyed(),
		},
		Pick:   r.pick,
		Budget: &r.gateway.budget,
	}
}

// pick gives the next candidate. A key has one home and a suspect one place;
// all else goes where the load is least.
func (r *run) pick(now time.Time, tried map[dispatch.Candidate]bool) (dispatch.Candidate, bool) {
	v := r.gateway.Fleet.View()
	switch {
	case r.call.keyed():
		members, _ := booking.Members(v, r.call.class.Service)
		home := booking.Order(booking.Key{Account: r.call.account.Name, Text: r.call.key}, members)
		return untried(tried, home...)
	case r.suspected:
		return r.pickPlace(now, v, tried)
	default:
		return r.gateway.pool.Pick(now, r.call.class.Kind, r.call.service(), tried)
	}
}

// pickPlace gives the place of a suspect, or while that takes no work the next
// one: a suspect is offered to one of them at a time.
func (r *run) pickPlace(now time.Time, v *fleet.View, tried map[dispatch.Candidate]bool) (dispatch.Candidate, bool) {
	vms := v.Serving(r.call.class.Kind, r.call.service())
	first, ok := r.gateway.Suspects.Place(r.offer, vms)
	if !ok {
		return dispatch.Candidate{}, false
	}
	if c := candidate(first); r.gateway.pool.RefusalCode(now, c) == result.OK {
		return c, !tried[c]
	}
	vms = slices.DeleteFunc(slices.Clone(vms), func(vm fleet.VM) bool { return vm.Name == first.Name })
	if second, ok := r.gateway.Suspects.Place(r.offer, vms); ok {
		return untried(tried, second)
	}
	return untried(tried, first)
}

func candidate(vm fleet.VM) dispatch.Candidate {
	return dispatch.Candidate{VM: vm.Name, Upstream: vm.Upstream, Address: vm.Address}
}

// untried gives the first VM as a candidate, unless it was tried.
func untried(tried map[dispatch.Candidate]bool, vms ...fleet.VM) (dispatch.Candidate, bool) {
	if len(vms) == 0 {
		return dispatch.Candidate{}, false
	}
	c := candidate(vms[0])
	return c, !tried[c]
}

func (r *run) loop(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(silenceInterval)
	defer timer.Stop()
	evicted := r.place.Evicted
	r.tell(ctx, arrival{message: dispatch.Started{}})
	for !r.attempts.Done() {
		timer.Reset(min(time.Until(r.wake), silenceInterval))
		select {
		case a := <-r.inbox:
			r.tell(ctx, a)
		case <-timer.C:
			r.noteSilence(ctx)
			if !time.Now().Before(r.wake) {
				r.tell(ctx, arrival{message: dispatch.Ticked{}})
			}
		case <-evicted:
			evicted = nil
			r.tell(ctx, arrival{message: dispatch.Evicted{}})
		case <-ctx.Done():
			r.tell(ctx, arrival{message: dispatch.CallerGone{}})
		}
	}
}

// noteSilence tells the core of sidecars that send no heartbeat.
func (r *run) noteSilence(ctx context.Context) {
	now := time.Now()
	for n, s := range r.streams {
		if r.gateway.pool.Silent(now, s.candidate) {
			r.tell(ctx, arrival{message: dispatch.Silent{Attempt: n}})
		}
	}
}

// tell hands a message to the core and carries out its effects.
func (r *run) tell(ctx context.Context, a arrival) {
	r.last = a
	r.traceArrival(a)
	if a.death != "" {
		r.suspected = true
		r.gateway.Suspects.Died(time.Now(), a.death, []*wire.Offer{r.offer})
	}
	for _, e := range r.attempts.Handle(time.Now(), a.message) {
		r.carryOut(ctx, e)
	}
}

func (r *run) carryOut(ctx context.Context, e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.WakeAt:
		r.wake = e.Time
	case dispatch.Offer:
		r.open(ctx, e)
	case dispatch.SendBody:
		r.sendBody(e.Attempt)
	case dispatch.Withdraw:
		r.close(e.Attempt)
	case dispatch.ForwardHead:
		r.answer.takeHead(e.Status, r.last.headers)
	case dispatch.ForwardChunk:
		r.giveChunk()
	case dispatch.Discard:
		r.answer.discard()
	case dispatch.CountRetry:
		r.gateway.metrics.retry(e.Reason)
		r.trace.step(string(e.Reason), "", result.OK)
	case dispatch.Finish:
		r.conclude(e)
	}
}

// open offers to a sidecar. A gateway that was paused first hears what is new:
// what it knows may name a data centre that has been taken out.
func (r *run) open(ctx context.Context, e dispatch.Offer) {
	if err := r.judgeAgain(); err != nil {
		go r.refuseOffer(ctx, e.Attempt, err)
		return
	}
	if err := r.gateway.Fleet.Renew(ctx); err != nil {
		go r.refuseOffer(ctx, e.Attempt, err)
		return
	}
	r.trace.step("offer", e.Candidate.VM, result.OK)
	offer := r.offerFor(e)
	s := &stream{
		candidate: e.Candidate,
		number:    e.Attempt,
		offer:     offer,
		inbox:     r.inbox,
		client:    wire.NewDRPCWorkClient(r.gateway.Dialer.To(string(e.Candidate.Address))),
	}
	r.streams[e.Attempt] = s
	r.gateway.pool.AddOffer(e.Candidate)
	s.start(ctx, func() { r.gateway.pool.RemoveOffer(e.Candidate) })
}

// refuseOffer answers an offer that never went out.
func (r *run) refuseOffer(ctx context.Context, n dispatch.AttemptNumber, err error) {
	a := arrival{message: dispatch.Refused{Attempt: n, Code: result.CodeOf(err), NotRun: true}, detail: result.DetailOf(err)}
	select {
	case r.inbox <- a:
	case <-ctx.Done():
	}
}

func (r *run) offerFor(e dispatch.Offer) *wire.Offer {
	o := wire.Offer{
		RequestId: r.offer.RequestId, Account: r.offer.Account, Class: r.offer.Class, Tier: r.offer.Tier,
		CostTokens: r.offer.CostTokens, TableRevision: r.offer.TableRevision, Fingerprint: r.offer.Fingerprint,
		Key: r.offer.Key, BodyHash: r.offer.BodyHash, Idempotent: r.offer.Idempotent, Method: r.offer.Method,
		Path: r.offer.Path, Headers: r.offer.Headers, BodyBytes: r.offer.BodyBytes, Streamed: r.offer.Streamed,
		Gateway: r.offer.Gateway, Model: r.offer.Model,
	}
	o.Attempt = uint32(e.Attempt)
	o.ResumeOffset = uint32(e.ResumeOffset)
	o.TimeLeftUs = uint64(max(time.Until(r.attempts.Request.Deadline), 0).Microseconds())
	o.WaitedUs = uint64(time.Since(r.call.arrived).Microseconds())
	v := r.gateway.Fleet.View()
	o.VmListVersion = uint64(v.VMs.Version)
	if v.Table != nil {
		o.TableRevision = uint64(v.Table.Revision)
	}
	return &o
}

func (r *run) sendBody(n dispatch.AttemptNumber) {
	s := r.streams[n]
	if s == nil {
		return
	}
	r.trace.step("granted", s.candidate.VM, result.OK)
	r.gateway.room.Remove(r.place)
	go s.sendBody(r.call.body)
}

func (r *run) close(n dispatch.AttemptNumber) {
	if s := r.streams[n]; s != nil {
		s.cancel()
		delete(r.streams, n)
	}
}

func (r *run) giveChunk() {
	if m, ok := r.last.message.(dispatch.ChunkReceived); ok {
		r.tokens += m.Tokens
	}
	r.answer.takeData(r.last.data)
}

func (r *run) conclude(f dispatch.Finish) {
	r.finish = f
	r.tokens = max(r.tokens, r.last.tokens)
	if f.Code == result.OK && r.suspected {
		r.gateway.Suspects.Clean(time.Now(), r.offer)
	}
	r.answer.detail = r.last.detail
	r.trace.step("finished", "", f.Code)
}
