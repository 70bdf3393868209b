package placement

import (
	"math"
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// shareHalfLife is the time after which the work of an ended request counts half as
	// much for the turn of its account. It spans several requests of a model engine, and
	// lets an account that stops asking start afresh within a minute.
	shareHalfLife = 5 * time.Second
	// overdueFraction is the fraction of its allowed wait after which a request goes ahead
	// of others, if its account was granted nothing since the request arrived.
	overdueFraction = 0.6
	// minForgottenShares is the number of shares up to which idle ones are kept.
	minForgottenShares = 64
)

// shareKey identifies what a client account uses of a service. Services have separate
// upstreams, so that the use of one says nothing about the turn at another.
type shareKey struct {
	service route.ServiceName
	account route.AccountName
}

// share is what a client account uses of a service through this gateway. Work is counted
// in tokens to process, fetch or generate, and in requests for a plain service.
type share struct {
	// inFlight is the work of granted requests, and ended that of ended ones, which decays.
	inFlight, ended float64
	endedAt         time.Time
	// grantedAt is the time of the last grant.
	grantedAt time.Time

	// The other fields are used during a pass over the waiting requests: the account's
	// requests that are still to be considered, the one considered last, and the account's
	// work.
	first, last, considered *waitingRequest
	work                    float64
	overdue                 bool
}

// workOf returns the work of a granted request.
func workOf(a *assignment) float64 { return float64(1 + a.memoryTokens) }

// shareOf returns the share of the account that sends the request.
func (c *Core) shareOf(now time.Time, r *Request) *share {
	key := shareKey{r.Service, r.Account}
	s := c.shares[key]
	if s == nil {
		c.forgetShares(now)
		s = &share{endedAt: now}
		c.shares[key] = s
	}
	return s
}

// forgetShares removes the shares of accounts that neither use nor ask for anything, once
// the number of shares has doubled.
func (c *Core) forgetShares(now time.Time) {
	if len(c.shares) < max(c.keptShares*2, minForgottenShares) {
		return
	}
	asking := make(map[*share]bool)
	for _, w := range c.waiting {
		asking[w.share] = true
	}
	for key, s := range c.shares {
		if s.inFlight == 0 && s.workAt(now) < 1 && !asking[s] {
			delete(c.shares, key)
		}
	}
	c.keptShares = len(c.shares)
}

// workAt returns the work that counts for the turn of the account.
func (s *share) workAt(now time.Time) float64 {
	age := max(now.Sub(s.endedAt), 0)
	return s.inFlight + s.ended*math.Exp2(-age.Seconds()/shareHalfLife.Seconds())
}

func (s *share) begin(now time.Time, work float64) {
	s.inFlight += work
	s.work += work
	s.grantedAt = now
}

// end records the end of a request, which counts for some time if it was sent.
func (s *share) end(now time.Time, work float64, sent bool) {
	ended := s.workAt(now) - s.inFlight
	s.inFlight -= work
	if sent {
		ended += work
	}
	s.ended, s.endedAt = ended, now
}

// isOverdue reports whether the account's first request goes ahead of others.
func (s *share) isOverdue(now time.Time) bool {
	w := s.first
	return w.since.After(s.grantedAt) && float64(now.Sub(w.since)) >= overdueFraction*maxWaitFraction*float64(w.request.Objective)
}
