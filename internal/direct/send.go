package direct

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"time"

	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/upstream"
	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	// silentFactor is how many times the expected time an upstream may say
	// nothing before a request that may be repeated goes elsewhere.
	silentFactor = 3
	// silentLeast is the least such time.
	silentLeast = 250 * time.Millisecond
	// maxUnreached is the most upstreams that are tried when none can be reached.
	// What did not arrive is no repeat.
	maxUnreached = 4
	// gapFactor is the same for a pause within a stream, in objectives.
	gapFactor = 4
)

// outgoing is one send at work.
type outgoing struct {
	*transfer
	grant    placement.Grant
	exchange *upstream.Exchange
	started  time.Time
	waited   time.Duration
	begun    bool
	// silence fires when a repeatable request should go elsewhere; nil else.
	silence *time.Timer
}

// send sends the request to the upstream of a grant. again says that it should
// be sent once more; else the error is nil if its answer is out or kept.
func (t *transfer) send(ctx context.Context, g placement.Grant, waited time.Duration) (again bool, err error) {
	o := &outgoing{transfer: t, grant: g, started: time.Now(), waited: waited}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	o.watch(cancel)
	c := t.call
	o.exchange = t.gateway.poolOf(g.Upstream).Exchange(ctx, &upstream.Request{
		Method: c.Method, Target: c.Target, Host: c.Host, Body: c.Body,
		Header: t.gateway.Upstreams.Header(c, o.sending()),
		Belongs: func(r *http.Response) bool {
			return t.gateway.Upstreams.Belongs(c, r)
		},
	})
	outcome, again, err := o.take(ctx)
	if o.silence != nil {
		o.silence.Stop()
	}
	if again || err != nil {
		o.exchange.Cancel()
	} else {
		o.exchange.Close()
	}
	t.gateway.Desk.Tell(placement.Done{Ticket: g.Ticket, Outcome: outcome})
	if outcome == placement.Broken {
		t.gateway.Suspects.Died(time.Now(), g.Upstream.ID, c.print)
	}
	return again, err
}

func (o *outgoing) sending() Sending {
	s := Sending{
		Upstream: o.grant.Upstream.ID,
		Left:     time.Until(o.call.deadline),
		Priority: o.call.route.PriorityFor(o.call.account),
		After:    o.call.After,
		Source:   o.grant.KVSource,
	}
	if o.last != "" {
		s.After = o.last
	}
	if o.call.account != nil {
		s.Account = o.call.account.Name
	}
	return s
}

// watch ends a send that says nothing for too long, if the request may go on
// elsewhere and the budget allows it.
func (o *outgoing) watch(cancel context.CancelCauseFunc) {
	r := o.call.route
	if r.RetryPolicy == route.RetryNever || len(o.sends)+1 >= r.MaxAttempts {
		return
	}
	wait := max(silentFactor*o.grant.Expected, silentLeast, r.Objective)
	o.silence = time.AfterFunc(wait, func() {
		if o.gateway.Desk.AllowRetry(o.call.service) {
			cancel(errSilent)
		}
	})
}

// heard notes that a part of the answer came.
func (o *outgoing) heard() {
	if !o.begun {
		o.begun = true
		o.gateway.Desk.Tell(placement.ResponseStarted{Ticket: o.grant.Ticket})
		if o.first.IsZero() {
			o.first = time.Now()
		}
	}
	if o.silence != nil && o.call.route.Streamed {
		o.silence.Reset(max(gapFactor*o.call.route.GapObjective, silentLeast))
	}
}

// note records how the send ended.
func (o *outgoing) note(outcome placement.Outcome, detail string) {
	o.sends = append(o.sends, send{
		upstream: o.grant.Upstream.ID, outcome: outcome, took: time.Since(o.started),
		waited: o.waited, expected: o.grant.Expected, detail: detail,
	})
}

// take takes the answer.
func (o *outgoing) take(ctx context.Context) (placement.Outcome, bool, error) {
	x := o.exchange
	if x.Err != nil {
		return o.lost(ctx, x.Err)
	}
	reply := o.gateway.Upstreams.Reply(o.call, x.Response)
	status := x.Response.StatusCode
	switch {
	case reply.Misdirected:
		return o.unrun(placement.Misdirected, result.WrongUpstream)
	case reply.NotRun && refusal(status):
		return o.unrun(placement.Full, result.UpstreamRefused)
	}
	o.mayHaveRun = o.mayHaveRun || !reply.NotRun
	switch {
	case !reply.Genuine || refusal(status):
		return o.fail(ctx, placement.Failed, fmt.Sprintf("answer with status %d cannot be passed on", status), result.UpstreamFailed)
	case o.call.route.Streamed && status == http.StatusOK:
		return o.stream(ctx)
	case o.headOut:
		return o.fail(ctx, placement.Failed, fmt.Sprintf("status %d instead of the rest", status), result.UpstreamFailed)
	}
	return o.whole(ctx)
}

// refusal says that callers take a status as a promise that the request did
// not run.
func refusal(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// lost says what the error of a connection means.
func (o *outgoing) lost(ctx context.Context, cause error) (placement.Outcome, bool, error) {
	if !o.exchange.Sent && ctx.Err() == nil {
		return o.unrun(placement.Unreached, result.UpstreamUnreached)
	}
	o.mayHaveRun = o.mayHaveRun || o.exchange.Sent
	return o.fail(ctx, placement.Broken, cause.Error(), result.UpstreamCutOff)
}

// unrun ends a send that ran nothing.
func (o *outgoing) unrun(outcome placement.Outcome, code result.Code) (placement.Outcome, bool, error) {
	o.note(outcome, "")
	if outcome == placement.Unreached && len(o.sends) < maxUnreached || o.mayAgain(true) {
		return outcome, true, nil
	}
	if o.mayHaveRun {
		return outcome, false, result.Errorf(result.OutcomeUnknown, "an earlier send may have run")
	}
	e := result.Errorf(code, "%s", outcome)
	e.RetryAfter = refusedReturn(time.Until(o.call.deadline))
	return outcome, false, e
}

// refusedReturn is when a caller may come back whom an upstream refused.
func refusedReturn(left time.Duration) time.Duration { return min(left/10, 500*time.Millisecond) }

// fail ends a send whose request may have run.
func (o *outgoing) fail(ctx context.Context, outcome placement.Outcome, detail string, code result.Code) (placement.Outcome, bool, error) {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent):
		outcome, o.paid = placement.Silent, true
	case errors.Is(cause, errDeadline):
		// The time is up; whether the upstream is to blame shows by its begin.
		outcome, code = placement.Silent, result.UpstreamTimeout
		if o.begun {
			outcome = placement.Left
		}
		o.note(outcome, detail)
		return outcome, false, result.Errorf(code, "%s", detail)
	case cause != nil:
		o.note(placement.Left, detail)
		return placement.Left, false, result.Errorf(result.CallerGone, "the caller has left")
	}
	o.note(outcome, detail)
	if o.mayAgain(false) {
		return outcome, true, nil
	}
	return outcome, false, result.Errorf(code, "%s", detail)
}

// whole keeps an answer until it is whole.
func (o *outgoing) whole(ctx context.Context) (placement.Outcome, bool, error) {
	resp := o.exchange.Response
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	switch {
	case err != nil:
		return o.fail(ctx, placement.Broken, err.Error(), result.UpstreamCutOff)
	case len(body) > maxAnswer:
		return o.fail(ctx, placement.Failed, "answer too large", result.AnswerTooLarge)
	}
	o.heard()
	o.kept = &keptAnswer{resp.StatusCode, resp.Header, body}
	outcome := placement.Served
	if resp.StatusCode >= http.StatusInternalServerError {
		outcome = placement.Failed
	}
	o.note(outcome, "")
	return outcome, outcome == placement.Failed && o.mayAgain(false), nil
}

// stream passes a stream on, event by event.
func (o *outgoing) stream(ctx context.Context) (placement.Outcome, bool, error) {
	resp := o.exchange.Response
	e := &events{source: resp.Body, last: o.last}
	resumed := o.headOut
	for {
		whole, err := e.next()
		if len(whole) > 0 {
			o.heard()
			if first, _, _ := ids(whole); resumed && !follows(o.last, first) {
				return o.fail(ctx, placement.Failed, "the resumed stream does not go on where it ended", result.UpstreamBadStream)
			}
			resumed = false
			if !o.pass(resp, whole) {
				o.note(placement.Left, "the caller does not take its answer")
				return placement.Left, false, result.Errorf(result.CallerGone, "the caller does not take its answer")
			}
			o.last, o.events = e.last, o.events+1
		}
		switch {
		case errors.Is(err, io.EOF):
			o.pass(resp, e.pending)
			o.note(placement.Served, "")
			return placement.Served, false, nil
		case err != nil:
			return o.fail(ctx, placement.Broken, err.Error(), result.UpstreamCutOff)
		}
	}
}

// pass gives a part of a stream to the caller; it says whether it went out.
func (o *outgoing) pass(resp *http.Response, part []byte) bool {
	if !o.headOut {
		o.headOut = true
		maps.Copy(o.w.Header(), PassedOn(resp.Header))
		o.w.WriteHeader(resp.StatusCode)
	}
	if len(part) == 0 {
		return true
	}
	if _, err := o.w.Write(part); err != nil {
		return false
	}
	return http.NewResponseController(o.w).Flush() == nil
}
