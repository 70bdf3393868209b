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
type Score struct {
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
	Passed int
	// PassedPart is the most that such a row came to of its bound.
	PassedPart float64
	// ColdOverloads counts requests that a cold engine was given above its cold
	// limit, Falls how often it fell over for them.
	ColdOverloads, Falls int
	// OutWork counts requests given to a data centre later than mostSpread after
	// it was taken out.
	OutWork int

	lowest table.Tier
	good   float64
}

func newScore(d *Deployment) *Score {
	s := &Score{Classes: make(map[table.ClassName]Attainment), Misses: make(map[Miss]int)}
	for _, c := range d.Table.Classes {
		s.lowest = max(s.lowest, c.Tier)
	}
	return s
}

// Wasted is the part of all generated tokens that no whole answer holds.
func (s *Score) Wasted() float64 {
	if s.Generated == 0 {
		return 0
	}
	return max(0, 1-s.Delivered/s.Generated)
}

func (s *Score) call(c *call, code result.Code) {
	w := c.world
	cause := c.cause(code)
	if c.class.Kind == table.Engine && code == result.OK {
		s.Delivered += float64(c.tokens)
		if cause == "" && w.inWindow(w.loop.now) {
			s.good += float64(c.tokens)
			s.Goodput = s.good / w.window.Seconds()
		}
	}
	if !w.inWindow(c.arrived) {
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
	if c.class.Tier == s.lowest {
		s.LongestWait = max(s.LongestWait, c.waited())
	}
}

// waited is the time until an engine ran the call, or until its end.
func (c *call) waited() time.Duration {
	if c.began.IsZero() {
		return c.world.loop.now.Sub(c.arrived)
	}
	return c.began.Sub(c.arrived)
}

func (s *Score) engine(d *door) {
	s.Passed = max(s.Passed, d.passes.longest)
	s.PassedPart = max(s.PassedPart, d.passes.most)
	s.ColdOverloads += d.engine.overloaded
	s.Falls += d.engine.falls
	if d.engine.row.Kind == table.Engine {
		d.engine.catchUp()
		s.Generated += d.engine.generated
	}
}

// forwarded counts work for a data centre that has been out for long enough.
func (s *Score) forwarded(d *door) {
	w := d.world
	since, out := w.out[d.vm.DataCentre]
	if out && w.loop.now.Sub(since) > mostSpread {
		s.OutWork++
	}
}
