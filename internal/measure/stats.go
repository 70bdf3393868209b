package measure

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Attainment counts the calls of a class that arrived in the window.
type Attainment struct {
	Calls int
	// Good are those whose answer was whole and within the class's targets.
	Good int
}

// Share is the part that was good; one of no calls at all.
func (a Attainment) Share() float64 {
	if a.Calls == 0 {
		return 1
	}
	return float64(a.Good) / float64(a.Calls)
}

// Miss is a reason why calls were not good.
type Miss struct {
	Class    table.ClassName
	Cause    string
	Upstream table.UpstreamName
}

// Score is what one run measured.
type Stats struct {
	Classes map[table.ClassName]Attainment
	// Misses counts the calls that were not good by reason.
	Misses map[Miss]int
	// Goodput is tokens a second in the window of answers that were good.
	Goodput float64
	// Generated and Delivered count the tokens that engines made, and those of
	// whole answers, over the whole run.
	Generated, Delivered float64
	// LongestWait is the longest time that a call of the lowest tier waited to be
	// run, or waited until it was refused.
	LongestWait time.Duration
	// Passed is the longest row of grants at one sidecar that went to higher tiers
	// while a call of the lowest tier was past its MaxWait.
	MaxStarvationGrants int
	// PassedPart is the most that such a row came to of its bound.
	MaxStarvationRatio float64
	// ColdOverloads counts requests that a cold engine was given above its cold
	// limit, Falls how often it fell over for them.
	ColdOverloads, ColdCrashes int
	// Offers is how many offers gateways made for a request, in the mean.
	OffersPerRequest float64
	// OutWork counts requests given to a data centre later than mostSpread after
	// it was taken out.
	ForwardedWhenOut int

	lowestTier table.Tier
	goodTokens float64
}

func newStats(d *Deployment) *Stats {
	s := &Stats{Classes: make(map[table.ClassName]Attainment), Misses: make(map[Miss]int)}
	for _, c := range d.Table.Classes {
		s.lowestTier = max(s.lowestTier, c.Tier)
	}
	return s
}

// Wasted is the part of all generated tokens that no whole answer holds.
func (s *Stats) Wasted() float64 {
	if s.Generated == 0 {
		return 0
	}
	return max(0, 1-s.Delivered/s.Generated)
}

func (s *Stats) recordCall(c *call, code result.Code) {
	sim := c.sim
	cause := c.missCause(code)
	if c.class.Kind == table.Engine && code == result.OK {
		s.Delivered += float64(c.tokens)
		if cause == "" && sim.inWindow(sim.loop.now) {
			s.goodTokens += float64(c.tokens)
			s.Goodput = s.goodTokens / sim.window.Seconds()
		}
	}
	if !sim.inWindow(c.arrived) {
		return
	}
	a := s.Classes[c.class.Name]
	a.Calls++
	if cause == "" {
		a.Good++
	} else {
		s.Misses[Miss{c.class.Name, cause, c.upstream}]++
	}
	s.Classes[c.class.Name] = a
	if c.class.Tier == s.lowestTier {
		s.LongestWait = max(s.LongestWait, c.waited())
	}
}

// waited is the time until an engine ran the call, or until its end.
func (c *call) waited() time.Duration {
	if c.startedAt.IsZero() {
		return c.sim.loop.now.Sub(c.arrived)
	}
	return c.startedAt.Sub(c.arrived)
}

// offers takes the counts of all gateways.
func (s *Stats) setOffersPerRequest(sim *simulation) {
	s.OffersPerRequest = float64(sim.offerCount) / float64(max(sim.callCount, 1))
}

func (s *Stats) recordUpstream(sc *sidecar) {
	s.MaxStarvationGrants = max(s.MaxStarvationGrants, sc.starvation.maxGrants)
	s.MaxStarvationRatio = max(s.MaxStarvationRatio, sc.starvation.maxRatio)
	s.ColdOverloads += sc.engine.coldOverloads
	s.ColdCrashes += sc.engine.coldCrashes
	if sc.engine.row.Kind == table.Engine {
		sc.engine.updateProgress()
		s.Generated += sc.engine.generated
	}
}

// forwarded counts work for a data centre that has been out for long enough.
func (s *Stats) recordForward(sc *sidecar) {
	sim := sc.sim
	since, out := sim.outSince[sc.vm.DataCentre]
	if out && sim.loop.now.Sub(since) > maxPropagation {
		s.ForwardedWhenOut++
	}
}
