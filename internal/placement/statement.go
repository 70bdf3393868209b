package placement

import (
	"time"

	"jasminewing.dev/jasminewing/internal/availability"
	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// statementLifetime is how long the statements of an upstream that is not listed are
	// kept. Entries that lapse while the store is away come back sooner.
	statementLifetime = 10 * time.Minute
	// maxReturnSpread is the time over which requests to an upstream return after a
	// pause, and callers after the pause of all upstreams.
	maxReturnSpread = 500 * time.Millisecond
)

// incarnationState is what an incarnation of an upstream has said, and when it was last
// listed.
type incarnationState struct {
	availability.State
	listedAt time.Time
}

// availabilityOf returns what an incarnation that is listed has said.
func (c *Core) availabilityOf(now time.Time, i route.Incarnation) *availability.State {
	s := c.statements[i]
	if s == nil {
		s = &incarnationState{}
		c.statements[i] = s
	}
	s.listedAt = now
	return &s.State
}

// forgetStatements forgets incarnations that have not been listed for
// statementLifetime.
func (c *Core) forgetStatements(now time.Time) {
	for i, s := range c.statements {
		if m := c.members[i.ID]; m != nil && m.upstream.Incarnation() == i {
			s.listedAt = now
		} else if now.Sub(s.listedAt) > statementLifetime {
			delete(c.statements, i)
		}
	}
}

// recordStatement records what an upstream has said. A statement of an incarnation that
// was never listed here is ignored.
func (c *Core) recordStatement(now time.Time, m Stated) []Effect {
	s := c.statements[m.Incarnation]
	if s == nil {
		return nil
	}
	var out []Effect
	change := s.Record(now, m.Statement, c.returnSpread())
	if change.Leaves {
		c.reserveShortEngines()
		out = append(out, Leaves{m.Incarnation.ID, m.RequestID})
	}
	if change.Paused > 0 {
		out = append(out, Paused{m.Incarnation.ID, change.Paused, m.RequestID})
	}
	return out
}

// returnSpread returns a random part of maxReturnSpread.
func (c *Core) returnSpread() time.Duration {
	return time.Duration(c.nextRandom() % uint64(maxReturnSpread))
}

// Valid reports whether a granted request may still be sent: its upstream has neither
// been removed or taken out of service since, nor said that it wants no requests.
func (c *Core) Valid(now time.Time, t Ticket) bool {
	a := c.assignments[t]
	if a == nil {
		return false
	}
	m := a.member
	return c.members[m.upstream.ID] == m && m.eligible(m.upstream.Service) && m.availability.PauseLeft(now) == 0
}

// pauseLeft returns how long no upstream of a service wants requests, because each that
// could take them has asked for a pause; zero if one has not, or there is none.
func (c *Core) pauseLeft(now time.Time, s route.ServiceName) time.Duration {
	var least time.Duration
	for _, m := range c.members {
		if !m.eligible(s) {
			continue
		}
		left := m.availability.PauseLeft(now)
		if left == 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// retryAfterPause returns after what time a refused caller of a service may return, if
// all upstreams of the service have asked for a pause, or zero.
func (c *Core) retryAfterPause(now time.Time, s route.ServiceName) time.Duration {
	pause := c.pauseLeft(now, s)
	if pause == 0 {
		return 0
	}
	return pause + c.returnSpread()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
