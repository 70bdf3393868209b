package dispatch

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

func (a *Attempts) refuse() []Effect {
	code := a.lastRefusal.Code
	if code == result.OK {
		code = result.NoUpstream
	}
	return a.finish(Finish{Code: a.callerCode(code), NotRun: a.provenNotRun(code), RetryAfter: a.lastRefusal.RetryAfter})
}

// callerCode maps a code to the one that the caller gets. Once a non-idempotent
// request may have run, that outweighs the reason of the last refusal.
func (a *Attempts) callerCode(code result.Code) result.Code {
	if a.headForwarded {
		return result.AnswerAbandoned
	}
	if a.mayHaveRun && !a.Request.Class.Idempotent {
		return result.OutcomeUnknown
	}
	return code
}

// provenNotRun reports whether certainly no attempt ran. This is never certain
// for a keyed request: an earlier request with the same key may have run it.
func (a *Attempts) provenNotRun(code result.Code) bool {
	return !a.mayHaveRun && !a.Request.Keyed && code.Info().NotRun
}

func (a *Attempts) refused(now time.Time, m Refused) []Effect {
	if _, ok := a.open[m.Attempt]; !ok {
		return nil
	}
	delete(a.open, m.Attempt)
	if a.phase == sent && m.Attempt == a.current {
		return a.refusedAfterBody(now, m)
	}
	a.lastRefusal = m
	if a.isFinal(m.Code) {
		return a.refuse()
	}
	effects := []Effect{CountRetry{RetryRefused}}
	return a.offerNext(now, effects)
}

// isFinal reports whether every other sidecar would give the same refusal.
func (a *Attempts) isFinal(c result.Code) bool {
	switch c {
	case result.KeyBodyDiffers, result.KeyOutcomeUnknown, result.Suspect:
		return true
	default:
		return false
	}
}

// refusedAfterBody handles a refusal of the attempt that has received the body.
// A refusal because of the idempotency key means that this attempt was not run,
// although an earlier one may have been.
func (a *Attempts) refusedAfterBody(now time.Time, m Refused) []Effect {
	if !m.NotRun && !m.Code.IsIdempotencyKeyRefusal() {
		a.lastRefusal = m
		return a.retry(now, m.Code, RetryIncomplete)
	}
	a.lastRefusal = m
	a.phase = waiting
	a.mayHaveRun = a.ranBefore
	if a.isFinal(m.Code) {
		return a.refuse()
	}
	reason := RetryLapsed
	if m.Code.IsIdempotencyKeyRefusal() {
		reason = RetryKey
	}
	return a.offerNext(now, []Effect{CountRetry{reason}})
}

func (a *Attempts) lost(now time.Time, n AttemptNumber, reason RetryReason) []Effect {
	if _, ok := a.open[n]; !ok {
		return nil
	}
	delete(a.open, n)
	if a.isCurrent(n) {
		return a.retry(now, result.SidecarLost, reason)
	}
	a.lastRefusal = Refused{Attempt: n, Code: result.SidecarUnreached, NotRun: true}
	return a.offerNext(now, []Effect{CountRetry{reason}})
}

// silent abandons an attempt at a sidecar that sends nothing. A non-idempotent
// request whose body was sent keeps waiting instead: the sidecar may still
// answer, and no other sidecar is allowed to run the request.
func (a *Attempts) silent(now time.Time, m Silent) []Effect {
	if _, ok := a.open[m.Attempt]; !ok {
		return nil
	}
	if a.isCurrent(m.Attempt) && !a.Request.Class.Idempotent {
		return nil
	}
	effects := []Effect{Withdraw(m)}
	return append(effects, a.lost(now, m.Attempt, RetrySilent)...)
}

// retry retries a request whose body was sent and whose answer is incomplete. It
// ends the request if a retry is not allowed or the retry budget is used up.
func (a *Attempts) retry(now time.Time, code result.Code, reason RetryReason) []Effect {
	a.lastRefusal = Refused{Code: code}
	a.ranBefore = true
	if !a.Request.Class.Idempotent || code == result.AnswerTooLarge {
		return a.refuse()
	}
	if a.headForwarded && !a.resumable() {
		return a.refuse()
	}
	if !a.Budget.Spend() {
		a.lastRefusal = Refused{Code: result.RetryBudget}
		return a.refuse()
	}
	if a.headForwarded {
		reason = RetryResume
	}
	a.phase = waiting
	effects := []Effect{CountRetry{reason}}
	if a.buffered {
		a.buffered = false
		effects = append(effects, Discard{})
	}
	return a.offerNext(now, effects)
}

// resumable reports whether an interrupted stream can be resumed. Engines can
// continue a stream after a given number of tokens.
func (a *Attempts) resumable() bool {
	return a.Request.Streamed && a.Request.Class.Kind == table.Engine
}
