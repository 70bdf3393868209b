package measure

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Attainment counts the calls of a class that arrived in the measurement window.
type Attainment struct {
	Calls int
	// Good is the number of calls whose answer was complete and within the
	// class's targets.
	Good int
}

// Share returns the share of good calls, or 1 if there were no calls.
func (a Attainment) Share() float64 {
	if a.Calls == 0 {
		return 1
	}
	return float64(a.Good) / float64(a.Calls)
}

// Miss identifies a reason why calls were not good.
type Miss struct {
	Class    table.ClassName
	Cause    string
	Upstream table.UpstreamName
}

// Stats holds the measurements of one run.
type Stats struct {
	Classes map[table.ClassName]Attainment
	// Misses is the number of calls that were not good, by reason.
	Misses map[Miss]int
	// Goodput is the number of tokens per second of good answers that ended in
	// the window.
	Goodput float64
	// Generated is the number of tokens that engines generated over the whole
	// run. Delivered is the number of tokens in complete answers.
	Generated, Delivered float64
	// LongestWait is the longest time that a call of the lowest tier waited until
	// an engine ran it or it was refused.
	LongestWait time.Duration
	// MaxStarvationGrants is the maximum number of consecutive grants of one
	// sidecar to higher tiers while a call of the lowest tier had waited longer
	// than its MaxWait.
	MaxStarvationGrants int
	// MaxStarvationRatio is the maximum of such a run of grants relative to its
	// bound; a value above 1 exceeds the bound.
	MaxStarvationRatio float64
	// ColdOverloads is the number of requests that cold engines received above
	// their cold limit. ColdCrashes is the number of crashes that these caused.
	ColdOverloads, ColdCrashes int
	// OffersPerRequest is the mean number of offers that gateways made for a
	// request.
	OffersPerRequest float64
	// ForwardedWhenOut is the number of requests forwarded to an upstream in a
	// data centre later than maxPropagation after the data centre was taken out.
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

// Wasted returns the share of generated tokens that are not part of a complete
// answer.
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
		if cause == "" && sim.inWindow(sim.loop.Now) {
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

// waited returns the time until an engine started to run the call, or until now
// if none did.
func (c *call) waited() time.Duration {
	if c.startedAt.IsZero() {
		return c.sim.loop.Now.Sub(c.arrived)
	}
	return c.startedAt.Sub(c.arrived)
}

// setOffersPerRequest computes OffersPerRequest from the counts of all gateways.
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

// recordForward counts a request that is forwarded to a data centre although
// every process has had time to learn that the data centre is out.
func (s *Stats) recordForward(sc *sidecar) {
	sim := sc.sim
	since, out := sim.outSince[sc.vm.DataCentre]
	if out && sim.loop.Now.Sub(since) > maxPropagation {
		s.ForwardedWhenOut++
	}
}
