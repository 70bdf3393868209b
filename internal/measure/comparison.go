package measure

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// Comparison runs each policy under each load on each deployment, with the same
// seeds.
type Comparison struct {
	Deployments []*Deployment
	Loads       []Load
	Policies    []Policy
	Seeds       []uint64
	// Parallel is the number of concurrent runs.
	Parallel int
}

// Cell holds the measurements of one policy under one load, in the order of the
// seeds.
type Cell struct {
	Deployment *Deployment
	Load       Load
	Policy     Policy
	Stats      []*Stats
}

// Run runs the comparison and returns its cells in the order of deployment, load
// and policy.
func (c Comparison) Run() []Cell {
	var cells []Cell
	for _, d := range c.Deployments {
		for _, l := range c.Loads {
			for _, p := range c.Policies {
				cells = append(cells, Cell{d, l, p, make([]*Stats, len(c.Seeds))})
			}
		}
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, max(c.Parallel, 1))
	for _, cell := range cells {
		for i, seed := range c.Seeds {
			slots <- struct{}{}
			group.Go(func() {
				cell.Stats[i] = Run{Deployment: cell.Deployment, Load: cell.Load, Policy: cell.Policy, Seed: seed}.Simulate()
				<-slots
			})
		}
	}
	group.Wait()
	return cells
}

// Range is the median and the worst value of a measurement over the seeds.
type Range struct{ Median, Worst float64 }

// rangeOf returns the range of a measurement over the seeds. The worst value is
// the lowest if highIsGood, and the highest otherwise.
func (c Cell) rangeOf(figure func(*Stats) float64, highIsGood bool) Range {
	var all []float64
	for _, s := range c.Stats {
		all = append(all, figure(s))
	}
	slices.Sort(all)
	if highIsGood {
		slices.Reverse(all)
	}
	return Range{Median: all[len(all)/2], Worst: all[len(all)-1]}
}

// Attained returns a class's share of good calls.
func (c Cell) Attained(class table.ClassName) Range {
	return c.rangeOf(func(s *Stats) float64 { return s.Classes[class].Share() }, true)
}

// Goodput returns the tokens per second of good answers.
func (c Cell) Goodput() Range {
	return c.rangeOf(func(s *Stats) float64 { return s.Goodput }, true)
}

// Wasted returns the share of generated tokens that are not part of a complete
// answer.
func (c Cell) Wasted() Range {
	return c.rangeOf((*Stats).Wasted, false)
}

// LongestWait returns the longest wait of the lowest tier.
func (c Cell) LongestWait() (median, worst time.Duration) {
	r := c.rangeOf(func(s *Stats) float64 { return float64(s.LongestWait) }, false)
	return time.Duration(r.Median), time.Duration(r.Worst)
}

// Count returns the median and the maximum of a count.
func (c Cell) Count(count func(*Stats) int) Range {
	return c.rangeOf(func(s *Stats) float64 { return float64(count(s)) }, false)
}

// MissCount is the number of calls that were not good for one reason, over all
// seeds.
type MissCount struct {
	Miss
	Count int
}

// Misses returns the reasons why calls of a class were not good, the most common
// first.
func (c Cell) Misses(class table.ClassName) []MissCount {
	sums := make(map[Miss]int)
	for _, s := range c.Stats {
		for m, n := range s.Misses {
			if m.Class == class {
				sums[m] += n
			}
		}
	}
	var all []MissCount
	for m, n := range sums {
		all = append(all, MissCount{m, n})
	}
	slices.SortFunc(all, func(a, b MissCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Upstream, b.Upstream))
	})
	return all
}
