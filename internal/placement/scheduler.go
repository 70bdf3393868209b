package placement

import (
	"context"
	"sync"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/pkg/result"
)

// tickInterval is how often waiting requests are reconsidered when no message
// arrives.
const tickInterval = 20 * time.Millisecond

// Scheduler makes a Core and a RetryBudget safe for concurrent use. The exported
// fields must be set before use.
type Scheduler struct {
	Core        Core
	RetryBudget RetryBudget
	Log         *event.Log

	mu         sync.Mutex
	lastTicket Ticket
	waiters    map[Ticket]chan Effect
}

// Run sends periodic ticks to the core while requests are waiting, until ctx is
// done.
func (sched *Scheduler) Run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			sched.mu.Lock()
			if sched.Core.Waiting() > 0 {
				sched.handle(now, Ticked{})
			}
			sched.mu.Unlock()
		}
	}
}

// Tell passes a message to the core.
func (sched *Scheduler) Tell(m Message) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	sched.handle(time.Now(), m)
}

func (sched *Scheduler) handle(now time.Time, m Message) {
	for _, e := range sched.Core.Handle(now, m) {
		switch e := e.(type) {
		case Grant:
			sched.deliver(e.Ticket, e)
		case Refuse:
			sched.deliver(e.Ticket, e)
		case Leaves:
			sched.Log.Write(event.UpstreamLeaves, "upstream", e.Upstream, "source", "answer", "request_id", e.RequestID)
		case Paused:
			sched.Log.Write(event.UpstreamPaused, "upstream", e.Upstream, "for_ms", e.For.Milliseconds(), "request_id", e.RequestID)
		case Weighed:
			sched.Log.Write(event.EngineWeighed, "upstream", e.Upstream, "weight", e.Weight, "slowdown", e.Slowdown)
		case Avoided:
			sched.Log.Write(event.UpstreamAvoided, "upstream", e.Upstream, "for_ms", e.For.Milliseconds(), "outcome", e.Outcome)
		}
	}
}

func (sched *Scheduler) deliver(t Ticket, e Effect) {
	if w := sched.waiters[t]; w != nil {
		w <- e
		delete(sched.waiters, t)
	}
}

// Acquire blocks until an upstream is granted for the request. The error is a
// *result.Error if the request is refused, or the cause of ctx's cancellation.
func (sched *Scheduler) Acquire(ctx context.Context, r Request) (Grant, error) {
	reply := make(chan Effect, 1)
	sched.mu.Lock()
	if sched.waiters == nil {
		sched.waiters = make(map[Ticket]chan Effect)
	}
	sched.lastTicket++
	t := sched.lastTicket
	sched.waiters[t] = reply
	sched.handle(time.Now(), Enqueue{t, r})
	sched.mu.Unlock()
	select {
	case e := <-reply:
		return grantOrError(e)
	case <-ctx.Done():
		return sched.cancel(ctx, t, reply)
	}
}

// Move grants another upstream to a request whose own sends nothing, if one can run it at once
// and the retry budget allows it, and charges the budget. r.Tried must have the present one.
func (sched *Scheduler) Move(r *Request) (Grant, bool) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	sched.lastTicket++
	now := time.Now()
	return sched.Core.move(now, sched.lastTicket, r, func() bool {
		return sched.RetryBudget.Spend(now, r.Service, sched.Core.gatewayEstimate())
	})
}

// cancel removes a request from the queue. If the request was granted in the
// meantime, the grant is released.
func (sched *Scheduler) cancel(ctx context.Context, t Ticket, reply chan Effect) (Grant, error) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	select {
	case e := <-reply:
		if g, ok := e.(Grant); ok {
			sched.handle(time.Now(), Done{g.Ticket, Left})
		}
	default:
		delete(sched.waiters, t)
		sched.handle(time.Now(), Cancelled{t})
	}
	return Grant{}, context.Cause(ctx)
}

func grantOrError(e Effect) (Grant, error) {
	switch e := e.(type) {
	case Grant:
		return e, nil
	case Refuse:
		err := result.Errorf(e.Code, "no upstream has room for this request")
		err.RetryAfter = e.RetryAfter
		return Grant{}, err
	}
	return Grant{}, result.Errorf(result.Internal, "unexpected effect %T", e)
}

// Valid reports whether a granted request may still be sent.
func (sched *Scheduler) Valid(t Ticket) bool {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.Core.Valid(time.Now(), t)
}

// RetryAfterPause returns after what time a refused caller of a service may return, if
// all upstreams of the service have asked for a pause, or zero.
func (sched *Scheduler) RetryAfterPause(s route.ServiceName) time.Duration {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.Core.retryAfterPause(time.Now(), s)
}

// CountRequest records a caller's request in the retry budget.
func (sched *Scheduler) CountRequest(s route.ServiceName) {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	sched.RetryBudget.CountRequest(time.Now(), s)
}

// AllowRetry takes one retry from the budget and reports whether it was granted.
func (sched *Scheduler) AllowRetry(s route.ServiceName) bool {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.RetryBudget.Spend(time.Now(), s, sched.Core.gatewayEstimate())
}

// SetRetryBounds replaces the bounds of the retry budget and reports whether they
// changed.
func (sched *Scheduler) SetRetryBounds(b RetryBounds) bool {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	if sched.RetryBudget.Bounds == b {
		return false
	}
	sched.RetryBudget.Bounds = b
	// The bucket numbers depend on the window length, so counts from the previous
	// window can't be carried over.
	sched.RetryBudget.windows = nil
	return true
}

// CrossingShares returns for each service the share of the requests without room in their
// data centre that may leave it.
func (sched *Scheduler) CrossingShares() map[route.ServiceName]float64 {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.Core.CrossingShares()
}

// Speeds returns what this gateway has observed of the speed of upstreams lately, to be
// told to the other gateways.
func (sched *Scheduler) Speeds() map[LoadKey]Speed {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.Core.Speeds(time.Now())
}

// Explain returns where the request would be sent if it arrived now, without sending it.
func (sched *Scheduler) Explain(r *Request) Explanation {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.Core.Explain(time.Now(), r)
}

// Loads returns the load that this gateway has in flight per upstream, to be
// reported to the other gateways.
func (sched *Scheduler) Loads() map[LoadKey]Load {
	sched.mu.Lock()
	defer sched.mu.Unlock()
	return sched.Core.Loads()
}
