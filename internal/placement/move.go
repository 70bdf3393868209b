package placement

import "time"

// move takes a place for a request that runs at another upstream, which has sent nothing for
// some time. It never waits and takes no place from the requests that do: the upstream must be
// able to run the request at once. allowed is asked last.
func (c *Core) move(now time.Time, t Ticket, r *Request, allowed func() bool) (Grant, bool) {
	c.init()
	c.stepCrossings(now)
	c.expirePeerReports(now)
	s := c.crossings.services[r.Service]
	c.crossings.plan = crossingPlan{unlimited: c.unlimitedCrossing(now, s, r)}
	if c.crossings.plan.unlimited == Stayed && s.hasEngines() {
		c.crossings.plan.service = s
	}
	ch := c.choose(now, r, c.limitsFor(capacityClass{r.Service, r.Rank}, r.Objective))
	if ch.member == nil || ch.load.InFlight >= ch.member.places() {
		return Grant{}, false
	}
	reason, ok := c.mayPlace(ch.member, r)
	if !ok || !allowed() {
		return Grant{}, false
	}
	if c.tiers[r.Service] == nil {
		c.countTier(now, r)
	}
	c.assign(now, &waitingRequest{ticket: t, request: *r, since: now}, ch, reason)
	return Grant{Ticket: t, Upstream: ch.member.upstream, Expected: ch.expected, KVSource: ch.kvSource(), Crossing: reason}, true
}

// recordQuiet counts an upstream that has sent nothing for some time as failed, once for each
// attempt.
func (c *Core) recordQuiet(now time.Time, t Ticket) []Effect {
	a := c.assignments[t]
	if a == nil || a.quiet {
		return nil
	}
	a.quiet = true
	if backoff := a.member.recordOutcome(now, Silent); backoff > 0 {
		return []Effect{Avoided{a.member.upstream.ID, backoff, Silent}}
	}
	return nil
}
