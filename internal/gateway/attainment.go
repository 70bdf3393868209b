package gateway

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// attainmentBucket is the period that one bucket covers.
	attainmentBucket = 30 * time.Second
	// attainmentBuckets is the number of buckets. Together they cover five
	// minutes.
	attainmentBuckets = 10
	// AttainmentWindow is the period that an Attainment covers.
	AttainmentWindow = attainmentBucket * attainmentBuckets

	// The bounds of the first-token histogram start at one millisecond and grow
	// by a factor of 1.25.
	histogramFactor  = 1.25
	histogramBuckets = 64
	histogramStart   = time.Millisecond
)

// Attainment reports how many requests of a class met their target at this
// gateway within AttainmentWindow, and their first-token times.
type Attainment struct {
	Class table.ClassName
	// Total is the number of requests that ended, and Met the number of those
	// that met their target.
	Total, Met int
	// FirstP50 and FirstP95 are quantiles of the time to the first token,
	// rounded up by at most a quarter. They are zero if no request was
	// answered.
	FirstP50, FirstP95 time.Duration
}

// attainments counts requests by class and time. Its size is bounded by the
// number of classes that were used within the window.
type attainments struct {
	mu      sync.Mutex
	classes map[table.ClassName]*attainmentRing
	periods periods
}

type attainmentRing [attainmentBuckets]attainmentCounts

type attainmentCounts struct {
	period     int64
	ended, met int
	histogram  [histogramBuckets]uint32
}

func (a *attainments) period(now time.Time) int64 { return a.periods.number(now, attainmentBucket) }

// record counts a request that ended. The argument first is the time to the
// first token, or zero if nothing was answered.
func (a *attainments) record(now time.Time, class table.ClassName, met bool, first time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.classes == nil {
		a.classes = make(map[table.ClassName]*attainmentRing)
	}
	ring := a.classes[class]
	if ring == nil {
		ring = &attainmentRing{}
		a.classes[class] = ring
	}
	period := a.period(now)
	c := &ring[period%attainmentBuckets]
	if c.period != period {
		*c = attainmentCounts{period: period}
	}
	c.ended++
	if met {
		c.met++
	}
	if first > 0 {
		c.histogram[histogramBucketOf(first)]++
	}
}

func histogramBucketOf(d time.Duration) int {
	n := int(math.Ceil(math.Log(float64(d)/float64(histogramStart)) / math.Log(histogramFactor)))
	return min(max(n, 0), histogramBuckets-1)
}

func histogramBound(n int) time.Duration {
	return time.Duration(float64(histogramStart) * math.Pow(histogramFactor, float64(n)))
}

// recent returns the classes that had requests within the window, sorted by
// name, and removes the others.
func (a *attainments) recent(now time.Time) []Attainment {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []Attainment
	for class, ring := range a.classes {
		sum := ring.sum(a.period(now))
		if sum.ended == 0 {
			delete(a.classes, class)
			continue
		}
		all = append(all, Attainment{
			Class: class, Total: sum.ended, Met: sum.met,
			FirstP50: sum.quantile(0.50), FirstP95: sum.quantile(0.95),
		})
	}
	slices.SortFunc(all, func(a, b Attainment) int { return cmp.Compare(a.Class, b.Class) })
	return all
}

func (r *attainmentRing) sum(period int64) attainmentCounts {
	var sum attainmentCounts
	for i := range r {
		c := &r[i]
		if c.period <= period-attainmentBuckets {
			continue
		}
		sum.ended += c.ended
		sum.met += c.met
		for n, count := range c.histogram {
			sum.histogram[n] += count
		}
	}
	return sum
}

func (c *attainmentCounts) quantile(q float64) time.Duration {
	var total uint32
	for _, n := range c.histogram {
		total += n
	}
	if total == 0 {
		return 0
	}
	rank := uint32(math.Ceil(q * float64(total)))
	var seen uint32
	for n, count := range c.histogram {
		if seen += count; seen >= rank {
			return histogramBound(n)
		}
	}
	return histogramBound(histogramBuckets - 1)
}

// Attainments returns the attainment of each class within AttainmentWindow,
// sorted by name.
func (g *Gateway) Attainments(now time.Time) []Attainment { return g.attainments.recent(now) }
