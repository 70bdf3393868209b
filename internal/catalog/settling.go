package catalog

import "time"

const (
	// settlingInterval is the minimum time between two complete reads of a section because of states
	// that are not settled. A state that arrives earlier waits, so that a deletion which another
	// gateway tells within 0.6 s of it is in force after two seconds.
	settlingInterval = time.Second
	// answeredWithin is the age up to which an answer of the store shows that this gateway has missed
	// no outage. A watch without a response may hide one for longer.
	answeredWithin = time.Second
)

// settling is when a section is read from the store because another gateway could not tell whether
// an entry was deleted.
type settling struct {
	// due is when the next such read may start; it is zero if none is needed.
	due time.Time
	// startedAt is when the last one started.
	startedAt time.Time
}

// request makes a read due as soon as settlingInterval has passed since the last one.
func (s *settling) request(now time.Time) {
	s.due = now
	if next := s.startedAt.Add(settlingInterval); now.Before(next) {
		s.due = next
	}
}

// end ends the wait for a read that started at a time. A later request stays.
func (s *settling) end(startedAt time.Time) {
	if !startedAt.Before(s.due) {
		s.due = time.Time{}
	}
}

// settleLater makes the section be read from the store if a state of another gateway that is not settled
// has left entries of which only a settled one can tell whether they are deleted, and the store has
// answered this gateway all the time. The caller must hold t.mu.
func (t *Task) settleLater(now time.Time, s Section, state State) {
	if !state.Settled && t.canSettle(now, s) && t.core.AnsweredWithin(now, answeredWithin) {
		t.followers[s].settling.request(now)
	}
}

// canSettle reports whether there are kept or held entries of a section on which a complete read of the
// store can decide now. The caller must hold t.mu.
func (t *Task) canSettle(now time.Time, s Section) bool {
	return t.core.Settled(now) && !t.core.PendingUntil(s).IsZero()
}

// settlingDue reports whether the next read must be a complete one because of a state that is not
// settled. If the store has not answered for answeredWithin, a watch comes first. The caller must hold
// t.mu.
func (t *Task) settlingDue(now time.Time, s Section) bool {
	f := &t.followers[s]
	if f.settling.due.IsZero() || now.Before(f.settling.due) {
		return false
	}
	if !t.canSettle(now, s) {
		f.settling.due = time.Time{}
		return false
	}
	return t.core.AnsweredWithin(now, answeredWithin)
}
