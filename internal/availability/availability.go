// Package availability keeps what an upstream says of itself in its answers: that it
// leaves, and for how long it wants no requests. It does no I/O.
//
// A State belongs to one incarnation of an upstream. It stands beside what others
// publish of the upstream: that the upstream is listed as ready says nothing against
// its own later word that it leaves. A new incarnation starts with an empty State.
//
// # Usage
//
//	var s availability.State
//	s.Record(now, availability.Statement{Pause: 2 * time.Second}, spread)
//	if s.Allows(now, unanswered) {
//		// send a request, and call s.Answered when its answer begins
//	}
package availability

import "time"

const (
	// MaxPause is the longest time for which a statement keeps an upstream without
	// requests. An upstream that needs longer says so again.
	MaxPause = 30 * time.Second
	// firstRequests is the number of requests without an answer that an upstream may
	// have after a pause. It doubles with each answer.
	firstRequests = 1
	// allRequests is the number at which the number is no longer limited.
	allRequests = 64
)

// Statement is what an upstream says of itself in an answer.
type Statement struct {
	// Leaving reports that the upstream leaves and wants no further requests.
	Leaving bool
	// Pause is how long the upstream wants no requests; zero if it says nothing.
	Pause time.Duration
}

// State is what one incarnation of an upstream has said. The zero value has said
// nothing. A State is not safe for concurrent use.
type State struct {
	leaving     bool
	pausedUntil time.Time
	// limit is the number of requests that may wait for an answer after a pause; zero
	// if it is not limited.
	limit int
}

// Change is what a statement changed.
type Change struct {
	// Leaves reports that the upstream leaves and had not said so before.
	Leaves bool
	// Paused is how long the upstream gets no requests because of the statement; zero if
	// the statement does not prolong a pause.
	Paused time.Duration
}

// Record records a statement. spread is added to a pause, so that processes which an
// upstream has asked for the same pause don't return at the same moment.
func (s *State) Record(now time.Time, m Statement, spread time.Duration) Change {
	change := Change{Leaves: m.Leaving && !s.leaving}
	s.leaving = s.leaving || m.Leaving
	if m.Pause <= 0 {
		return change
	}
	if until := now.Add(min(m.Pause, MaxPause) + spread); until.After(s.pausedUntil) {
		s.pausedUntil = until
		change.Paused = until.Sub(now)
	}
	s.limit = firstRequests
	return change
}

// Leaving reports whether the upstream has said that it leaves.
func (s *State) Leaving() bool { return s.leaving }

// PauseLeft returns how long the upstream still gets no requests, or zero.
func (s *State) PauseLeft(now time.Time) time.Duration { return max(s.pausedUntil.Sub(now), 0) }

// Allows reports whether the upstream may get a request now. unanswered is the number of
// its requests whose answer has not begun.
func (s *State) Allows(now time.Time, unanswered int) bool {
	if s.leaving || now.Before(s.pausedUntil) {
		return false
	}
	return s.limit == 0 || unanswered < s.limit
}

// Answered records that an answer other than a refusal began.
func (s *State) Answered(now time.Time) {
	if s.limit == 0 || now.Before(s.pausedUntil) {
		return
	}
	if s.limit *= 2; s.limit >= allRequests {
		s.limit = 0
	}
}
