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
	// maxAnswer is the most bytes of an answer that is held until it is whole.
	maxAnswer = 16 << 20
	// unsaidPatience is how long a caller waits that does not say.
	unsaidPatience = 30 * time.Second
	// unsaidBody is the most bytes of a body if the table does not say.
	unsaidBody = 1 << 20
	// writeSlack is how long after a request's deadline a caller may still take
	// its answer.
	writeSlack = 2 * time.Second
	// stoppingReturn is when callers may come back whom a stopping gateway
	// refuses: at once, on a connection to another gateway.
	stoppingReturn = 10 * time.Millisecond
	// outputBytes is the size of an answer's token on the way, and outputGuess
	// the tokens expected of an answer that says nothing.
	outputBytes = 16
	outputGuess = 100
)

// transfer is one caller's request on its way.
type transfer struct {
	gateway *Gateway
	w       http.ResponseWriter
	call    *Call
	arrived time.Time

	sends []send
	// mayHaveRun says that an upstream may have run the request.
	mayHaveRun bool
	// headOut says that the head of the answer has gone to the caller.
	headOut bool
	// last is the last event that the caller has.
	last   string
	events int
	// first is the time of the first part of the answer.
	first time.Time
	// kept is the last answer of an upstream that can be passed on.
	kept *keptAnswer
	// paid says that the budget has been charged for the next send.
	paid bool
}

// send is one send of the request, for the log.
type send struct {
	upstream route.UpstreamID
	outcome  placement.Outcome
	took     time.Duration
	// waited is how long the request waited for the grant, and expected the time
	// in which the answer was expected to begin.
	waited, expected time.Duration
	detail           string
}

// keptAnswer is an upstream's whole answer.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

// errDeadline is the cause of a context whose request's time is up, errSilent of
// one whose upstream said nothing for too long.
var (
	errDeadline = errors.New("the request's time is up")
	errSilent   = errors.New("the upstream said nothing for too long")
)

func (t *transfer) serve(r *http.Request) {
	if err := t.understand(r); err != nil {
		t.refuse(err)
		t.log(err)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), t.call.deadline, errDeadline)
	defer cancel()
	t.gateway.Desk.CountRequest(t.call.service)
	err := t.run(ctx)
	t.log(err)
	t.conclude(ctx, err)
}

// understand reads the request and finds its route and client account.
func (t *transfer) understand(r *http.Request) error {
	c, err := t.gateway.Callers.Read(r)
	if err != nil {
		return err
	}
	t.call = c
	if t.gateway.closing.Load() {
		e := result.Errorf(result.Stopping, "this gateway stops")
		e.RetryAfter = stoppingReturn
		return e
	}
	v := t.gateway.Catalog.View()
	if v.Table == nil {
		e := result.Errorf(result.NotReady, "no table yet")
		// While the store answers a gateway has its table at once, so one that has none
		// waits for the store, and its callers return as from full upstreams.
		e.RetryAfter = placement.RetryAfter(c.patience(), xxhash.Sum64String(string(c.ID)))
		return e
	}
	if err := c.classify(v.Table, t.arrived); err != nil {
		return err
	}
	if err := c.readBody(t.w, r, v.Table.Limits.BodyBytes); err != nil {
		return err
	}
	c.print = c.fingerprint()
	if t.gateway.Suspects.Refused(time.Now(), c.print) {
		return result.Errorf(result.Suspect, "upstreams ended while they ran this request")
	}
	return nil
}

// patience gives how long the caller waits.
func (c *Call) patience() time.Duration {
	if c.Patience <= 0 {
		return unsaidPatience
	}
	return c.Patience
}

// classify finds route, account and deadline.
func (c *Call) classify(table *route.Table, arrived time.Time) error {
	c.version = table.Version
	var ok bool
	if c.route, ok = table.Match(c.Host, c.Path); !ok {
		return result.Errorf(result.NotFound, "no route for this host and path")
	}
	c.account, ok = table.AccountByKey(c.Key)
	if !ok && !c.route.Public && len(table.Accounts) > 0 {
		return result.Errorf(result.BadKey, "the key belongs to no client account")
	}
	patience := c.patience()
	if c.route.Timeout > 0 {
		patience = min(patience, c.route.Timeout)
	}
	c.deadline = arrived.Add(patience)
	c.service = c.route.PickService(xxhash.Sum64String(string(c.ID)))
	return nil
}

// readBody reads the body whole, within its bound and the request's time.
func (c *Call) readBody(w http.ResponseWriter, r *http.Request, most int64) error {
	if most <= 0 {
		most = unsaidBody
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(c.deadline)
	_ = control.SetWriteDeadline(c.deadline.Add(writeSlack))
	var b bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength <= most {
		b.Grow(int(r.ContentLength))
	}
	_, err := io.Copy(&b, http.MaxBytesReader(w, r.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return result.Errorf(result.BodyTooLarge, "the body is over %d bytes", most)
	case err != nil:
		return result.Errorf(result.BadBody, "read body: %w", err)
	}
	_ = control.SetReadDeadline(time.Time{})
	c.Body = b.Bytes()
	return nil
}

// fingerprint names the request across its repeats.
func (c *Call) fingerprint() suspect.Fingerprint {
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
func (t *transfer) run(ctx context.Context) error {
	for {
		asked := time.Now()
		grant, err := t.gateway.Desk.Acquire(ctx, t.ask())
		if err != nil {
			return t.unplaced(ctx, err)
		}
		again, err := t.send(ctx, grant, time.Since(asked))
		if !again {
			return err
		}
		t.gateway.metrics.resends(t.lastSend().outcome).Inc()
		t.gateway.Log.Write(event.RequestResent, "request_id", t.call.ID, "after", t.lastSend().outcome,
			"upstream", t.lastSend().upstream, "last_event", t.last)
	}
}

// ask words the request for placement.
func (t *transfer) ask() placement.Request {
	c := t.call
	q := placement.Request{
		Service:      c.service,
		Priority:     c.route.PriorityFor(c.account),
		Objective:    c.route.Objective,
		Deadline:     c.deadline,
		Prompt:       c.Prompt,
		OutputTokens: c.expectedOutput(),
		Bytes:        len(c.Body) + outputBytes*c.expectedOutput(),
	}
	for _, s := range t.sends {
		q.Tried = append(q.Tried, s.upstream)
	}
	return q
}

// expectedOutput guesses the tokens of the answer.
func (c *Call) expectedOutput() int {
	switch {
	case len(c.Prompt) == 0:
		return 0
	case c.OutputHint > 0 && c.OutputTokens > 0:
		return min(c.OutputHint, c.OutputTokens)
	case c.OutputHint > 0:
		return c.OutputHint
	case c.OutputTokens > 0:
		return min(outputGuess, c.OutputTokens)
	}
	return outputGuess
}

// unplaced says what it means that no upstream was found.
func (t *transfer) unplaced(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		return result.Errorf(result.CallerGone, "the caller has left")
	case t.kept != nil:
		return nil
	case ctx.Err() != nil && t.mayHaveRun:
		return result.Errorf(result.UpstreamTimeout, "the request's time is up")
	case ctx.Err() != nil:
		return result.Errorf(result.DeadlinePassed, "no upstream had room in time")
	case t.mayHaveRun:
		return result.Errorf(result.OutcomeUnknown, "%w, and the request may have run", err)
	}
	return err
}

func (t *transfer) lastSend() send { return t.sends[len(t.sends)-1] }

// mayAgain says whether the request may be sent once more after an outcome,
// and charges the budget.
func (t *transfer) mayAgain(notRun bool) bool {
	c := t.call
	if !notRun && (c.route.RetryPolicy == route.RetryNever || c.route.RetryPolicy == route.RetryResume && !t.resumable()) {
		return false
	}
	if t.arrivals() >= max(c.route.MaxAttempts, 1) {
		return false
	}
	if t.paid {
		t.paid = false
		return true
	}
	return t.gateway.Desk.AllowRetry(c.service)
}

// arrivals gives the number of upstreams that the request was sent to.
func (t *transfer) arrivals() int {
	n := 0
	for _, s := range t.sends {
		if s.outcome != placement.Unreached {
			n++
		}
	}
	return n
}

// resumable says that a further send can go on where the caller's answer ends.
func (t *transfer) resumable() bool { return !t.headOut || t.last != "" }
