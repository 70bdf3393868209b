package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/booking"
	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// heartbeatCheckInterval is the interval at which the sidecars of a request are
// checked for missing heartbeats.
const heartbeatCheckInterval = 250 * time.Millisecond

// streamMessage is a message from an attempt's stream together with its
// payload.
type streamMessage struct {
	message dispatch.Message
	headers []*wire.Header
	data    []byte
	detail  string
	tokens  table.Tokens
	// death is the incarnation of an upstream that died while the attempt may
	// have been running on it. It is empty if none died.
	death fleet.Incarnation
}

// execution is the state of one request that is being carried out. A single
// goroutine owns it, with the dispatch state machine and the answer.
type execution struct {
	gateway    *Gateway
	call       *call
	offer      *wire.Offer
	answer     *answer
	attempts   dispatch.Attempts
	queueEntry *dispatch.QueueEntry
	trace      *trace
	messages   chan streamMessage
	streams    map[dispatch.AttemptNumber]*attemptStream
	// suspected reports that the request is suspected of having crashed an
	// upstream.
	suspected bool
	// offered reports that an attempt of a trial has begun.
	offered bool
	tokens  table.Tokens
	finish  dispatch.Finish
	// wakeAt is the time at which the state machine asks for a Ticked message.
	wakeAt time.Time
	// current is the message that the state machine is handling.
	current streamMessage
}

// execute runs a call to its end and returns the tokens of its answer.
func (g *Gateway) execute(ctx context.Context, c *call, a *answer) (dispatch.Finish, table.Tokens) {
	r := &execution{
		gateway:  g,
		call:     c,
		offer:    c.offer(string(g.Name)),
		answer:   a,
		trace:    g.traces.begin(c),
		messages: make(chan streamMessage),
		streams:  make(map[dispatch.AttemptNumber]*attemptStream),
	}
	defer g.traces.end(r.trace)
	if f, refused := r.checkSuspect(); refused {
		return f, 0
	}
	r.queueEntry = g.queue.Enqueue(c.class.Tier)
	if r.queueEntry == nil {
		return r.refuse(result.QueueFull, "gateway queue is full", time.Second), 0
	}
	defer g.queue.Remove(r.queueEntry)
	r.initAttempts()
	r.loop(ctx)
	return r.finish, r.tokens
}

func (r *execution) checkSuspect() (dispatch.Finish, bool) {
	if err := r.check(); err != nil {
		return r.refuse(result.CodeOf(err), result.DetailOf(err), result.RetryAfterOf(err)), true
	}
	return dispatch.Finish{}, false
}

// check notes in the offer how the request may run, and returns an error if it may not.
func (r *execution) check() error {
	r.offer.Trial, r.offer.Tried = false, nil
	v, err := r.gateway.Suspects.Check(time.Now(), r.offer)
	r.suspected = r.suspected || v.Apart()
	r.offer.Trial, r.offer.Tried = v.Trial, suspect.Numbers(v.Tried)
	return err
}

// recheckSuspect runs before each offer, because earlier attempts of this
// request, or of the same request at another gateway, may have crashed
// upstreams in the meantime. A trial is the first attempt alone.
func (r *execution) recheckSuspect() error {
	if r.offer.Trial && !r.offered {
		r.offered = true
		return nil
	}
	return r.check()
}

func (r *execution) refuse(code result.Code, detail string, after time.Duration) dispatch.Finish {
	r.answer.detail = detail
	r.trace.step("refused", "", code)
	return dispatch.Finish{Code: code, NotRun: code.Info().NotRun && !r.call.keyed(), RetryAfter: after}
}

func (r *execution) initAttempts() {
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

// pick returns the next candidate. A request with an idempotency key goes only
// to its home and a suspected request to its assigned sidecar. All others go to
// the sidecar with the least load.
func (r *execution) pick(now time.Time, tried map[dispatch.Candidate]bool) (dispatch.Candidate, bool) {
	v := r.gateway.Fleet.View()
	switch {
	case r.call.keyed():
		members, _ := booking.Members(v, r.call.class.Service)
		home := booking.Order(booking.Key{Account: r.call.account.Name, Text: r.call.key}, members)
		return untried(tried, home...)
	case r.suspected:
		return r.pickForSuspect(now, v, tried)
	default:
		return r.gateway.pool.Pick(now, r.call.class.Kind, r.call.service(), tried)
	}
}

// pickForSuspect returns the sidecar that is assigned to a suspected request,
// or the next one while that takes no work. A suspected request is offered to
// one sidecar at a time.
func (r *execution) pickForSuspect(now time.Time, v *fleet.View, tried map[dispatch.Candidate]bool) (dispatch.Candidate, bool) {
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

// untried returns the first VM as a candidate, and false if it was tried
// before.
func untried(tried map[dispatch.Candidate]bool, vms ...fleet.VM) (dispatch.Candidate, bool) {
	if len(vms) == 0 {
		return dispatch.Candidate{}, false
	}
	c := candidate(vms[0])
	return c, !tried[c]
}

func (r *execution) loop(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(heartbeatCheckInterval)
	defer timer.Stop()
	evicted := r.queueEntry.Evicted
	r.handle(ctx, streamMessage{message: dispatch.Started{}})
	for !r.attempts.Done() {
		timer.Reset(min(time.Until(r.wakeAt), heartbeatCheckInterval))
		select {
		case a := <-r.messages:
			r.handle(ctx, a)
		case <-timer.C:
			r.reportSilent(ctx)
			if !time.Now().Before(r.wakeAt) {
				r.handle(ctx, streamMessage{message: dispatch.Ticked{}})
			}
		case <-evicted:
			evicted = nil
			r.handle(ctx, streamMessage{message: dispatch.Evicted{}})
		case <-r.gateway.ending.Done():
			r.handle(ctx, streamMessage{message: dispatch.StopEnding{}, detail: "the gateway's stop reached its limit"})
		case <-ctx.Done():
			r.handle(ctx, streamMessage{message: dispatch.CallerGone{}})
		}
	}
}

// reportSilent passes a Silent message to the state machine for each attempt
// whose sidecar sends no heartbeats.
func (r *execution) reportSilent(ctx context.Context) {
	now := time.Now()
	for n, s := range r.streams {
		if r.gateway.pool.Silent(now, s.candidate) {
			r.handle(ctx, streamMessage{message: dispatch.Silent{Attempt: n}})
		}
	}
}

// handle passes a message to the state machine and carries out the resulting
// effects.
func (r *execution) handle(ctx context.Context, a streamMessage) {
	r.current = a
	r.traceMessage(a)
	if a.death != "" {
		r.suspected = true
		r.gateway.Suspects.Died(time.Now(), a.death, []*wire.Offer{r.offer})
	}
	for _, e := range r.attempts.Handle(time.Now(), a.message) {
		r.carryOut(ctx, e)
	}
	if r.answer.noRoom && !r.attempts.Done() {
		r.handle(ctx, streamMessage{message: dispatch.NoRoom{}, detail: "the gateway's memory is needed by other answers"})
	}
}

func (r *execution) carryOut(ctx context.Context, e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.WakeAt:
		r.wakeAt = e.Time
	case dispatch.Offer:
		r.startAttempt(ctx, e)
	case dispatch.SendBody:
		r.sendBody(e.Attempt)
	case dispatch.Withdraw:
		r.closeStream(e.Attempt)
	case dispatch.ForwardHead:
		r.answer.setHead(e.Status, r.current.headers)
	case dispatch.ForwardChunk:
		r.forwardChunk()
	case dispatch.Discard:
		r.answer.discard()
	case dispatch.CountRetry:
		r.gateway.metrics.countRetry(e.Reason)
		r.trace.step(string(e.Reason), "", result.OK)
	case dispatch.Finish:
		r.recordOutcome(e)
	}
}

// startAttempt offers the request to a sidecar. A gateway that was paused
// refreshes its view first, because the old view may include a data centre that
// has been taken out.
func (r *execution) startAttempt(ctx context.Context, e dispatch.Offer) {
	if err := r.recheckSuspect(); err != nil {
		go r.refuseOffer(ctx, e.Attempt, err)
		return
	}
	if err := r.gateway.Fleet.Renew(ctx); err != nil {
		go r.refuseOffer(ctx, e.Attempt, err)
		return
	}
	r.trace.step("offer", e.Candidate.VM, result.OK)
	offer := r.offerFor(e)
	s := &attemptStream{
		candidate: e.Candidate,
		number:    e.Attempt,
		offer:     offer,
		messages:  r.messages,
		client:    wire.NewDRPCWorkClient(r.gateway.Dialer.To(string(e.Candidate.Address))),
	}
	r.streams[e.Attempt] = s
	r.gateway.pool.AddOffer(e.Candidate)
	s.start(ctx, func() { r.gateway.pool.RemoveOffer(e.Candidate) })
}

// refuseOffer reports an offer that was not sent as refused and not run.
func (r *execution) refuseOffer(ctx context.Context, n dispatch.AttemptNumber, err error) {
	a := streamMessage{message: dispatch.Refused{Attempt: n, Code: result.CodeOf(err), NotRun: true}, detail: result.DetailOf(err)}
	select {
	case r.messages <- a:
	case <-ctx.Done():
	}
}

func (r *execution) offerFor(e dispatch.Offer) *wire.Offer {
	o := wire.Offer{
		RequestId: r.offer.RequestId, Account: r.offer.Account, Class: r.offer.Class, Tier: r.offer.Tier,
		CostTokens: r.offer.CostTokens, TableRevision: r.offer.TableRevision, Fingerprint: r.offer.Fingerprint,
		Key: r.offer.Key, BodyHash: r.offer.BodyHash, Idempotent: r.offer.Idempotent, Method: r.offer.Method,
		Path: r.offer.Path, Headers: r.offer.Headers, BodyBytes: r.offer.BodyBytes, Streamed: r.offer.Streamed,
		Gateway: r.offer.Gateway, Model: r.offer.Model,
		Traits: r.offer.Traits, Tried: r.offer.Tried, Trial: r.offer.Trial,
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

func (r *execution) sendBody(n dispatch.AttemptNumber) {
	s := r.streams[n]
	if s == nil {
		return
	}
	r.trace.step("granted", s.candidate.VM, result.OK)
	r.gateway.queue.Remove(r.queueEntry)
	go s.sendBody(r.call.body)
}

func (r *execution) closeStream(n dispatch.AttemptNumber) {
	if s := r.streams[n]; s != nil {
		s.cancel()
		delete(r.streams, n)
	}
}

func (r *execution) forwardChunk() {
	if m, ok := r.current.message.(dispatch.ChunkReceived); ok {
		r.tokens += m.Tokens
	}
	r.answer.addData(r.current.data)
}

func (r *execution) recordOutcome(f dispatch.Finish) {
	r.finish = f
	r.tokens = max(r.tokens, r.current.tokens)
	if f.Code == result.OK && r.answer.status < http.StatusMultipleChoices {
		r.gateway.Suspects.Completed(time.Now(), r.offer)
	}
	r.answer.detail = r.current.detail
	r.trace.step("finished", "", f.Code)
}
