package direct

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
)

// drainPollInterval is how often a draining gateway checks for requests in
// flight.
const drainPollInterval = 50 * time.Millisecond

// errStopping is the cancellation cause of a request that waits for an upstream when the
// gateway stops sending requests, and errStopped that of a request that is unanswered at the
// end of the stop.
var (
	errStopping = errors.New("the gateway is stopping")
	errStopped  = errors.New("the gateway stops before the answer")
)

// stopState is how far the stop of a gateway has come.
type stopState struct {
	draining atomic.Bool
	// refusing is done once new requests are refused. By then the load balancer has
	// stopped sending requests, and the stop limit is too short to answer new ones.
	refusing context.Context
	refuse   context.CancelFunc
	// ended is done at the end of the stop.
	ended context.Context
	end   context.CancelFunc
	// endsAt is when the stop ends, with its monotonic reading; set before refusing is done.
	endsAt atomic.Pointer[time.Time]
}

func (s *stopState) init() {
	s.refusing, s.refuse = context.WithCancel(context.Background())
	s.ended, s.end = context.WithCancel(context.Background())
}

func (s *stopState) refusesNew() bool { return s.refusing.Err() != nil }

// allows reports whether a request with the deadline may still be sent to an upstream: one
// that may outlast the stop would be cut off.
func (s *stopState) allows(deadline time.Time) bool {
	return !s.refusesNew() || !deadline.After(*s.endsAt.Load())
}

// Drain makes Ready report false and asks callers to close their connections.
func (g *Gateway) Drain() { g.stop.draining.Store(true) }

// RefuseNew makes the gateway refuse all new requests, and those that have not been sent to
// an upstream unless their time is up before the stop ends.
func (g *Gateway) RefuseNew(endsAt time.Time) {
	g.stop.endsAt.Store(&endsAt)
	g.stop.refuse()
}

// End answers all requests that are in flight with an error. Streams that have begun are
// broken off.
func (g *Gateway) End() { g.stop.end() }

// WaitIdle waits until no request has been in flight for the quiet period, or ctx is done.
// arriving returns the number of requests that have not reached the gateway yet because
// their heads are still being read.
//
// The period is counted in checks, not by the clock: a process that gets no processor time
// must not conclude that no requests arrive.
func (g *Gateway) WaitIdle(ctx context.Context, quiet time.Duration, arriving func() int) {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for idle := time.Duration(0); idle < quiet; {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		idle += drainPollInterval
		if g.InFlight() > 0 || arriving() > 0 {
			idle = 0
		}
	}
}

// askToClose asks the caller to close its connection if the gateway is stopping.
func (g *Gateway) askToClose(h http.Header) {
	if g.stop.draining.Load() {
		h.Set("Connection", "close")
	}
}

// stoppingError returns the refusal of a stopping gateway.
func stoppingError() error {
	e := result.Errorf(result.Stopping, "this gateway stops")
	e.RetryAfter = stoppingRetryAfter
	return e
}

// untilStopEnds returns a context that is cancelled at the end of the stop.
func (g *Gateway) untilStopEnds(ctx context.Context) (context.Context, context.CancelFunc) {
	return cancelledBy(ctx, g.stop.ended, errStopped)
}

// cancelledBy returns a context that is also cancelled, for the given cause, when other is
// done.
func cancelledBy(ctx, other context.Context, cause error) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(other, func() { cancel(cause) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// interruptBody makes reads of the request's body fail at the end of the stop. The returned
// function ends that.
func (p *proxiedRequest) interruptBody() func() bool {
	control := http.NewResponseController(p.w)
	return context.AfterFunc(p.gateway.stop.ended, func() { _ = control.SetReadDeadline(time.Now()) })
}
