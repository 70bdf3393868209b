package placement

import (
	"math"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// crossingInterval is the time between two steps of the shares and quotas. It is the
	// interval at which gateways tell each other their loads.
	crossingInterval = 400 * time.Millisecond
	// shareStep is how much a share grows in a step while requests find no room in their
	// data centre and other data centres have some. Otherwise the share is halved.
	shareStep = 0.1
	// minShare is the share below which none is left.
	minShare = 0.05
	// reserveFraction is the fraction of the places of another data centre that is left
	// to its own requests.
	reserveFraction = 0.125
	// loadWeight is the weight of the latest load of a data centre in its moving
	// average. Loads of plain services vary from report to report, as their requests
	// are short.
	loadWeight = 0.3
	// usedDecay is the factor by which the places that this gateway has used at a destination
	// shrink in a step in which it uses fewer.
	usedDecay = 0.85
	// maxDecaySteps is the number of steps after which a share of 1 without any request has
	// been halved to less than minShare.
	maxDecaySteps = 5
)

// crossingService is the state of a service whose upstreams are in more than one data
// centre.
type crossingService struct {
	home      []*member
	elsewhere map[route.DataCentre]*destination
	// share is the share of the requests without room in their data centre that may
	// leave it.
	share float64
	// pressed reports that a request found no room in the current step.
	pressed bool
}

// destination is another data centre with upstreams of a service. Its quota is counted in
// places, which are fractions of a request in flight for the small services of a large
// fleet, and spent as the time that requests occupy a place.
type destination struct {
	members []*member
	// budget is the time for which requests may still occupy places, and grant what it was
	// increased by in the current step. spent is the time that those sent in the step are
	// expected to take.
	budget, grant, spent time.Duration
	// occupied is the moving average of the time for which a request occupies a place.
	occupied time.Duration
	// used is the number of places of its quota that this gateway has used lately, and quota
	// what it may use in the current step.
	used, quota float64
	// load is the moving average of the places that all gateways use, of those that there
	// are.
	load, places float64
}

// hasPlace reports whether a request may be granted. The budget may be overdrawn by the grant
// of one step, as requests come in bursts.
func (d *destination) hasPlace() bool { return d != nil && d.budget+d.grant >= d.occupied }

// refill begins a step. Beyond the places that it has used lately, the gateway gets its part
// of the free ones.
func (d *destination) refill(part float64, passed int64) {
	spent := min(float64(d.spent)/float64(passed*int64(crossingInterval)), d.quota)
	d.used = max(spent, usedDecay*d.used)
	d.spent = 0
	// What is left is kept up to one request, as the grant of a step may be less.
	left := min(d.budget, d.occupied)
	if d.load >= d.places {
		d.used /= 2
		left = min(left, 0)
	}
	d.quota = d.used + part
	d.grant = time.Duration(d.quota * float64(crossingInterval))
	d.budget = left + d.grant
}

// spend records that a request was granted.
func (d *destination) spend() {
	d.budget -= d.occupied
	d.spent += d.occupied
}

func (s *crossingService) hasPlace() bool {
	for _, d := range s.elsewhere {
		if d.hasPlace() {
			return true
		}
	}
	return false
}

// hasEngines reports whether it is a service of model engines.
func (s *crossingService) hasEngines() bool {
	return slices.ContainsFunc(s.home, func(m *member) bool { return m.service != nil && m.service.Engine != nil })
}

// indexCrossings groups the members by service and data centre. Shares and quotas are
// kept.
func (c *Core) indexCrossings() {
	before := c.crossings.services
	c.crossings.services = make(map[route.ServiceName]*crossingService)
	for _, m := range c.members {
		name := m.upstream.Service
		s := c.crossings.services[name]
		if s == nil {
			s = &crossingService{elsewhere: make(map[route.DataCentre]*destination)}
			if old := before[name]; old != nil {
				s.share, s.pressed = old.share, old.pressed
			}
			c.crossings.services[name] = s
		}
		if m.upstream.DataCentre == c.DataCentre {
			s.home = append(s.home, m)
			continue
		}
		d := s.elsewhere[m.upstream.DataCentre]
		if d == nil {
			d = &destination{occupied: plainResponseTime}
			if old := before[name]; old != nil && old.elsewhere[m.upstream.DataCentre] != nil {
				d = old.elsewhere[m.upstream.DataCentre]
				d.members = nil
			}
			s.elsewhere[m.upstream.DataCentre] = d
		}
		d.members = append(d.members, m)
	}
}

// stepCrossings updates the shares and quotas when a new step has begun. The steps of the
// gateways begin at different times, in the order of their ranks.
func (c *Core) stepCrossings(now time.Time) {
	rank, gateways := c.crossingRank()
	phase := time.Duration(float64(rank) / gateways * float64(crossingInterval))
	step := (now.UnixNano() - int64(phase)) / int64(crossingInterval)
	passed := step - c.crossings.step
	if passed == 0 {
		return
	}
	// The number also changes when the rank changes or the clock is set.
	elapsed := int64(now.Sub(c.crossings.steppedAt) / crossingInterval)
	passed = max(min(passed, elapsed+1), 1)
	c.crossings.step, c.crossings.steppedAt = step, now
	c.expirePeerReports(now)
	for _, s := range c.crossings.services {
		// The gateways in a data centre don't send requests there from elsewhere. They are
		// assumed to be spread evenly.
		centres := float64(len(s.elsewhere) + 1)
		senders := gateways * (centres - 1) / centres
		room := false
		for _, d := range s.elsewhere {
			d.observeLoad(c, now, passed)
			free := d.places - math.Ceil(reserveFraction*d.places) - d.load
			d.refill(max(free, 0)/senders, passed)
			room = room || d.load < d.places
		}
		s.updateShare(room, passed)
	}
}

// updateShare makes one step up, or the given number of steps down.
func (s *crossingService) updateShare(room bool, passed int64) {
	if s.pressed && room {
		s.share = min(s.share+shareStep, 1)
	} else {
		s.share /= math.Exp2(float64(min(passed, maxDecaySteps)))
	}
	if s.share < minShare {
		s.share = 0
	}
	s.pressed = false
}

// crossingRank returns the rank of this gateway and the estimated number of gateways. As
// long as the fleet is unknown, the rank is derived from the seed.
func (c *Core) crossingRank() (rank int, gateways float64) {
	gateways = c.gatewayEstimate()
	if c.gateways == 0 {
		return int(c.Seed % assumedGateways), gateways
	}
	return c.gatewayRank, gateways
}

// observeLoad updates the load and the places of a destination. The places of an engine are
// those of its batch: its cost follows the prompts that wait there.
func (d *destination) observeLoad(c *Core, now time.Time, passed int64) {
	places, used := 0, 0
	for _, m := range d.members {
		if m.usable(now) && m.overdue(now) <= initialBackoff {
			places += m.places()
			used += c.peerLoad(m.key).InFlight + m.inFlight
		}
	}
	weight := 1 - math.Pow(1-loadWeight, float64(passed))
	if d.places == 0 {
		weight = 1
	}
	d.places = float64(places)
	d.load += weight * (float64(used) - d.load)
}

// destinationOf returns the destination that an attempt counts towards, or nil.
func (c *Core) destinationOf(a *assignment) *destination {
	if a.crossing != CrossedForRoom || a.member.service.Engine != nil {
		return nil
	}
	if s := c.crossings.services[a.class.service]; s != nil {
		return s.elsewhere[a.member.upstream.DataCentre]
	}
	return nil
}

// crossingBegins records that an attempt was granted.
func (c *Core) crossingBegins(a *assignment) {
	if a.destination = c.destinationOf(a); a.destination != nil {
		a.destination.spend()
	}
}

// crossingEnds records the end of an attempt. A failure to run the request shows that the
// known loads of the data centre are out of date.
func (c *Core) crossingEnds(now time.Time, a *assignment, o Outcome) {
	d := a.destination
	if d == nil {
		return
	}
	switch o {
	case Served:
		d.occupied += time.Duration(ewmaWeight * float64(now.Sub(a.sent)-d.occupied))
	case Full, Unreached, Silent:
		d.grant = 0
		d.used *= usedDecay
	}
}

// CrossingShares returns for each service the share of the requests without room in their
// data centre that may leave it.
func (c *Core) CrossingShares() map[route.ServiceName]float64 {
	out := make(map[route.ServiceName]float64, len(c.crossings.services))
	for name, s := range c.crossings.services {
		out[name] = s.share
	}
	return out
}
