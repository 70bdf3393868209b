package placement

import (
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// leastUrgentBacklog is the fraction of its objective that the prompts which wait
	// at an engine may take, for a request of the least urgent tier to be admitted.
	// Engines process prompts in the order of their admission, so that more urgent
	// requests would wait behind a longer backlog.
	leastUrgentBacklog = 0.1
	// maxPassedOver is the number of grants after which a request of the least urgent
	// tier is admitted beyond its limits. Without it a flood of more urgent requests
	// would starve the least urgent.
	maxPassedOver = 12
)

// capacityClass identifies requests that have the same limits.
type capacityClass struct {
	service route.ServiceName
	rank    route.Rank
}

// limits bounds what an engine may hold for a further request to be admitted.
type limits struct {
	// batchShare is the share of the engine's batch that may be filled.
	batchShare float64
	// backlog is how long the prompts that wait at the engine may take, or zero if
	// unlimited.
	backlog time.Duration
	// waitForBest makes the request wait while the engine with the lowest cost is at
	// its limits. Another engine would compute the shared parts of the prompt again,
	// which takes capacity from all requests.
	waitForBest bool
}

// limitsFor returns the limits for a request. The more urgent requests are, the more
// of an engine they may fill, so that an overload of less urgent ones leaves room.
func (c *Core) limitsFor(class capacityClass, objective time.Duration) limits {
	t := c.tiers[class.service]
	if t == nil {
		return limits{batchShare: 1}
	}
	position := t.position(class.rank)
	l := limits{batchShare: 1 - (1-t.pace.batchShare())*position}
	switch {
	case position < 1:
	case t.passedOver >= maxPassedOver:
		return limits{batchShare: 1, waitForBest: true}
	default:
		l.backlog = time.Duration(leastUrgentBacklog * float64(objective))
		l.waitForBest = true
	}
	return l
}

// countTier records a new request for the tiers of its service.
func (c *Core) countTier(now time.Time, r *Request) {
	t := c.tiers[r.Service]
	if t == nil {
		t = &tiers{}
		c.tiers[r.Service] = t
	}
	t.count(now, r.Rank)
}

// batchLimit returns the number of requests up to which an engine accepts more.
func (l limits) batchLimit(e *route.Engine) int {
	return max(int(l.batchShare*float64(e.BatchSize)), 1)
}

// allow reports whether an engine with the given load may get one more request.
func (l limits) allow(m *member, load Load) bool {
	e := m.service.Engine
	switch {
	case e == nil:
		return true
	case load.InFlight >= l.batchLimit(e):
		return false
	case l.backlog == 0 || load.WaitingTokens == 0:
		return true
	}
	return time.Duration(float64(prefillTime(load.WaitingTokens, 0))*m.slowdown) <= l.backlog
}

// hasRoom reports whether any upstream of the service is below its limit for
// requests of the class.
func (c *Core) hasRoom(class capacityClass, l limits) bool {
	for _, m := range c.members {
		if !m.eligible(class.service) {
			continue
		}
		if m.service.Engine == nil || m.inFlight+c.peerLoad(m.key).InFlight < l.batchLimit(m.service.Engine) {
			return true
		}
	}
	return false
}
