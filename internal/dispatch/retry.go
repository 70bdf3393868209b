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
	if a.isFinal(m.Code) && a.phase == waiting {
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
	a.replacing = false
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

// silent withdraws an offer from a sidecar that sends nothing. An attempt that has
// received the body is replaced.
func (a *Attempts) silent(now time.Time, m Silent) []Effect {
	if _, ok := a.open[m.Attempt]; !ok {
		return nil
	}
	if a.isCurrent(m.Attempt) {
		return a.replace(now)
	}
	effects := []Effect{Withdraw(m)}
	return append(effects, a.lost(now, m.Attempt, RetrySilent)...)
}

// replace offers a request to other sidecars while that of the current attempt is
// silent. The attempt goes on until another sidecar grants the request, because
// its sidecar may only pause, and there may be no other that can continue. A
// request that is not idempotent keeps waiting, because no other sidecar is
// allowed to run it.
func (a *Attempts) replace(now time.Time) []Effect {
	if !a.Request.Class.Idempotent || a.headForwarded && !a.resumable() || now.Sub(a.lastHeard) <= HeartbeatTimeout {
		return nil
	}
	if len(a.open) > 1 {
		return nil
	}
	tried := map[Candidate]bool{a.open[a.current]: true}
	if _, ok := a.Pick(now, tried); !ok || !a.payRetry() {
		return nil
	}
	a.tried = tried
	if a.replacing {
		return a.offerNext(now, []Effect{CountRetry{RetryRound}})
	}
	a.replacing = true
	return a.offerNext(now, []Effect{CountRetry{a.retryReason(RetrySilent)}})
}

// payRetry charges the retry budget for the next attempt, unless that was done
// before. It returns false if the budget is used up.
func (a *Attempts) payRetry() bool {
	a.retryPaid = a.retryPaid || a.Budget.Spend()
	return a.retryPaid
}

func (a *Attempts) retryReason(r RetryReason) RetryReason {
	if a.headForwarded {
		return RetryResume
	}
	return r
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
	if !a.payRetry() {
		a.lastRefusal = Refused{Code: result.RetryBudget}
		return a.refuse()
	}
	var effects []Effect
	if !a.replacing {
		effects = append(effects, CountRetry{a.retryReason(reason)})
	}
	a.phase = waiting
	a.replacing = false
	return a.offerNext(now, a.discardBuffered(effects))
}

// resumable reports whether an interrupted stream can be resumed. Engines can
// continue a stream after a given number of tokens.
func (a *Attempts) resumable() bool {
	return a.Request.Streamed && a.Request.Class.Kind == table.Engine
}
