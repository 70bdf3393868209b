package measure

import (
	"fmt"
	"strings"

	"jasminewing.dev/jasminewing/pkg/table"
)

// Targets that the chosen policy must meet.
const (
	minTopAttainment    = 0.99
	minGoodputKept      = 0.95
	maxWasted           = 0.02
	maxWastedAfterCrash = 0.05
)

// Names of the loads whose goodput is compared.
const (
	fullLoad  = "full 100 %"
	burstLoad = "burst 200 %"
)

// MissedTarget is a target that a cell does not meet.
type MissedTarget struct {
	Cell   Cell
	Target string
	// Observed is the value of the worst seed.
	Observed string
	// Causes lists the most common reasons if the target is about calls that were
	// not good.
	Causes string
}

// MissedTargets returns the targets that the cells of one policy do not meet.
func MissedTargets(cells []Cell, policy string) []MissedTarget {
	var all []MissedTarget
	for _, c := range cells {
		if c.Policy.Name == policy {
			all = append(all, c.missedTargets(cells)...)
		}
	}
	return all
}

func (c Cell) missedTargets(cells []Cell) []MissedTarget {
	var all []MissedTarget
	add := func(target, format string, args ...any) *MissedTarget {
		all = append(all, MissedTarget{Cell: c, Target: target, Observed: fmt.Sprintf(format, args...)})
		return &all[len(all)-1]
	}
	for _, t := range c.Deployment.topClasses() {
		if a := c.Attained(t); a.Worst < minTopAttainment {
			add("top tier 99 %", "%s %.2f %%", t, percent(a.Worst)).Causes = c.commonCauses(t)
		}
	}
	limit := maxWasted
	if c.Load.Crash {
		limit = maxWastedAfterCrash
	}
	if w := c.Wasted(); w.Worst >= limit {
		add("wasted work", "%.2f %%", percent(w.Worst))
	}
	if p := c.rangeOf(func(s *Stats) float64 { return s.MaxStarvationRatio }, false); p.Worst > 1 {
		add("one grant and token in N", "a run of grants at %.0f %% of its bound", percent(p.Worst))
	}
	if _, wait := c.LongestWait(); c.Load.LowestTierFits && wait > c.Deployment.shortestMaxWait() {
		add("lowest tier's wait", "%.1f s", wait.Seconds())
	}
	if o := c.Count(func(s *Stats) int { return s.ColdOverloads }); o.Worst > 0 {
		add("no cold overload", "%.0f", o.Worst)
	}
	if o := c.Count(func(s *Stats) int { return s.ForwardedWhenOut }); o.Worst > 0 {
		add("no work for a data centre out", "%.0f", o.Worst)
	}
	if kept, ok := c.goodputKept(cells); ok && kept < minGoodputKept {
		add("goodput at 200 %", "%.1f %% of that at 100 %%", percent(kept))
	}
	return all
}

// goodputKept returns the goodput under the burst load divided by that under the
// full load. It returns false if c is not the cell of the burst load or there is
// no cell of the full load.
func (c Cell) goodputKept(cells []Cell) (float64, bool) {
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

// commonCauses returns a readable list of the most common reasons.
func (c Cell) commonCauses(class table.ClassName) string {
	const limit = 3
	var parts []string
	for i, m := range c.Misses(class) {
		if i == limit {
			break
		}
		parts = append(parts, fmt.Sprintf("%d %s at %s", m.Count, m.Cause, m.Upstream))
	}
	return strings.Join(parts, ", ")
}

// topClasses returns the classes of the top tier, those of plain services
// included.
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
