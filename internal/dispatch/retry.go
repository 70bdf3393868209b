package dispatch

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

func (a *Attempts) refuse() []Effect {
	code := a.last.Code
	if code == result.OK {
		code = result.NoUpstream
	}
	return a.finish(Finish{Code: a.outcome(code), NotRun: a.provenNotRun(code), RetryAfter: a.last.RetryAfter})
}

// outcome turns a code into the one the caller sees: once a request that must
// not repeat may have run, that is what counts.
func (a *Attempts) outcome(code result.Code) result.Code {
	if a.headGiven {
		return result.AnswerAbandoned
	}
	if a.mayHaveRun && !a.Request.Class.Idempotent {
		return result.OutcomeUnknown
	}
	return code
}

// provenNotRun holds where no attempt of this request ran. With a key, an
// earlier request may have run it.
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
	a.last = m
	if a.final(m.Code) {
		return a.refuse()
	}
	effects := []Effect{Counted{RetryRefused}}
	return a.offerNext(now, effects)
}

// final says that no other sidecar would answer otherwise.
func (a *Attempts) final(c result.Code) bool {
	switch c {
	case result.KeyBodyDiffers, result.KeyOutcomeUnknown, result.Suspect:
		return true
	default:
		return false
	}
}

// refusedAfterBody is a refusal on the attempt that has the body. A refusal for
// its key says that this attempt was not run, though an earlier one may have.
func (a *Attempts) refusedAfterBody(now time.Time, m Refused) []Effect {
	if !m.NotRun && !m.Code.OfKey() {
		a.last = m
		return a.again(now, m.Code, RetryIncomplete)
	}
	a.last = m
	a.phase = waiting
	a.mayHaveRun = a.ranBefore
	if a.final(m.Code) {
		return a.refuse()
	}
	reason := RetryLapsed
	if m.Code.OfKey() {
		reason = RetryKey
	}
	return a.offerNext(now, []Effect{Counted{reason}})
}

func (a *Attempts) lost(now time.Time, n AttemptNumber, reason RetryReason) []Effect {
	if _, ok := a.open[n]; !ok {
		return nil
	}
	delete(a.open, n)
	if a.isCurrent(n) {
		return a.again(now, result.SidecarLost, reason)
	}
	a.last = Refused{Attempt: n, Code: result.SidecarUnreached, NotRun: true}
	return a.offerNext(now, []Effect{Counted{reason}})
}

// silent gives up on a sidecar that sends nothing. A request that must not
// repeat waits for it instead: it may yet answer, and nobody else may.
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

// again tries a request anew whose body was sent and whose answer is not whole.
func (a *Attempts) again(now time.Time, code result.Code, reason RetryReason) []Effect {
	a.last = Refused{Code: code}
	a.ranBefore = true
	if !a.Request.Class.Idempotent || code == result.AnswerTooLarge {
		return a.refuse()
	}
	if a.headGiven && !a.resumable() {
		return a.refuse()
	}
	if !a.Budget.Spend() {
		a.last = Refused{Code: result.RetryBudget}
		return a.refuse()
	}
	if a.headGiven {
		reason = RetryResume
	}
	a.phase = waiting
	effects := []Effect{Counted{reason}}
	if a.kept {
		a.kept = false
		effects = append(effects, Discard{})
	}
	return a.offerNext(now, effects)
}

// resumable holds for streams of engines, which continue after a number of tokens.
func (a *Attempts) resumable() bool {
	return a.Request.Streamed && a.Request.Class.Kind == table.Engine
}
