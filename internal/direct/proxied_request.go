package direct

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/connection"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/memory"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	// maxResponseSize is the maximum size in bytes of a buffered response.
	maxResponseSize = 16 << 20
	// defaultTimeout applies to callers that specify no timeout.
	defaultTimeout = 30 * time.Second
	// defaultBodyLimit is the maximum size of a request body in bytes if the table
	// sets none.
	defaultBodyLimit = 1 << 20
	// writeGracePeriod is how long after the request's deadline the response may
	// still be written to the caller.
	writeGracePeriod = 2 * time.Second
	// stoppingRetryAfter is the retry delay for callers that a stopping gateway
	// refuses. It is short because they can retry at once on a connection to
	// another gateway.
	stoppingRetryAfter = 10 * time.Millisecond
	// bytesPerOutputToken is the size of a response token on the wire, and
	// defaultOutputTokens the number of tokens expected in a response if the
	// request does not limit or estimate it.
	bytesPerOutputToken = 16
	defaultOutputTokens = 100
)

// proxiedRequest is the state of one caller's request while it is served.
type proxiedRequest struct {
	gateway    *Gateway
	w          http.ResponseWriter
	call       *Call
	receivedAt time.Time
	// id is the ID of the call once its head has been read; unlike call it may be read beside
	// the handler.
	id atomic.Pointer[CallID]
	// chunksSupported reports that the caller reads chunked responses.
	chunksSupported bool

	// unresolved is the view that has no route for the request, or no client account with its key;
	// otherwise nil.
	unresolved *route.View
	attempts   []attemptResult
	// mayHaveRun reports that an upstream may have run the request.
	mayHaveRun bool
	// headersSent reports that the response headers have been sent to the caller.
	headersSent bool
	// firstEventID and lastEventID are the IDs of the first and the last event sent to the
	// caller.
	firstEventID, lastEventID string
	// eventForwarded reports that an event, or a part of one, has been sent to the
	// caller.
	eventForwarded bool
	// eventOwed reports that the last attempt broke off inside an event that has not been
	// sent, so that a continuation has at least one event.
	eventOwed bool
	// parts is the number of writes of events to the caller.
	parts int
	// firstPartAt is when the first part of the response arrived.
	firstPartAt time.Time
	// panicPlace is where the handling of the request has panicked.
	panicPlace string
	// response is what the caller got; set as the request ends.
	response responseEnd
	// buffered is the last upstream response that can be forwarded.
	buffered *bufferedResponse
	// memory is the request's memory, of which body is the caller's body; nil until the
	// request has a route.
	memory *memory.Account
	body   *memory.Buffer
	// evicted is done when the request must give up its memory before it was sent.
	evicted context.Context
	// next is the next attempt if it has begun; otherwise nil.
	next *attempt
}

// bufferedResponse is the complete response of an upstream.
type bufferedResponse struct {
	status int
	header http.Header
	body   *memory.Buffer
}

// errDeadline is the cancellation cause when the request's deadline passes, and
// errInactive when the upstream sends nothing for too long.
var (
	errDeadline = errors.New("request deadline exceeded")
	errInactive = errors.New("the upstream sent nothing for too long")
)

func (p *proxiedRequest) serve(r *http.Request) {
	if err := p.prepare(r); err != nil {
		p.boundRefusal()
		defer p.logEnd(err)
		p.writeError(err)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), p.call.deadline, errDeadline)
	defer cancel()
	ctx, cancelAtEnd := p.gateway.untilStopEnds(ctx)
	defer cancelAtEnd()
	p.gateway.Scheduler.CountRequest(p.call.service)
	err := p.run(ctx)
	// An incomplete response ends with a panic.
	defer p.logEnd(err)
	p.finish(ctx, err)
}

// prepare reads the request, resolves its route and client account, and rejects
// requests suspected of crashing upstreams.
func (p *proxiedRequest) prepare(r *http.Request) error {
	c, err := p.gateway.Callers.Read(r)
	if err != nil {
		return err
	}
	p.call = c
	p.id.Store(&c.ID)
	if p.gateway.stop.refusesNew() {
		return stoppingError()
	}
	v := p.gateway.Catalog.View()
	if v.Table == nil {
		e := result.Errorf(result.NotReady, "no table yet")
		// A gateway gets its table at once while the store is reachable. Without a
		// table the gateway is waiting for the store, so its callers back off as
		// they do when upstreams are full.
		e.RetryAfter = placement.RetryAfter(c.timeoutOrDefault(), xxhash.Sum64String(string(c.ID)))
		return e
	}
	if err := c.resolveRoute(v.Table, p.receivedAt); err != nil {
		p.unresolved = v
		return err
	}
	if err := p.openMemory(r); err != nil {
		return err
	}
	release := p.interruptBody()
	err = p.readBody(r, v.Table.Limits.BodyBytes)
	if interrupted := !release(); interrupted || !p.gateway.stop.allows(c.deadline) {
		return stoppingError()
	}
	if !connection.RequestRead(r.Context()) {
		e := result.Errorf(result.ConnectionsFull, "too many connections")
		e.RetryAfter = placement.RetryAfter(c.timeoutOrDefault(), xxhash.Sum64String(string(c.ID)))
		return e
	}
	if err != nil {
		return err
	}
	c.identity = c.identify()
	return p.checkSuspect()
}

// checkSuspect notes whether the request runs apart from others, and returns an error if it
// is held back. A trial is one attempt that reaches an upstream, and is held back like all
// others after it.
func (p *proxiedRequest) checkSuspect() error {
	o := p.call.identity
	if o.Trial && p.reachedAttempts() == 0 {
		return nil
	}
	o.Trial, o.Tried = false, nil
	v, err := p.gateway.Suspects.Check(time.Now(), o)
	if err != nil {
		return err
	}
	o.Trial, o.Tried = v.Trial, suspect.Numbers(v.Tried)
	return nil
}

// run sends the request until it has a response or may not be retried. The
// error is nil if the response has been sent or buffered.
func (p *proxiedRequest) run(ctx context.Context) error {
	defer p.dropNext()
	for first := true; ; first = false {
		if p.evicted.Err() != nil {
			return p.memoryError(memory.ErrEvicted)
		}
		a := p.next
		if p.next = nil; a == nil {
			if !first {
				if err := p.checkSuspect(); err != nil {
					return p.placementError(ctx, err)
				}
			}
			queuedAt := time.Now()
			grant, err := p.acquire(ctx)
			if err != nil {
				return p.placementError(ctx, err)
			}
			a = &attempt{proxiedRequest: p, grant: grant, started: time.Now(), waited: time.Since(queuedAt)}
		}
		again, err := p.send(ctx, a)
		if !again {
			return err
		}
		p.gateway.metrics.retries(p.lastAttempt().outcome).Inc()
		p.gateway.Log.Write(event.RequestResent, "request_id", p.call.ID, "after", p.lastAttempt().outcome,
			"upstream", p.lastAttempt().upstream, "last_event", p.lastEventID)
	}
}

// acquire waits for an upstream. The wait ends when the gateway is stopping and the request
// may not be sent any more.
func (p *proxiedRequest) acquire(ctx context.Context) (placement.Grant, error) {
	stop := &p.gateway.stop
	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if !p.mayHaveRun {
		defer context.AfterFunc(stop.refusing, func() {
			if !stop.allows(p.call.deadline) {
				cancel(errStopping)
			}
		})()
	}
	defer context.AfterFunc(p.evicted, func() { cancel(memory.ErrEvicted) })()
	grant, err := p.gateway.Scheduler.Acquire(waiting, p.placementRequest())
	if err != nil && errors.Is(context.Cause(waiting), errStopping) {
		return grant, stoppingError()
	}
	if err != nil && errors.Is(context.Cause(waiting), memory.ErrEvicted) {
		return grant, p.memoryError(memory.ErrEvicted)
	}
	return grant, err
}

// placementRequest describes the request to package placement.
func (p *proxiedRequest) placementRequest() placement.Request {
	c := p.call
	q := placement.Request{
		Service:      c.service,
		Rank:         c.rank,
		Objective:    c.route.Objective,
		Deadline:     c.deadline,
		Prompt:       c.Prompt,
		OutputTokens: c.expectedOutput(),
		Bytes:        int(p.body.Len()) + bytesPerOutputToken*c.expectedOutput(),
	}
	if c.account != nil {
		q.Account = c.account.Name
	}
	if p.headersSent {
		// A new request is refused earlier, because it may go to another gateway.
		q.MaxWait = max(eventTimeout(c.route), c.route.Objective)
	}
	returnable := p.returnable()
	q.Returnable = returnable
	if p.reachedAttempts() >= c.route.MaxAttempts {
		q.Only = returnable
	}
	for _, a := range p.attempts {
		if !slices.Contains(returnable, a.upstream) {
			q.Tried = append(q.Tried, a.upstream)
		}
	}
	if len(c.identity.Tried) > 0 {
		q.Apart = placement.PartID(c.identity.Tried[0])
	}
	return q
}

// placementError returns the error to report when no upstream was granted, or
// nil if a buffered response can be sent instead.
func (p *proxiedRequest) placementError(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline) && !errors.Is(context.Cause(ctx), errStopped):
		return result.Errorf(result.CallerGone, "the caller disconnected")
	case p.buffered != nil && !p.headersSent:
		return nil
	case errors.Is(context.Cause(ctx), errStopped) && !p.mayHaveRun:
		return stoppingError()
	case errors.Is(context.Cause(ctx), errDeadline) && p.mayHaveRun:
		return result.Errorf(result.UpstreamTimeout, "the request's time is up")
	case errors.Is(context.Cause(ctx), errDeadline):
		return result.Errorf(result.DeadlinePassed, "no upstream had room in time")
	case p.mayHaveRun:
		return result.Errorf(result.OutcomeUnknown, "%w, and the request may have run", err)
	}
	return err
}
