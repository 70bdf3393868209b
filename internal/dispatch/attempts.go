package dispatch

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// defaultWidenAfter is how long an offer may wait for its grant, parked or
	// not, before the request is also offered to another sidecar.
	defaultWidenAfter = 5 * time.Millisecond
	// defaultRoundPause is the delay before the candidates that refused are
	// offered the request again.
	defaultRoundPause = 100 * time.Millisecond
	// defaultMaxOpen is the maximum number of concurrent offers of one request.
	defaultMaxOpen = 4
	// defaultRounds is how many times the request is offered to all candidates
	// before it is refused.
	defaultRounds = 5
	// homeRounds is the maximum number of rounds for a keyed request while no
	// sidecar acts as the home of its key. When a VM joins or leaves, the views
	// of gateways and sidecars differ for a few seconds at most.
	homeRounds = 30
)

// Picker returns the best candidate that is not in tried, or false if there is
// none.
type Picker func(now time.Time, tried map[Candidate]bool) (Candidate, bool)

// Attempts is the state machine for the attempts of one request. It is not safe
// for concurrent use; a single goroutine owns it.
type Attempts struct {
	Request Request
	Pick    Picker
	Budget  *RetryBudget
	// WidenAfter, RoundPause, MaxOpen and Rounds get default values when zero.
	WidenAfter time.Duration
	RoundPause time.Duration
	MaxOpen    int
	Rounds     int

	phase      phase
	lastNumber AttemptNumber
	open       map[AttemptNumber]Candidate
	tried      map[Candidate]bool
	current    AttemptNumber
	round      int
	// spoiledRounds counts the rounds in which an attempt received the body and its
	// answer was not completed.
	spoiledRounds int
	wakeAt        time.Time
	lastRefusal   Refused
	// mayHaveRun reports that a body was sent and that its attempt did not end
	// in a refusal that says the request was not run.
	mayHaveRun bool
	// ranBefore is the value of mayHaveRun before the current attempt.
	ranBefore     bool
	headForwarded bool
	forwarded     table.Tokens
	// buffered reports that the gateway holds parts of an answer that it has
	// not yet forwarded to the caller.
	buffered bool
	// lastHeard is when the body was sent to the current attempt, or when a part
	// of its answer last arrived.
	lastHeard time.Time
	// replacing reports that the request is offered to other sidecars while the
	// current attempt is silent but goes on.
	replacing bool
	// retryPaid reports that the retry budget was charged for the next attempt
	// that receives the body.
	retryPaid bool
	// sentInRound reports that an attempt received the body since the round began.
	sentInRound bool
}

type phase int

const (
	waiting phase = iota
	sent
	done
)

// Handle processes a message and returns the effects to carry out, in order.
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
		return a.granted(now, m)
	case Refused:
		return a.refused(now, m)
	case HeadReceived:
		return a.headReceived(now, m)
	case ChunkReceived:
		return a.chunkReceived(now, m)
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
	case StopEnding:
		a.lastRefusal = Refused{Code: result.Stopping}
		return a.refuse()
	case NoRoom:
		return a.finish(Finish{Code: result.AnswerNoRoom})
	default:
		return nil
	}
}

// overdue reports whether the request must end because its deadline has passed.
// After the body was sent only a Ticked ends it: an answer that is already
// arriving may still complete, because its end is worth more than its lateness
// costs.
func (a *Attempts) overdue(now time.Time, m Message) bool {
	if now.Before(a.Request.Deadline) {
		return false
	}
	if _, ok := m.(Ticked); ok {
		return true
	}
	return a.phase == waiting
}

// Done reports whether the request has ended.
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
	if a.phase != waiting && !a.replacing {
		return []Effect{WakeAt{a.Request.Deadline}}
	}
	if now.Before(a.wakeAt) {
		return []Effect{WakeAt{a.wakeAt}}
	}
	if len(a.open) == 0 {
		a.tried = make(map[Candidate]bool)
		a.sentInRound = false
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

// handleAfterDone withdraws an offer that is granted after the request has ended.
func (a *Attempts) handleAfterDone(m Message) []Effect {
	if g, ok := m.(Granted); ok {
		return a.withdraw(g.Attempt)
	}
	return nil
}
