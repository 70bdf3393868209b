package direct

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/upstream"
)

const (
	// inactivityFactor times the expected time until the response starts is how
	// long an upstream may send nothing before another upstream is tried. The
	// time is at least the route's objective.
	inactivityFactor = 3
	// minInactivityTimeout is the minimum of that time, and of the time allowed
	// between the events of a stream.
	minInactivityTimeout = 250 * time.Millisecond
	// eventGapFactor times the route's GapObjective is the time allowed between the
	// events of a stream.
	eventGapFactor = 4
	// refusalTime is how long the next upstream has to refuse a request that was sent to it, or
	// to fail before its first event, until the attempt at the present one is ended. Both may
	// work on it meanwhile, for 0.4 s by the platform's rules.
	refusalTime = 200 * time.Millisecond
)

// silenceWatch moves a request to another upstream when its own sends nothing for some
// time. The attempt goes on until the next upstream has the request and has not refused it:
// the present one may only be slow, and a stream that can't be continued elsewhere must not
// be broken off.
type silenceWatch struct {
	attempt *attempt
	// ctx is that of the request.
	ctx context.Context
	// request asks for another upstream than those that were tried.
	request placement.Request

	mu    sync.Mutex
	timer *time.Timer
	// timeout is the time for which the upstream may send nothing; zero while it is not
	// watched.
	timeout time.Duration
	// attemptsLeft is the number of further upstreams that the request may be sent to.
	attemptsLeft int
	// lastEventID is the ID of the last event sent to the caller.
	lastEventID string
	// candidate is the attempt at the next upstream until it is known whether that refuses.
	candidate *attempt
	// next is the attempt that continues the request.
	next *attempt
	// dropped are attempts at other upstreams that have ended, and dropping counts those that
	// are being ended.
	dropped  []*attempt
	dropping sync.WaitGroup
}

// eventTimeout returns how long an upstream may send nothing between the events of a stream.
func eventTimeout(r *route.Route) time.Duration {
	return max(eventGapFactor*r.GapObjective, minInactivityTimeout)
}

// watchSilence starts the watch of an attempt if the request may be sent to another upstream
// beside it. Otherwise it returns nil, which may be used like a watch.
func (a *attempt) watchSilence(ctx context.Context) *silenceWatch {
	r := a.call.route
	left := r.MaxAttempts - a.reachedAttempts() - 1
	// A trial of a suspected request runs at one upstream only.
	if r.RetryPolicy == route.RetryNever || left <= 0 || !a.canContinue() || a.call.identity.Trial {
		return nil
	}
	w := &silenceWatch{
		attempt: a, ctx: ctx, request: a.placementRequest(), attemptsLeft: left, lastEventID: a.lastEventID,
		timeout: max(inactivityFactor*a.grant.Expected, minInactivityTimeout, r.Objective),
	}
	w.request.Tried = append(w.request.Tried, a.grant.Upstream.ID)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.timeout, w.tryNext)
	return w
}

// tryNext sends the request to another upstream if one has room, and moves it there unless that
// one refuses.
func (w *silenceWatch) tryNext() {
	a := w.attempt
	w.mu.Lock()
	if w.timeout == 0 || w.attemptsLeft <= 0 || w.ctx.Err() != nil {
		w.mu.Unlock()
		return
	}
	grant, ok := w.move()
	if !ok {
		w.timer.Reset(w.timeout)
		w.mu.Unlock()
		return
	}
	candidate := &attempt{proxiedRequest: a.proxiedRequest, grant: grant, started: time.Now()}
	candidate.begin(w.ctx, w.lastEventID)
	w.candidate = candidate
	w.mu.Unlock()

	candidate.awaitRefusal()
	w.mu.Lock()
	defer w.mu.Unlock()
	outcome := candidate.refusal()
	switch {
	case w.candidate != candidate:
		return
	case outcome == placement.Served:
		w.candidate, w.next, w.timeout = nil, candidate, 0
		a.giveUp(errInactive)
		return
	}
	w.candidate = nil
	w.request.Tried = append(w.request.Tried, grant.Upstream.ID)
	w.drop(candidate, outcome)
	if w.attemptsLeft > 0 && w.timeout > 0 {
		w.timer.Reset(w.timeout)
	}
}

// move takes a place at another upstream if there is one. An upstream to which nothing has been
// sent is not silent, and its request may still be refused.
func (w *silenceWatch) move() (placement.Grant, bool) {
	a := w.attempt
	select {
	case <-a.sending:
	default:
		return placement.Grant{}, false
	}
	a.gateway.Scheduler.Tell(placement.Quiet{Ticket: a.grant.Ticket})
	if !a.gateway.Suspects.MayRun(time.Now(), a.call.identity) {
		return placement.Grant{}, false
	}
	return a.gateway.Scheduler.Move(&w.request)
}

// awaitRefusal waits until an attempt beside another one has an error, or an answer and of a
// stream its first event, or has had the time for a refusal. The head of a stream doesn't show
// that events follow.
func (a *attempt) awaitRefusal() {
	select {
	case <-a.begun:
		return
	case <-a.sending:
	}
	refusal := time.NewTimer(refusalTime)
	defer refusal.Stop()
	select {
	case <-a.begun:
	case <-refusal.C:
	}
}

// drop ends an attempt at another upstream. The caller holds the mutex, which is released
// meanwhile: other gateways may have to hear of a crash first.
func (w *silenceWatch) drop(candidate *attempt, outcome placement.Outcome) {
	if outcome == placement.Left && !candidate.exchange.Sent {
		outcome = placement.Withdrawn
	}
	if reached(outcome) {
		w.attemptsLeft--
	}
	w.dropping.Add(1)
	w.mu.Unlock()
	candidate.drop(outcome)
	w.mu.Lock()
	w.dropped = append(w.dropped, candidate)
	w.dropping.Done()
}

// partReceived notes that the upstream has sent a part of its response, and reports whether
// the response goes on with it: after the request has moved, the next upstream sends that part
// again. There is no watch until partSent.
func (w *silenceWatch) partReceived() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != nil {
		return false
	}
	if candidate := w.pause(); candidate != nil {
		outcome := candidate.refusal()
		if outcome == placement.Served {
			outcome = placement.Left
		}
		candidate.giveUp(errInactive)
		<-candidate.exchanged
		w.drop(candidate, outcome)
	}
	return true
}

// pause ends the watch and returns the candidate that it has begun, or nil. The caller holds the
// mutex.
func (w *silenceWatch) pause() *attempt {
	w.timeout = 0
	w.timer.Stop()
	candidate := w.candidate
	w.candidate = nil
	return candidate
}

// partSent starts the watch for the next part of a stream after one has been sent to the
// caller.
func (w *silenceWatch) partSent(lastEventID string, timeout time.Duration) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEventID = lastEventID
	if w.attemptsLeft > 0 {
		w.timeout = timeout
		w.timer.Reset(timeout)
	}
}

// end ends the watch with the attempt. It returns the attempt that continues the request, or
// nil, and those that have ended meanwhile.
func (w *silenceWatch) end() (next *attempt, dropped []*attempt) {
	if w == nil {
		return nil, nil
	}
	w.mu.Lock()
	if candidate := w.pause(); candidate != nil {
		w.next = candidate
	}
	w.mu.Unlock()
	w.dropping.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	next, dropped = w.next, w.dropped
	w.next, w.dropped = nil, nil
	return next, dropped
}

// refusal returns why an attempt beside another one can't continue the request, or Served if it
// may.
func (a *attempt) refusal() (outcome placement.Outcome) {
	select {
	case <-a.exchanged:
	default:
		return placement.Served
	}
	defer func() {
		if cause := recover(); cause != nil {
			a.gateway.logPanic(cause)
			outcome = placement.Failed
		}
	}()
	x := a.exchange
	switch {
	case x.Err != nil && a.ctx.Err() != nil:
		// The request has ended, which says nothing of the upstream.
		return placement.Left
	case errors.Is(x.Err, errPanic):
		return placement.Left
	case x.Err != nil && x.Sent:
		return placement.Broken
	case errors.Is(x.Err, upstream.ErrWithdrawn):
		return placement.Withdrawn
	case x.Err != nil:
		return placement.Unreached
	}
	info := a.gateway.Upstreams.ParseResponse(a.call, x.Response)
	a.info = info
	switch status := x.Response.StatusCode; {
	case info.Misdirected:
		return placement.Misdirected
	case info.NotRun && impliesNotRun(status):
		return placement.Full
	case !info.Genuine:
		return placement.Invalid
	case status >= http.StatusMultipleChoices:
		return placement.Failed
	case a.ahead == nil || !a.ahead.failed():
		return placement.Served
	case a.ctx.Err() != nil:
		return placement.Left
	}
	return placement.Broken
}
