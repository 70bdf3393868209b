package direct

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
)

// attemptResult records one finished attempt of the request.
type attemptResult struct {
	upstream route.UpstreamID
	outcome  placement.Outcome
	took     time.Duration
	// waited is how long the request waited for the grant, and expected the
	// estimated time until the response starts.
	waited, expected time.Duration
	// crossing is why the upstream was in another data centre.
	crossing placement.CrossingReason
	// overtook reports that an older request of another client account still waited.
	overtook bool
	detail   string
	// answer describes the upstream's answer; nil if none began.
	answer *answerEnd
	// skipped is the number of answers that were skipped because they can't be shown to
	// belong to the request.
	skipped int
}

// dropNext ends the next attempt if it has begun.
func (p *proxiedRequest) dropNext() {
	if p.next == nil {
		return
	}
	p.next.giveUp(errInactive)
	<-p.next.exchanged
	p.next.drop(placement.Left)
	p.recordDropped(p.next)
	p.next = nil
}

// maySend reports whether the request may be sent to an upstream. A stopping gateway refuses
// those that may outlast the stop, but finishes what may have run: a refusal would not be true,
// and the caller may have a part of the answer.
func (p *proxiedRequest) maySend() bool {
	return p.mayHaveRun || p.gateway.stop.allows(p.call.deadline)
}

func (p *proxiedRequest) lastAttempt() attemptResult { return p.attempts[len(p.attempts)-1] }

// mayRetry reports whether the request may be retried and charges the retry
// budget. notRun is true if the last attempt did not run the request.
func (p *proxiedRequest) mayRetry(notRun bool) bool {
	c := p.call
	if !notRun && c.route.RetryPolicy == route.RetryNever {
		return false
	}
	if !p.canContinue() {
		return false
	}
	if p.next != nil {
		return true
	}
	if p.reachedAttempts() >= max(c.route.MaxAttempts, 1) && len(p.returnable()) == 0 {
		return false
	}
	return p.gateway.Scheduler.AllowRetry(c.service)
}

// returnable returns the upstreams that the request was moved away from for their silence, if
// the one that it was moved to has refused it, or has failed while attempts are left. The caller
// has a part of the response, which one of them may still continue. The request runs no more often
// than the route allows, because a refusal was no run.
func (p *proxiedRequest) returnable() []route.UpstreamID {
	if !p.headersSent || len(p.attempts) == 0 {
		return nil
	}
	switch p.lastAttempt().outcome {
	case placement.Full, placement.Misdirected:
	case placement.Silent, placement.Left:
		return nil
	default:
		if p.reachedAttempts() >= p.call.route.MaxAttempts {
			return nil
		}
	}
	var left []route.UpstreamID
	for _, a := range p.attempts {
		left = slices.DeleteFunc(left, func(id route.UpstreamID) bool { return id == a.upstream })
		if a.outcome == placement.Silent {
			left = append(left, a.upstream)
		}
	}
	return left
}

// reached reports whether the request reached the upstream of an attempt.
func reached(o placement.Outcome) bool { return o != placement.Unreached && o != placement.Withdrawn }

// reachedAttempts returns the number of attempts that reached an upstream.
func (p *proxiedRequest) reachedAttempts() int {
	n := 0
	for _, a := range p.attempts {
		if reached(a.outcome) {
			n++
		}
	}
	return n
}

// canContinue reports whether a retry can continue where the caller's response ends.
func (p *proxiedRequest) canContinue() bool {
	if !p.headersSent {
		return true
	}
	return p.call.route.RetryPolicy == route.RetryResume && (!p.eventForwarded || p.lastEventID != "")
}
