package measure

import (
	"fmt"
	"strings"

	"jasminewing.dev/jasminewing/pkg/table"
)

// What the chosen policy must reach.
const (
	topAttained    = 0.99
	keptGoodput    = 0.95
	mostWasted     = 0.02
	mostWastedDead = 0.05
)

// Names of the loads whose goodput is held against each other.
const (
	fullLoad  = "full 100 %"
	burstLoad = "burst 200 %"
)

// Missed is a target that a cell does not reach, with its worst seed.
type Missed struct {
	Cell   Cell
	Target string
	Seen   string
	// Why lists the commonest reasons, where calls were not good.
	Why string
}

// MissedTargets holds the cells of one policy against the targets.
func MissedTargets(cells []Cell, policy string) []Missed {
	var all []Missed
	for _, c := range cells {
		if c.Policy.Name == policy {
			all = append(all, c.missed(cells)...)
		}
	}
	return all
}

func (c Cell) missed(cells []Cell) []Missed {
	var all []Missed
	miss := func(target, format string, args ...any) *Missed {
		all = append(all, Missed{Cell: c, Target: target, Seen: fmt.Sprintf(format, args...)})
		return &all[len(all)-1]
	}
	for _, t := range c.Deployment.topClasses() {
		if a := c.Attained(t); a.Worst < topAttained {
			miss("top tier 99 %", "%s %.2f %%", t, percent(a.Worst)).Why = c.why(t)
		}
	}
	most := mostWasted
	if c.Load.Crash {
		most = mostWastedDead
	}
	if w := c.Wasted(); w.Worst >= most {
		miss("wasted work", "%.2f %%", percent(w.Worst))
	}
	if p := c.spread(func(s *Score) float64 { return s.PassedPart }, false); p.Worst > 1 {
		miss("one grant and token in N", "a row of %.0f %% of its bound", percent(p.Worst))
	}
	if _, wait := c.Wait(); c.Load.LowestFits && wait > c.Deployment.leastMaxWait() {
		miss("lowest tier's wait", "%.1f s", wait.Seconds())
	}
	if o := c.Count(func(s *Score) int { return s.ColdOverloads }); o.Worst > 0 {
		miss("no cold overload", "%.0f", o.Worst)
	}
	if o := c.Count(func(s *Score) int { return s.OutWork }); o.Worst > 0 {
		miss("no work for a data centre out", "%.0f", o.Worst)
	}
	if kept, ok := c.keptGoodput(cells); ok && kept < keptGoodput {
		miss("goodput at 200 %", "%.1f %% of that at 100 %%", percent(kept))
	}
	return all
}

// keptGoodput holds the burst's goodput against the full load's.
func (c Cell) keptGoodput(cells []Cell) (float64, bool) {
	if c.Load.Name != burstLoad {
		return 0, false
	}
	for _, full := range cells {
		if full.Deployment == c.Deployment && full.Policy.Name == c.Policy.Name && full.Load.Name == fullLoad {
			return c.Goodput().Median / full.Goodput().Median, true
		}
	}
	return 0, false
}

// why gives the commonest reasons in words.
func (c Cell) why(class table.ClassName) string {
	const most = 3
	var words []string
	for i, m := range c.Misses(class) {
		if i == most {
			break
		}
		words = append(words, fmt.Sprintf("%d %s at %s", m.Count, m.Cause, m.Upstream))
	}
	return strings.Join(words, ", ")
}

// topClasses gives the classes of the top tier that run on engines.
func (d *Deployment) topClasses() []table.ClassName {
	var names []table.ClassName
	for _, t := range d.Traffic {
		if d.Table.Classes[t.Class].Tier == 1 {
			names = append(names, t.Class)
		}
	}
	return names
}

func percent(share float64) float64 { return 100 * share }
