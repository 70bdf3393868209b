package dispatch

import (
	"sort"
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
)

// offerNext offers the request to the next candidate. If no candidate is left,
// it waits for the open offers or for the next round.
func (a *Attempts) offerNext(now time.Time, effects []Effect) []Effect {
	c, ok := a.Pick(now, a.tried)
	if !ok {
		return a.noCandidateLeft(now, effects)
	}
	a.tried[c] = true
	a.lastNumber++
	a.open[a.lastNumber] = c
	effects = append(effects, Offer{Attempt: a.lastNumber, Candidate: c, ResumeOffset: a.forwarded})
	return a.scheduleWake(now.Add(a.WidenAfter), effects)
}

func (a *Attempts) noCandidateLeft(now time.Time, effects []Effect) []Effect {
	if len(a.open) > 0 {
		return a.scheduleWake(a.Request.Deadline, effects)
	}
	a.countRound()
	if a.rounds() >= a.maxRounds() || a.noMoreRounds() {
		return append(effects, a.refuse()...)
	}
	return a.scheduleWake(now.Add(a.RoundPause), effects)
}

func (a *Attempts) countRound() {
	switch {
	case !a.mayHaveRun:
		a.round++
	case a.sentInRound:
		a.spoiledRounds++
	}
}

// rounds returns the number of rounds that count. Once the request may have run,
// these are the rounds in which its answer was spoiled.
func (a *Attempts) rounds() int {
	if a.mayHaveRun {
		return a.spoiledRounds
	}
	return a.round
}

func (a *Attempts) maxRounds() int {
	switch a.lastRefusal.Code {
	case result.NotHome, result.WitnessUnreached, result.KeyClaimedElsewhere:
		return max(a.Rounds, homeRounds)
	case result.SidecarUnreached, result.UpstreamLeaving, result.Stopping:
		// For a keyed request this means that the key's home has left, and that
		// this gateway does not know its successor yet.
		if a.Request.Keyed {
			return max(a.Rounds, homeRounds)
		}
	}
	return a.Rounds
}

// noMoreRounds reports whether the last refusal rules out another round: it is
// final, or it was for overload, where asking again would only add to the load. A
// request that may have run was passed on before and is not new load, so that it
// is offered again until its deadline.
func (a *Attempts) noMoreRounds() bool {
	switch a.lastRefusal.Code {
	case result.SidecarQueueFull, result.SidecarEvicted:
		return !a.mayHaveRun
	default:
		return a.isFinal(a.lastRefusal.Code)
	}
}

func (a *Attempts) granted(now time.Time, m Granted) []Effect {
	if _, ok := a.open[m.Attempt]; !ok {
		return nil
	}
	if a.phase != waiting && !a.replacing {
		return a.withdraw(m.Attempt)
	}
	var effects []Effect
	if a.replacing {
		a.ranBefore = true
		a.replacing = false
		effects = a.discardBuffered(a.withdraw(a.current))
	}
	a.phase = sent
	a.current = m.Attempt
	a.mayHaveRun = true
	a.sentInRound = true
	a.retryPaid = false
	a.lastHeard = now
	effects = append(effects, SendBody(m))
	return append(effects, a.withdrawOthers(m.Attempt)...)
}

func (a *Attempts) discardBuffered(effects []Effect) []Effect {
	if !a.buffered {
		return effects
	}
	a.buffered = false
	return append(effects, Discard{})
}

func (a *Attempts) withdraw(n AttemptNumber) []Effect {
	delete(a.open, n)
	return []Effect{Withdraw{Attempt: n}}
}

func (a *Attempts) withdrawOthers(keep AttemptNumber) []Effect {
	var effects []Effect
	for _, n := range a.openNumbers() {
		if n != keep {
			effects = append(effects, a.withdraw(n)...)
		}
	}
	return effects
}

func (a *Attempts) openNumbers() []AttemptNumber {
	numbers := make([]AttemptNumber, 0, len(a.open))
	for n := range a.open {
		numbers = append(numbers, n)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	return numbers
}

func (a *Attempts) evicted() []Effect {
	if a.phase != waiting {
		return nil
	}
	a.lastRefusal = Refused{Code: result.Evicted, RetryAfter: time.Second}
	return a.refuse()
}
