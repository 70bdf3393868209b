package admission

import (
	"slices"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// refusalCode returns why no work is accepted, or result.OK. Permanent reasons
// take precedence.
func (c *Core) refusalCode() result.Code {
	switch {
	case c.leaving:
		return result.UpstreamLeaving
	case c.dataCentreOut:
		return result.DataCentreOut
	case c.Upstream.State == table.Out:
		return result.UpstreamOut
	case c.unhealthy:
		return result.UpstreamUnhealthy
	case c.paused:
		return result.Paused
	}
	return result.OK
}

// updateAvailability applies a change. If work is refused afterwards, it
// refuses all offers that do not run yet; if work is accepted again, the
// upstream starts cold.
func (c *Core) updateAvailability(change func()) {
	before := c.refusalCode()
	change()
	after := c.refusalCode()
	if after != result.OK {
		c.refuseWaiting(after)
		return
	}
	if before != result.OK {
		c.turnCold()
	}
}

// refuseWaiting refuses granted and parked offers.
func (c *Core) refuseWaiting(code result.Code) {
	waiting := c.granted()
	for _, t := range c.queue.tiers {
		waiting = append(waiting, t.offers...)
	}
	c.refuseAll(waiting, code)
}

// granted returns the offers whose body has not arrived, oldest grant first.
func (c *Core) granted() []*offer {
	var waiting []*offer
	for _, o := range c.inFlight {
		if o.phase == granted {
			waiting = append(waiting, o)
		}
	}
	return waiting
}

func (c *Core) configured(m Configured) {
	c.updateAvailability(func() {
		c.Upstream = m.Upstream
		c.dataCentreOut = m.DataCentreOut
		c.limiter.configure(m.Upstream)
	})
}

func (c *Core) healthChanged(m HealthChanged) {
	c.updateAvailability(func() { c.unhealthy = !m.Up })
	if m.Restarted {
		c.turnCold()
	}
}

// turnCold restarts slow start. Grants above the cold limit whose body has not
// arrived are revoked, newest first; running requests continue.
func (c *Core) turnCold() {
	c.limiter.turnCold()
	c.timings = timings{}
	excess := len(c.inFlight) - c.limiter.limit()
	for _, o := range slices.Backward(c.granted()) {
		if excess <= 0 {
			return
		}
		excess--
		c.refuseAll([]*offer{o}, result.UpstreamUnhealthy)
	}
}
