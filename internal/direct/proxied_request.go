package direct

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	// maxResponseSize is the most bytes of an answer that is held until it is whole.
	maxResponseSize = 16 << 20
	// defaultTimeout is how long a caller waits that does not say.
	defaultTimeout = 30 * time.Second
	// defaultBodyLimit is the most bytes of a body if the table does not say.
	defaultBodyLimit = 1 << 20
	// writeGracePeriod is how long after a request's deadline a caller may still take
	// its answer.
	writeGracePeriod = 2 * time.Second
	// stoppingRetryAfter is when callers may come back whom a stopping gateway
	// refuses: at once, on a connection to another gateway.
	stoppingRetryAfter = 10 * time.Millisecond
	// bytesPerOutputToken is the size of an answer's token on the way, and outputGuess
	// the tokens expected of an answer that says nothing.
	bytesPerOutputToken = 16
	defaultOutputTokens = 100
)

// proxiedRequest is one caller's request on its way.
type proxiedRequest struct {
	gateway    *Gateway
	w          http.ResponseWriter
	call       *Call
	receivedAt time.Time

	attempts []attemptResult
	// mayHaveRun says that an upstream may have run the request.
	mayHaveRun bool
	// headersSent says that the head of the answer has gone to the caller.
	headersSent bool
	// lastEventID is the lastEventID event that the caller has.
	lastEventID string
	events      int
	// firstPartAt is the time of the firstPartAt part of the answer.
	firstPartAt time.Time
	// buffered is the last answer of an upstream that can be passed on.
	buffered *bufferedResponse
	// budgetCharged says that the budget has been charged for the next send.
	budgetCharged bool
}

// attemptResult is one attemptResult of the request, for the log.
type attemptResult struct {
	upstream route.UpstreamID
	outcome  placement.Outcome
	took     time.Duration
	// waited is how long the request waited for the grant, and expected the time
	// in which the answer was expected to begin.
	waited, expected time.Duration
	detail           string
}

// bufferedResponse is an upstream's whole answer.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// errDeadline is the cause of a context whose request's time is up, errInactive of
// one whose upstream said nothing for too long.
var (
	errDeadline = errors.New("the request's time is up")
	errInactive = errors.New("the upstream said nothing for too long")
)

func (p *proxiedRequest) serve(r *http.Request) {
	if err := p.prepare(r); err != nil {
		p.writeError(err)
		p.logEnd(err)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), p.call.deadline, errDeadline)
	defer cancel()
	p.gateway.Desk.Count(p.call.service)
	err := p.run(ctx)
	p.logEnd(err)
	p.finish(ctx, err)
}

// prepare reads the request and finds its route and client account.
func (p *proxiedRequest) prepare(r *http.Request) error {
	c, err := p.gateway.Callers.Read(r)
	if err != nil {
		return err
	}
	p.call = c
	if p.gateway.refusingNew.Load() {
		e := result.Errorf(result.Stopping, "this gateway stops")
		e.RetryAfter = stoppingRetryAfter
		return e
	}
	v := p.gateway.Catalog.View()
	if v.Table == nil {
		e := result.Errorf(result.NotReady, "no table yet")
		// While the store answers a gateway has its table at once, so one that has none
		// waits for the store, and its callers return as from full upstreams.
		e.RetryAfter = placement.ReturnAfter(c.timeoutOrDefault(), xxhash.Sum64String(string(c.ID)))
		return e
	}
	if err := c.resolveRoute(v.Table, p.receivedAt); err != nil {
		return err
	}
	if err := c.readBody(p.w, r, v.Table.Limits.BodyBytes); err != nil {
		return err
	}
	c.fingerprint = c.computeFingerprint()
	if p.gateway.Suspects.Refused(time.Now(), c.fingerprint) {
		return result.Errorf(result.Suspect, "upstreams ended while they ran this request")
	}
	return nil
}

// timeoutOrDefault gives how long the caller waits.
func (c *Call) timeoutOrDefault() time.Duration {
	if c.Timeout <= 0 {
		return defaultTimeout
	}
	return c.Timeout
}

// resolveRoute finds route, account and deadline.
func (c *Call) resolveRoute(table *route.Table, arrived time.Time) error {
	c.version = table.Version
	var ok bool
	if c.route, ok = table.Match(c.Host, c.Path); !ok {
		return result.Errorf(result.NotFound, "no route for this host and path")
	}
	c.account, ok = table.AccountOf(c.Key)
	if !ok && !c.route.Public && len(table.Accounts) > 0 {
		return result.Errorf(result.BadKey, "the key belongs to no client account")
	}
	timeout := c.timeoutOrDefault()
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	c.deadline = arrived.Add(timeout)
	c.service = c.route.Pick(xxhash.Sum64String(string(c.ID)))
	return nil
}

// readBody reads the body whole, within its bound and the request's time.
func (c *Call) readBody(w http.ResponseWriter, r *http.Request, limit int64) error {
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(c.deadline)
	_ = control.SetWriteDeadline(c.deadline.Add(writeGracePeriod))
	var b bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength <= limit {
		b.Grow(int(r.ContentLength))
	}
	_, err := io.Copy(&b, http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return result.Errorf(result.BodyTooLarge, "the body is over %d bytes", limit)
	case err != nil:
		return result.Errorf(result.BadBody, "read body: %w", err)
	}
	_ = control.SetReadDeadline(time.Time{})
	c.Body = b.Bytes()
	return nil
}

// computeFingerprint names the request across its repeats.
func (c *Call) computeFingerprint() suspect.Fingerprint {
	h := xxhash.New()
	account := ""
	if c.account != nil {
		account = string(c.account.Name)
	}
	fmt.Fprintf(h, "%s\n%s\n%s\n", account, c.Method, c.Target)
	_, _ = h.Write(c.Body)
	return suspect.Fingerprint(h.Sum(nil))
}

// run sends the request until it has an answer, or may not be sent again. The
// error is nil if the answer is out or kept.
func (p *proxiedRequest) run(ctx context.Context) error {
	for {
		asked := time.Now()
		grant, err := p.gateway.Desk.Ask(ctx, p.placementRequest())
		if err != nil {
			return p.placementError(ctx, err)
		}
		again, err := p.send(ctx, grant, time.Since(asked))
		if !again {
			return err
		}
		p.gateway.metrics.retries(p.lastAttempt().outcome).Inc()
		p.gateway.Log.Write(event.RequestResent, "request_id", p.call.ID, "after", p.lastAttempt().outcome,
			"upstream", p.lastAttempt().upstream, "last_event", p.lastEventID)
	}
}

// placementRequest words the request for placement.
func (p *proxiedRequest) placementRequest() placement.Request {
	c := p.call
	q := placement.Request{
		Service:      c.service,
		Priority:     c.route.PriorityOf(c.account),
		Objective:    c.route.Objective,
		Deadline:     c.deadline,
		Prompt:       c.Prompt,
		OutputTokens: c.expectedOutput(),
		Bytes:        len(c.Body) + bytesPerOutputToken*c.expectedOutput(),
	}
	for _, s := range p.attempts {
		q.Tried = append(q.Tried, s.upstream)
	}
	return q
}

// expectedOutput guesses the tokens of the answer.
func (c *Call) expectedOutput() int {
	switch {
	case len(c.Prompt) == 0:
		return 0
	case c.OutputHint > 0 && c.MaxOutputTokens > 0:
		return min(c.OutputHint, c.MaxOutputTokens)
	case c.OutputHint > 0:
		return c.OutputHint
	case c.MaxOutputTokens > 0:
		return min(defaultOutputTokens, c.MaxOutputTokens)
	}
	return defaultOutputTokens
}

// placementError says what it means that no upstream was found.
func (p *proxiedRequest) placementError(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		return result.Errorf(result.CallerGone, "the caller has left")
	case p.buffered != nil:
		return nil
	case ctx.Err() != nil && p.mayHaveRun:
		return result.Errorf(result.UpstreamTimeout, "the request's time is up")
	case ctx.Err() != nil:
		return result.Errorf(result.DeadlinePassed, "no upstream had room in time")
	case p.mayHaveRun:
		return result.Errorf(result.OutcomeUnknown, "%w, and the request may have run", err)
	}
	return err
}

func (p *proxiedRequest) lastAttempt() attemptResult { return p.attempts[len(p.attempts)-1] }

// mayRetry says whether the request may be sent once more after an outcome,
// and charges the budget.
func (p *proxiedRequest) mayRetry(notRun bool) bool {
	c := p.call
	if !notRun && (c.route.Repeat == route.Never || c.route.Repeat == route.Resume && !p.resumable()) {
		return false
	}
	if p.reachedAttempts() >= max(c.route.MaxSends, 1) {
		return false
	}
	if p.budgetCharged {
		p.budgetCharged = false
		return true
	}
	return p.gateway.Desk.MayRepeat(c.service)
}

// reachedAttempts gives the number of upstreams that the request was sent to.
func (p *proxiedRequest) reachedAttempts() int {
	n := 0
	for _, s := range p.attempts {
		if s.outcome != placement.Unreached {
			n++
		}
	}
	return n
}

// resumable says that a further send can go on where the caller's answer ends.
func (p *proxiedRequest) resumable() bool { return !p.headersSent || p.lastEventID != "" }
