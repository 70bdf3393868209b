package direct

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"jasminewing.dev/jasminewing/internal/availability"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/memory"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/upstream"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

// maxUnreachedAttempts is the maximum number of attempts when no upstream can be
// reached. An attempt that never reached an upstream does not count as a retry.
const maxUnreachedAttempts = 4

// attempt is one attempt in progress to send a request to an upstream.
type attempt struct {
	*proxiedRequest
	grant           placement.Grant
	exchange        *upstream.Exchange
	started         time.Time
	waited          time.Duration
	responseStarted bool
	// answer describes the upstream's answer; nil until its body is read.
	answer *answerEnd
	// silence watches for an upstream that sends nothing.
	silence *silenceWatch
	// ctx is the context of the attempt, and giveUp cancels it.
	ctx    context.Context
	giveUp context.CancelCauseFunc
	// sending is closed before the request is sent.
	sending chan struct{}
	// beside reports that the attempt began beside another one. exchanged is then closed once
	// exchange is set, and begun once the first event of a stream, or a failure before it, has
	// been read; result is set if the attempt was dropped.
	beside           bool
	exchanged, begun chan struct{}
	result           attemptResult
	// ahead reads the first event of a stream beside another attempt; nil if there is no stream.
	ahead *readAhead
	// info is parsed from the head of the answer by refusal.
	info ResponseInfo
}

// send carries out an attempt. again reports that the request should be retried;
// otherwise err is nil if the response has been sent or buffered.
func (p *proxiedRequest) send(ctx context.Context, a *attempt) (again bool, err error) {
	if !a.beside {
		a.ctx, a.giveUp = context.WithCancelCause(ctx)
		a.sending = make(chan struct{})
	}
	defer a.giveUp(nil)
	ended := false
	defer func() {
		if !ended {
			a.abandon()
		}
	}()
	a.silence = a.watchSilence(ctx)
	if a.beside {
		<-a.exchanged
	} else {
		a.exchange = a.doExchange(p.lastEventID)
	}
	p.gateway.metrics.answersSkipped.Add(a.exchange.Skipped)
	outcome, again, err := a.handleResponse(a.ctx)
	if !again {
		p.dropNext()
	}
	if again || err != nil {
		a.cancel()
	} else {
		a.exchange.Close()
	}
	ended = true
	p.gateway.Scheduler.Tell(placement.Done{Ticket: a.grant.Ticket, Outcome: outcome})
	a.informSuspects(outcome)
	return again, err
}

// abandon gives back what an attempt holds after a panic.
func (a *attempt) abandon() {
	a.next, _ = a.silence.end()
	if a.beside || a.exchange != nil {
		a.cancel()
	}
	a.gateway.Scheduler.Tell(placement.Done{Ticket: a.grant.Ticket, Outcome: placement.Left})
}

// begin begins an attempt beside another one, in the background.
func (a *attempt) begin(ctx context.Context, lastEventID string) {
	a.beside, a.exchanged, a.begun, a.sending = true, make(chan struct{}), make(chan struct{}), make(chan struct{})
	a.ctx, a.giveUp = context.WithCancelCause(ctx)
	go func() {
		defer close(a.begun)
		a.exchangeBeside(lastEventID)
		close(a.exchanged)
		if a.ahead != nil {
			a.ahead.run()
		}
	}()
}

// exchangeBeside sends the request beside another attempt, and waits for the head of the answer.
func (a *attempt) exchangeBeside(lastEventID string) {
	defer func() {
		// A panic outside of the handler would end the process.
		if cause := recover(); cause != nil {
			a.gateway.logPanic(cause)
			a.exchange = &upstream.Exchange{Err: errPanic, Sent: true}
		}
	}()
	a.exchange = a.doExchange(lastEventID)
	if x := a.exchange; x.Err == nil && a.call.route.Streamed && isEventStream(x.Response) {
		a.ahead = newReadAhead(x.Response.Body, upstream.FramingOf(x.Response))
		x.Response.Body = a.ahead
	}
}

// cancel closes the connection of an attempt that has no complete answer, after the end of what
// reads it in the background.
func (a *attempt) cancel() {
	if a.beside {
		a.giveUp(nil)
		<-a.begun
	}
	a.exchange.Cancel()
}

// drop ends an attempt beside another one that goes on. It may run beside the owner of the
// request, which records the result.
func (a *attempt) drop(outcome placement.Outcome) {
	a.giveUp(errInactive)
	a.cancel()
	a.gateway.metrics.answersSkipped.Add(a.exchange.Skipped)
	a.recordStatement(a.info)
	a.gateway.Scheduler.Tell(placement.Done{Ticket: a.grant.Ticket, Outcome: outcome})
	a.informSuspects(outcome)
	a.result = a.resultFor(outcome, "")
}

// doExchange sends the request and waits for the head of the answer. A stream goes on after
// lastEventID.
func (a *attempt) doExchange(lastEventID string) *upstream.Exchange {
	c, g := a.call, a.gateway
	return g.poolOf(a.grant.Upstream).Exchange(a.ctx, &upstream.Request{
		Method: c.Method, Target: c.Target, Host: c.Host, Body: c.Body,
		Header: g.Upstreams.Header(c, a.params(lastEventID)),
		Match: func(r *http.Response) upstream.Match {
			return g.Upstreams.Match(c, r)
		},
		Valid: func() bool {
			valid := a.ctx.Err() == nil && g.Scheduler.Valid(a.grant.Ticket) && g.Suspects.MayRun(time.Now(), c.identity) &&
				(a.beside || a.maySend() && a.memory.Begin(memory.Sent) == nil)
			if valid {
				close(a.sending)
			}
			return valid
		},
		AtMostOnce: c.route.RetryPolicy == route.RetryNever,
	})
}

// informSuspects reports what the end of the attempt says of the request and its upstream.
// Only a complete answer speaks for a request, and only if the upstream runs on: it may crash
// after it has begun one, or just after its end.
func (a *attempt) informSuspects(outcome placement.Outcome) {
	suspects, o, now := a.gateway.Suspects, a.call.identity, time.Now()
	instance := instanceOf(a.grant.Upstream)
	switch outcome {
	case placement.Broken:
		suspects.Died(now, instance, []*wire.Offer{o})
	case placement.Served:
		suspects.Answered(now, instance, a.started)
		if a.exchange.Response.StatusCode < http.StatusMultipleChoices {
			suspects.CompletedAt(now, instance, o)
			if len(o.Tried) > 0 {
				a.gateway.checkAfterAnswer(a.grant.Upstream)
			}
		}
	case placement.Unreached:
		if errors.Is(a.exchange.Err, syscall.ECONNREFUSED) {
			suspects.Refused(now, instance)
		}
	}
}

// instanceOf names a run of an upstream in what gateways tell each other of crashes.
func instanceOf(u route.Upstream) fleet.Incarnation {
	return fleet.Incarnation(fmt.Sprintf("%s/%d", u.ID, u.StartedAtMillis))
}

func (a *attempt) params(lastEventID string) AttemptParams {
	p := AttemptParams{
		Upstream:    a.grant.Upstream.ID,
		Timeout:     time.Until(a.call.deadline),
		Rank:        a.call.rank,
		LastEventID: a.call.LastEventID,
		KVSource:    a.grant.KVSource,
	}
	if lastEventID != "" {
		p.LastEventID = lastEventID
	}
	if a.call.account != nil {
		p.Account = a.call.account.Name
	}
	return p
}

// responsePartReceived records that a part of the response has arrived.
func (a *attempt) responsePartReceived() {
	if !a.responseStarted {
		a.responseStarted = true
		a.gateway.Scheduler.Tell(placement.ResponseStarted{Ticket: a.grant.Ticket})
		if a.firstPartAt.IsZero() {
			a.firstPartAt = time.Now()
		}
	}
}

// responsePartSent restarts the watch for silence after a part of a stream has been sent to
// the caller.
func (a *attempt) responsePartSent() {
	if a.canContinue() {
		a.silence.partSent(a.lastEventID, eventTimeout(a.call.route))
	}
}

// recordResult ends the watch for silence, and appends the outcome of the attempt to the
// request's attempts after those that ended beside it.
func (a *attempt) recordResult(outcome placement.Outcome, detail string) {
	next, dropped := a.silence.end()
	for _, d := range dropped {
		a.recordDropped(d)
	}
	if next != nil {
		a.next = next
	}
	a.attempts = append(a.attempts, a.resultFor(outcome, detail))
}

// recordDropped records an attempt that ended beside another one.
func (p *proxiedRequest) recordDropped(d *attempt) {
	p.mayHaveRun = p.mayHaveRun || d.exchange.Sent && d.result.outcome != placement.Full && d.result.outcome != placement.Misdirected
	p.attempts = append(p.attempts, d.result)
}

func (a *attempt) resultFor(outcome placement.Outcome, detail string) attemptResult {
	return attemptResult{
		upstream: a.grant.Upstream.ID, outcome: outcome, took: time.Since(a.started),
		waited: a.waited, expected: a.grant.Expected, crossing: a.grant.Crossing, overtook: a.grant.Overtook, detail: detail, answer: a.answer, skipped: a.exchange.Skipped,
	}
}

// handleResponse reads the response and decides whether to forward it, retry
// the request or fail.
func (a *attempt) handleResponse(ctx context.Context) (placement.Outcome, bool, error) {
	x := a.exchange
	if x.Err != nil {
		return a.handleConnectionError(ctx, x.Err)
	}
	info := a.gateway.Upstreams.ParseResponse(a.call, x.Response)
	a.recordStatement(info)
	noRoom := a.memory.Grow(headersCost(x.Response.Header))
	status := x.Response.StatusCode
	switch {
	case info.Misdirected:
		return a.endNotRun(placement.Misdirected, result.WrongUpstream)
	case info.NotRun && impliesNotRun(status):
		return a.endNotRun(placement.Full, result.UpstreamRefused)
	}
	a.mayHaveRun = a.mayHaveRun || !info.NotRun
	a.releaseSentBody()
	switch {
	case noRoom != nil:
		return a.endFailed(ctx, placement.Left, noRoom.Error(), result.AnswerNoRoom)
	case !info.Genuine:
		return a.endFailed(ctx, placement.Invalid, fmt.Sprintf("answer with status %d is not the upstream's own", status), result.UpstreamFailed)
	case impliesNotRun(status):
		return a.endFailed(ctx, placement.Failed, fmt.Sprintf("answer with status %d cannot be passed on", status), result.UpstreamFailed)
	case a.call.route.Streamed && isEventStream(x.Response):
		return a.forwardStream(ctx)
	case a.headersSent:
		return a.endFailed(ctx, placement.Failed, fmt.Sprintf("status %d or no event stream instead of the rest", status), result.UpstreamFailed)
	}
	return a.bufferResponse(ctx)
}

// recordStatement records what the upstream says of itself. An answer of another
// upstream at the same address says nothing of the one that was asked.
func (a *attempt) recordStatement(info ResponseInfo) {
	u := a.grant.Upstream
	if info.Misdirected {
		return
	}
	if info.Statement.Leaving {
		a.gateway.metrics.statements("leaving").Inc()
	}
	if info.Statement.Pause > 0 {
		a.gateway.metrics.statements("pause").Inc()
	}
	if info.BadPause != "" {
		a.gateway.metrics.statements("ignored").Inc()
		a.gateway.Log.WriteThrottled(event.PauseIgnored, string(u.ID), "upstream", u.ID, "value", info.BadPause, "request_id", a.call.ID)
	}
	if info.Statement != (availability.Statement{}) {
		a.gateway.Scheduler.Tell(placement.Stated{Incarnation: u.Incarnation(), Statement: info.Statement, RequestID: string(a.call.ID)})
	}
}

// impliesNotRun reports whether callers take a status as a promise that the
// request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// handleConnectionError ends an attempt whose connection failed. Unless bytes
// may have been sent, the request did not run.
func (a *attempt) handleConnectionError(ctx context.Context, cause error) (placement.Outcome, bool, error) {
	if errors.Is(cause, upstream.ErrWithdrawn) && ctx.Err() == nil {
		return a.endNotRun(placement.Withdrawn, result.NoUpstream)
	}
	if !a.exchange.Sent && ctx.Err() == nil {
		return a.endNotRun(placement.Unreached, result.UpstreamUnreached)
	}
	a.mayHaveRun = a.mayHaveRun || a.exchange.Sent
	return a.endFailed(ctx, placement.Broken, cause.Error(), result.UpstreamCutOff)
}

// endNotRun ends an attempt in which the request did not run.
func (a *attempt) endNotRun(outcome placement.Outcome, code result.Code) (placement.Outcome, bool, error) {
	a.recordResult(outcome, "")
	unsent := outcome == placement.Unreached || outcome == placement.Withdrawn
	if unsent && len(a.attempts) < maxUnreachedAttempts || a.mayRetry(true) {
		return outcome, true, nil
	}
	if a.mayHaveRun {
		return outcome, false, result.Errorf(result.OutcomeUnknown, "an earlier send may have run")
	}
	e := result.Errorf(code, "%s", outcome)
	e.RetryAfter = max(refusedRetryAfter(time.Until(a.call.deadline)), a.gateway.Scheduler.RetryAfterPause(a.call.service))
	return outcome, false, e
}

// refusedRetryAfter returns the retry delay for a caller whose request an
// upstream refused; left is the time until the request's deadline.
func refusedRetryAfter(left time.Duration) time.Duration { return min(left/10, 500*time.Millisecond) }

// endFailed ends an attempt in which the request may have run.
func (a *attempt) endFailed(ctx context.Context, outcome placement.Outcome, detail string, code result.Code) (placement.Outcome, bool, error) {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errInactive):
		outcome = placement.Silent
	case errors.Is(cause, errDeadline):
		// The deadline has passed. The upstream is at fault only if it has not
		// started to respond.
		outcome, code = placement.Silent, result.UpstreamTimeout
		if a.responseStarted {
			outcome = placement.Left
		}
		a.recordResult(outcome, detail)
		return outcome, false, result.Errorf(code, "%s", detail)
	case errors.Is(cause, errStopped):
		a.recordResult(placement.Left, cause.Error())
		return placement.Left, false, result.Errorf(result.OutcomeUnknown, "%w", cause)
	case cause != nil:
		a.recordResult(placement.Left, detail)
		return placement.Left, false, result.Errorf(result.CallerGone, "the caller disconnected")
	}
	a.recordResult(outcome, detail)
	if a.mayRetry(false) {
		return outcome, true, nil
	}
	return outcome, false, result.Errorf(code, "%s", detail)
}
