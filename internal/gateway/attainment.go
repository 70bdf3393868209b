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
	// attainmentBucket is the time that one bucket counts.
	attainmentBucket = 30 * time.Second
	// attainmentBuckets cover the last five minutes.
	attainmentBuckets = 10
	// AttainmentWindow is how far back an Attainment reaches.
	AttainmentWindow = attainmentBucket * attainmentBuckets

	// The steps of first-token times grow by a quarter from a millisecond.
	histogramFactor  = 1.25
	histogramBuckets = 64
	histogramMin     = time.Millisecond
)

// Attainment is how a class did within AttainmentWindow at this gateway.
type Attainment struct {
	Class table.ClassName
	// Total counts requests that ended, Met those that met their target.
	Total, Met int
	// FirstP50 and FirstP95 are quantiles of the time to the first token,
	// rounded up by at most a quarter; zero for none.
	FirstP50, FirstP95 time.Duration
}

// attainments counts by class and time. Its size is bounded by the classes
// that were used within the window.
type attainments struct {
	mu      sync.Mutex
	classes map[table.ClassName]*attainmentRing
}

type attainmentRing [attainmentBuckets]attainmentCounts

type attainmentCounts struct {
	// period is the number of the bucket's time since the zero time.
	period     int64
	ended, met int
	histogram  [histogramBuckets]uint32
}

func periodOf(now time.Time) int64 { return now.UnixNano() / int64(attainmentBucket) }

// record counts a request that ended; first is zero if nothing was answered.
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
	period := periodOf(now)
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
	n := int(math.Ceil(math.Log(float64(d)/float64(histogramMin)) / math.Log(histogramFactor)))
	return min(max(n, 0), histogramBuckets-1)
}

func histogramBound(n int) time.Duration {
	return time.Duration(float64(histogramMin) * math.Pow(histogramFactor, float64(n)))
}

// recent gives the classes that had requests, by name, and forgets the others.
func (a *attainments) recent(now time.Time) []Attainment {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []Attainment
	for class, ring := range a.classes {
		sum := ring.sum(periodOf(now))
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

// Attainments gives how each class did lately, by name.
func (g *Gateway) Attainments(now time.Time) []Attainment { return g.attainments.recent(now) }
