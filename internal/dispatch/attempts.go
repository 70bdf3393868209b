package dispatch

import (
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

	phase       phase
	lastNumber  AttemptNumber
	open        map[AttemptNumber]Candidate
	tried       map[Candidate]bool
	current     AttemptNumber
	round       int
	wakeAt      time.Time
	lastRefusal Refused
	// mayHaveRun is set once a body was sent and its attempt did not end in a
	// refusal that says not run.
	mayHaveRun bool
	// ranBefore is mayHaveRun as it stood before the current attempt.
	ranBefore     bool
	headForwarded bool
	forwarded     table.Tokens
	// buffered says that parts of an answer wait at the gateway, not yet given.
	buffered bool
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
		return a.handleAfterDone(m)
	}
	if a.overdue(now, m) {
		return a.deadlinePassed()
	}
	switch m := m.(type) {
	case Started:
		return a.start(now)
	case Granted:
		return a.granted(m)
	case Refused:
		return a.refused(now, m)
	case HeadReceived:
		return a.headReceived(m)
	case ChunkReceived:
		return a.chunkReceived(m)
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

func (a *Attempts) start(now time.Time) []Effect {
	a.setDefaults()
	a.open = make(map[AttemptNumber]Candidate)
	a.tried = make(map[Candidate]bool)
	return a.offerNext(now, nil)
}

func (a *Attempts) setDefaults() {
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

func (a *Attempts) ticked(now time.Time) []Effect {
	if a.phase != waiting {
		return []Effect{WakeAt{a.Request.Deadline}}
	}
	if now.Before(a.wakeAt) {
		return []Effect{WakeAt{a.wakeAt}}
	}
	if len(a.open) == 0 {
		a.tried = make(map[Candidate]bool)
		return a.offerNext(now, []Effect{CountRetry{RetryRound}})
	}
	if len(a.open) >= a.MaxOpen {
		return a.scheduleWake(a.Request.Deadline, nil)
	}
	return a.offerNext(now, []Effect{CountRetry{RetryWiden}})
}

func (a *Attempts) scheduleWake(t time.Time, effects []Effect) []Effect {
	if t.After(a.Request.Deadline) {
		t = a.Request.Deadline
	}
	a.wakeAt = t
	return append(effects, WakeAt{t})
}

func (a *Attempts) deadlinePassed() []Effect {
	code := result.DeadlinePassed
	if a.mayHaveRun {
		code = result.UpstreamTimeout
	}
	a.lastRefusal = Refused{Code: code}
	return a.refuse()
}

func (a *Attempts) finish(f Finish) []Effect {
	effects := a.withdrawOthers(0)
	a.phase = done
	return append(effects, f)
}

// handleAfterDone withdraws a grant that came after the end.
func (a *Attempts) handleAfterDone(m Message) []Effect {
	if g, ok := m.(Granted); ok {
		return a.withdraw(g.Attempt)
	}
	return nil
}
