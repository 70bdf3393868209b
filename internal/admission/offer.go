package admission

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Defaults for class fields that are zero, and bounds on scheduling.
const (
	defaultMaxWait         = 30 * time.Second
	defaultStarvationShare = 10
	minStarvationShare     = 2
	// tailFactor is how many times its expected duration an answer may well
	// take.
	tailFactor = 3
)

type phase int

const (
	parked phase = iota
	granted
	running
)

// offer tracks one offer from its arrival to its end.
type offer struct {
	Offered
	sequence uint64
	phase    phase
	// cost is the number of tokens charged to the class and account shares.
	cost float64
	// starvationCost is a number of tokens. Other tiers must have been charged
	// minOtherGrants times as many before an anti-starvation grant.
	starvationCost float64
	class          *share
	account        *share
	grantExpiresAt time.Time
	// overdueAt is when the offer has waited longer than its class's MaxWait.
	overdueAt time.Time
	// minOtherGrants is how many grants at least go to other tiers between two
	// anti-starvation grants.
	minOtherGrants int
	limitVersion   limitVersion
	// loadAtStart is the number of requests in flight when the body arrived.
	loadAtStart    int
	firstTokenSeen bool
}

// due returns when the first token is due, or the deadline if the class has no
// target for it.
func (o *offer) due() time.Time {
	if o.Class.FirstToken <= 0 {
		return o.Deadline
	}
	return o.Arrived.Add(o.Class.FirstToken)
}

// setStarvationBounds sets overdueAt and minOtherGrants from the class.
func (o *offer) setStarvationBounds() {
	wait, share := o.Class.MaxWait, o.Class.StarvationShare
	if wait <= 0 {
		wait = defaultMaxWait
	}
	if share <= 0 {
		share = defaultStarvationShare
	}
	o.overdueAt = o.Arrived.Add(wait)
	o.minOtherGrants = max(share, minStarvationShare) - 1
}

func (o *offer) overdue(now time.Time) bool { return now.After(o.overdueAt) }

func (o *offer) expired(now time.Time) bool {
	return !o.Deadline.IsZero() && !now.Before(o.Deadline)
}

// likelyTimesOut reports whether the deadline would probably cut the answer
// off. Answer lengths vary, and many are several times the estimate.
func (o *offer) likelyTimesOut(now time.Time, times *timings) bool {
	duration := tailFactor * times.expectedDuration(o.Class.Name, o.cost)
	return !o.Deadline.IsZero() && now.Add(duration).After(o.Deadline)
}

// older reports whether o's request reached its gateway before p's. If both
// arrived at the same time, the offer that reached the sidecar first is older.
func (o *offer) older(p *offer) bool {
	if !o.Arrived.Equal(p.Arrived) {
		return o.Arrived.Before(p.Arrived)
	}
	return o.sequence < p.sequence
}

func (c *Core) offered(now time.Time, m Offered) {
	if c.offers[m.ID] != nil {
		return
	}
	if code := c.refusalCode(); code != result.OK {
		c.refuse(m.ID, code, 0)
		return
	}
	if m.Arrived.IsZero() {
		m.Arrived = now
	}
	c.sequence++
	o := &offer{Offered: m, sequence: c.sequence}
	if o.expired(now) {
		c.refuse(m.ID, result.DeadlinePassed, 0)
		return
	}
	o.setStarvationBounds()
	o.cost = c.estimates.predict(o.Class, o.Account, o.Cost)
	o.starvationCost = max(o.cost, c.estimates.predict(o.Class, "", o.Cost))
	c.offers[m.ID] = o
	c.queue.add(now, o)
	c.newOffer = o
	c.scheduleExpiry(o.Deadline)
}

// parkOrEvict parks the new offer if it was not granted at once. If the queue
// is full, it evicts an offer to make room, or refuses the new one.
func (c *Core) parkOrEvict() {
	o := c.newOffer
	if o == nil || o.phase != parked {
		return
	}
	if c.queue.parked <= c.MaxParked {
		c.emit(Park{ID: o.ID})
		return
	}
	victim := c.queue.victim(o)
	c.drop(victim)
	if victim == o {
		c.refuse(o.ID, result.SidecarQueueFull, queueRetryAfter)
		return
	}
	c.refuse(victim.ID, result.SidecarEvicted, queueRetryAfter)
	if o.phase == parked {
		c.emit(Park{ID: o.ID})
	}
}

func (c *Core) withdrawn(m Withdrawn) {
	o := c.offers[m.ID]
	if o == nil || o.phase == running {
		return
	}
	c.drop(o)
}

func (c *Core) bodyReceived(now time.Time, m BodyReceived) {
	o := c.offers[m.ID]
	if o == nil || o.phase != granted {
		return
	}
	// A process that was paused must not act on a grant that expired in the
	// meantime.
	if !now.Before(o.grantExpiresAt) {
		return
	}
	o.phase = running
	o.loadAtStart = len(c.inFlight)
	c.limiter.recordRunning(c.runningCount())
}

func (c *Core) runningCount() int {
	n := 0
	for _, o := range c.inFlight {
		if o.phase == running {
			n++
		}
	}
	return n
}

func (c *Core) firstTokenReceived(m FirstTokenReceived) {
	o := c.offers[m.ID]
	if o == nil || o.phase != running || o.firstTokenSeen {
		return
	}
	o.firstTokenSeen = true
	if c.limiter.cold || o.limitVersion.epoch != c.limiter.version.epoch {
		return
	}
	if c.timings.firstToken(o.Class.Name, m.After, o.loadAtStart) {
		c.turnCold()
	}
}

func (c *Core) finished(m Finished) {
	o := c.offers[m.ID]
	if o == nil || o.phase == parked {
		return
	}
	if o.phase == running {
		c.recordFinished(o, m)
	}
	c.drop(o)
}

// recordFinished updates the charge, the length estimates, the limit and the
// timings from a request that ran.
func (c *Core) recordFinished(o *offer, m Finished) {
	if m.Tokens > 0 {
		o.charge(float64(m.Tokens) - o.cost)
	}
	if m.Clean && !m.Cancelled && m.Tokens > 0 {
		c.estimates.observe(o.Class.Name, o.Account, m.Tokens)
	}
	sameEpoch := o.limitVersion.epoch == c.limiter.version.epoch
	full := len(c.inFlight) >= c.limiter.unreserved()
	burst := c.limiter.finished(o.limitVersion, m, c.tightestGap(), full)
	if burst {
		c.turnCold()
		return
	}
	if !sameEpoch || c.limiter.cold || !m.Clean || m.TokenGap <= 0 {
		return
	}
	if c.timings.tokenGap(o.Class.Name, m.TokenGap, max(o.loadAtStart, len(c.inFlight))) {
		c.turnCold()
	}
}

// tightestGap returns the smallest token-gap target among the requests in
// flight, or zero if none has a target.
func (c *Core) tightestGap() time.Duration {
	var tightest time.Duration
	for _, o := range c.inFlight {
		gap := o.Class.TokenGap
		if gap > 0 && (tightest == 0 || gap < tightest) {
			tightest = gap
		}
	}
	return tightest
}

// drop removes an offer, frees its slot and shares, and refunds the charge of a
// grant that did not run.
func (c *Core) drop(o *offer) {
	switch o.phase {
	case parked:
		c.queue.remove(o)
	case granted:
		o.charge(-o.cost)
		c.removeInFlight(o)
	case running:
		c.removeInFlight(o)
	}
	o.release()
	delete(c.offers, o.ID)
}

// removeInFlight removes an offer from the list of those in flight.
func (c *Core) removeInFlight(o *offer) {
	if i := slices.Index(c.inFlight, o); i >= 0 {
		c.inFlight = slices.Delete(c.inFlight, i, i+1)
	}
}

// costBound returns the upper bound on an answer's length: the offer's cost,
// else the class's MaxTokens, else one token.
func costBound(class table.Class, cost table.Tokens) float64 {
	switch {
	case cost > 0:
		return float64(cost)
	case class.MaxTokens > 0:
		return float64(class.MaxTokens)
	}
	return 1
}
