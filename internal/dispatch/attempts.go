package dispatch

import (
	"sort"
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// defaultWidenAfter is how long an offer may wait before another sidecar
	// is asked as well.
	defaultWidenAfter = 5 * time.Millisecond
	// defaultRoundPause is the wait before candidates that refused are asked again.
	defaultRoundPause = 100 * time.Millisecond
	// defaultMaxOpen is how many offers of one request wait at once.
	defaultMaxOpen = 4
	// defaultRounds is how often all candidates are asked before the request
	// is refused.
	defaultRounds = 5
	// homeRounds is how often a key is asked for where nobody is its home yet:
	// when a VM leaves or comes, the views of gateways and sidecars differ for a
	// few seconds at most.
	homeRounds = 30
)

// Picker gives the best candidate that is not among those tried; false if
// there is none.
type Picker func(now time.Time, tried map[Candidate]bool) (Candidate, bool)

// Attempts is the core of one request. It is owned by one task.
type Attempts struct {
	Request Request
	Pick    Picker
	Budget  *Budget
	// WidenAfter, RoundPause, MaxOpen and Rounds have defaults.
	WidenAfter time.Duration
	RoundPause time.Duration
	MaxOpen    int
	Rounds     int

	phase   phase
	next    AttemptNumber
	open    map[AttemptNumber]Candidate
	tried   map[Candidate]bool
	current AttemptNumber
	round   int
	wakeAt  time.Time
	last    Refused
	// mayHaveRun is set once a body was sent and its attempt did not end in a
	// refusal that says not run.
	mayHaveRun bool
	// ranBefore is mayHaveRun as it stood before the current attempt.
	ranBefore bool
	headGiven bool
	given     table.Tokens
	// kept says that parts of an answer wait at the gateway, not yet given.
	kept bool
}

type phase int

const (
	waiting phase = iota
	sent
	done
)

// Handle takes a message and gives what is to be done, in order.
func (a *Attempts) Handle(now time.Time, m Message) []Effect {
	if a.phase == done {
		return a.late(m)
	}
	if a.overdue(now, m) {
		return a.deadline()
	}
	switch m := m.(type) {
	case Started:
		return a.start(now)
	case Granted:
		return a.granted(m)
	case Refused:
		return a.refused(now, m)
	case HeadCame:
		return a.head(m)
	case ChunkCame:
		return a.chunk(m)
	case Ended:
		return a.ended(now, m)
	case Lost:
		return a.lost(now, m.Attempt, RetryLost)
	case Silent:
		return a.silent(now, m)
	case Ticked:
		return a.ticked(now)
	case CallerGone:
		return a.finish(Finish{Code: result.CallerGone, NotRun: !a.mayHaveRun})
	case Evicted:
		return a.evicted()
	default:
		return nil
	}
}

// overdue holds once the deadline has passed, but for an answer that is
// already coming in: its end is worth more than its lateness costs.
func (a *Attempts) overdue(now time.Time, m Message) bool {
	if now.Before(a.Request.Deadline) {
		return false
	}
	if _, ok := m.(Ticked); ok {
		return true
	}
	return a.phase == waiting
}

// Done says that the request has ended.
func (a *Attempts) Done() bool { return a.phase == done }

// Waiting says that no body is under way.
func (a *Attempts) Waiting() bool { return a.phase == waiting }

// MayHaveRun says that a part of the system may have run the request.
func (a *Attempts) MayHaveRun() bool { return a.mayHaveRun }

func (a *Attempts) start(now time.Time) []Effect {
	a.defaults()
	a.open = make(map[AttemptNumber]Candidate)
	a.tried = make(map[Candidate]bool)
	return a.offerNext(now, nil)
}

func (a *Attempts) defaults() {
	if a.WidenAfter == 0 {
		a.WidenAfter = defaultWidenAfter
	}
	if a.RoundPause == 0 {
		a.RoundPause = defaultRoundPause
	}
	if a.MaxOpen == 0 {
		a.MaxOpen = defaultMaxOpen
	}
	if a.Rounds == 0 {
		a.Rounds = defaultRounds
	}
}

// offerNext offers to the next candidate. With none left it waits for open
// offers, or for the next round.
func (a *Attempts) offerNext(now time.Time, effects []Effect) []Effect {
	c, ok := a.Pick(now, a.tried)
	if !ok {
		return a.noneLeft(now, effects)
	}
	a.tried[c] = true
	a.next++
	a.open[a.next] = c
	effects = append(effects, Offer{Attempt: a.next, Candidate: c, ResumeOffset: a.given})
	return a.wake(now.Add(a.WidenAfter), effects)
}

func (a *Attempts) noneLeft(now time.Time, effects []Effect) []Effect {
	if len(a.open) > 0 {
		return a.wake(a.Request.Deadline, effects)
	}
	a.round++
	if a.round >= a.rounds() || a.shed() {
		return append(effects, a.refuse()...)
	}
	return a.wake(now.Add(a.RoundPause), effects)
}

func (a *Attempts) rounds() int {
	switch a.last.Code {
	case result.NotHome, result.WitnessUnreached, result.KeyClaimedElsewhere:
		return max(a.Rounds, homeRounds)
	default:
		return a.Rounds
	}
}

// shed says that every candidate refused for overload or for good: asking
// again would only add to the load.
func (a *Attempts) shed() bool {
	switch a.last.Code {
	case result.SidecarQueueFull, result.SidecarEvicted, result.Suspect,
		result.KeyBodyDiffers, result.KeyOutcomeUnknown:
		return true
	default:
		return false
	}
}

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

func (a *Attempts) granted(m Granted) []Effect {
	if _, ok := a.open[m.Attempt]; !ok {
		return nil
	}
	if a.phase != waiting {
		return a.withdraw(m.Attempt)
	}
	a.phase = sent
	a.current = m.Attempt
	a.mayHaveRun = true
	effects := []Effect{SendBody(m)}
	return append(effects, a.withdrawOthers(m.Attempt)...)
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

func (a *Attempts) head(m HeadCame) []Effect {
	if !a.isCurrent(m.Attempt) || a.headGiven {
		return nil
	}
	if !a.Request.Streamed {
		a.kept = true
		return []Effect{GiveHead{Status: m.Status}}
	}
	a.headGiven = true
	return []Effect{GiveHead{Status: m.Status}}
}

func (a *Attempts) chunk(m ChunkCame) []Effect {
	if !a.isCurrent(m.Attempt) {
		return nil
	}
	if a.Request.Streamed {
		a.given += m.Tokens
	}
	a.kept = !a.Request.Streamed
	return []Effect{GiveChunk{}}
}

func (a *Attempts) isCurrent(n AttemptNumber) bool {
	return a.phase == sent && n == a.current
}

func (a *Attempts) ended(now time.Time, m Ended) []Effect {
	if !a.isCurrent(m.Attempt) {
		return nil
	}
	delete(a.open, m.Attempt)
	if m.Complete {
		return a.finish(Finish{Code: result.OK})
	}
	return a.again(now, m.Code, RetryIncomplete)
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
	if !a.Request.Class.Idempotent {
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

func (a *Attempts) ticked(now time.Time) []Effect {
	if a.phase != waiting {
		return []Effect{WakeAt{a.Request.Deadline}}
	}
	if now.Before(a.wakeAt) {
		return []Effect{WakeAt{a.wakeAt}}
	}
	if len(a.open) == 0 {
		a.tried = make(map[Candidate]bool)
		return a.offerNext(now, []Effect{Counted{RetryRound}})
	}
	if len(a.open) >= a.MaxOpen {
		return a.wake(a.Request.Deadline, nil)
	}
	return a.offerNext(now, []Effect{Counted{RetryWiden}})
}

func (a *Attempts) wake(t time.Time, effects []Effect) []Effect {
	if t.After(a.Request.Deadline) {
		t = a.Request.Deadline
	}
	a.wakeAt = t
	return append(effects, WakeAt{t})
}

func (a *Attempts) evicted() []Effect {
	if a.phase != waiting {
		return nil
	}
	a.last = Refused{Code: result.Evicted, RetryAfter: time.Second}
	return a.refuse()
}

func (a *Attempts) deadline() []Effect {
	code := result.DeadlinePassed
	if a.mayHaveRun {
		code = result.UpstreamTimeout
	}
	a.last = Refused{Code: code}
	return a.refuse()
}

func (a *Attempts) finish(f Finish) []Effect {
	effects := a.withdrawOthers(0)
	a.phase = done
	return append(effects, f)
}

// late withdraws a grant that came after the end.
func (a *Attempts) late(m Message) []Effect {
	if g, ok := m.(Granted); ok {
		return a.withdraw(g.Attempt)
	}
	return nil
}
