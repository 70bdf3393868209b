package admission

import (
	"math"
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// Parameters of the concurrency limit.
const (
	// errorBurst is how many consecutive failed requests turn the upstream
	// cold.
	errorBurst = 3
	// cutFactor multiplies the warm limit when the target is missed.
	cutFactor = 0.8
	// headroomFactor is the fraction of the target within which the token gap
	// must stay for the limit to grow.
	headroomFactor = 0.9
	// unreachableTargetFactor is the multiple of floorGap that the token gap
	// may reach while the target is out of reach.
	unreachableTargetFactor = 1.5
	// cutBenefitFactor is the fraction to which halving the limit must reduce
	// the token gap for the cuts to be of use.
	cutBenefitFactor = 0.85
	// coldMissesPerSlot is how many clean ends per slot of the cold limit may
	// miss the target before the upstream counts as too slow for the target
	// instead of still cold.
	coldMissesPerSlot = 8
)

// limitVersion identifies the limit under which a grant was made.
type limitVersion struct {
	// epoch counts how often the upstream turned cold. step counts how often
	// the count of clean ends started over, which every growth of the ramp and
	// every cut causes.
	epoch uint64
	step  uint64
}

// limiter computes how many requests may be in flight: few while the upstream
// is cold, and as many as the time between tokens allows while it is warm.
type limiter struct {
	ceiling   int
	coldLimit int
	// reserveShare reserves one slot in this many for higher tiers; a negative
	// value reserves none.
	reserveShare int
	cold         bool
	version      limitVersion
	// rampLimit is the limit while the upstream is cold.
	rampLimit int
	// cleanEnds counts the clean ends of requests granted in the current step
	// of the ramp, and peakRunning is the most requests that ran concurrently
	// in the step.
	cleanEnds   int
	peakRunning int
	// coldMisses counts clean ends at the cold limit that missed the target.
	coldMisses int
	// consecutiveErrors counts failed requests in a row.
	consecutiveErrors int
	// warmLimit is the limit while the upstream is warm; its fraction
	// accumulates growth towards the next slot.
	warmLimit float64
	cuts      cutSeries
}

// cutSeries tracks whether a series of cuts reduces the token gap.
type cutSeries struct {
	// startLimit is the limit before the series; zero if no series is in
	// progress.
	startLimit float64
	// worstGap is the largest token gap in the series.
	worstGap time.Duration
	// floorGap is set while the target is out of reach: the token gap with the
	// fewest requests in flight.
	floorGap time.Duration
}

func (l *limiter) limit() int {
	if l.cold {
		return l.rampLimit
	}
	return int(l.warmLimit)
}

// unreserved returns how many of the limit's slots are open to every tier.
func (l *limiter) unreserved() int {
	limit := l.limit()
	if l.reserveShare <= 0 {
		return limit
	}
	return limit - limit/l.reserveShare
}

// configure applies the limits of the upstream's row, each raised to at least
// one.
func (l *limiter) configure(u table.Upstream) {
	ceiling := max(u.Limit, 1)
	coldLimit := min(max(u.ColdLimit, 1), ceiling)
	if !l.cold && l.warmLimit >= float64(l.ceiling) {
		l.warmLimit = float64(ceiling)
	}
	if ceiling != l.ceiling {
		l.cuts = cutSeries{}
	}
	l.warmLimit = min(l.warmLimit, float64(ceiling))
	l.rampLimit = min(l.rampLimit, ceiling)
	if l.cold && coldLimit != l.coldLimit {
		l.rampLimit = coldLimit
		l.nextStep()
	}
	l.ceiling, l.coldLimit = ceiling, coldLimit
}

func (l *limiter) turnCold() {
	l.cold = true
	l.rampLimit = l.coldLimit
	l.warmLimit = float64(l.ceiling)
	l.cuts = cutSeries{}
	l.coldMisses, l.consecutiveErrors = 0, 0
	l.version.epoch++
	l.nextStep()
}

func (l *limiter) nextStep() {
	l.version.step++
	l.cleanEnds, l.peakRunning = 0, 0
}

// recordRunning records how many requests run concurrently.
func (l *limiter) recordRunning(n int) { l.peakRunning = max(l.peakRunning, n) }

// finished updates the limit from the end of a request. The target is the
// smallest token-gap target of the requests that ran beside it; full means that
// no slot was open to every tier. finished reports whether a burst of errors
// must turn the upstream cold.
func (l *limiter) finished(grantedUnder limitVersion, m Finished, target time.Duration, full bool) bool {
	if grantedUnder.epoch != l.version.epoch || m.Cancelled {
		return false
	}
	if !m.Clean {
		l.consecutiveErrors++
		if l.cold {
			l.nextStep()
		}
		return l.consecutiveErrors >= errorBurst
	}
	l.consecutiveErrors = 0
	l.cuts.worstGap = max(l.cuts.worstGap, m.TokenGap)
	if grantedUnder.step != l.version.step {
		return false
	}
	if l.cold {
		l.growCold(m.TokenGap, target)
		return false
	}
	l.adapt(m.TokenGap, target, full)
	return false
}

// effectiveTarget returns the token gap to stay within: the target, or a
// multiple of floorGap if the target is missed even with the fewest requests in
// flight. Zero means that there is no target.
func (l *limiter) effectiveTarget(target time.Duration) time.Duration {
	if target <= 0 {
		return 0
	}
	return max(target, time.Duration(unreachableTargetFactor*float64(l.cuts.floorGap)))
}

// growCold raises the ramp limit by half once the ramp was filled and as many
// requests as the limit allows, all granted in this step, ended clean. A missed
// target above the cold limit ends the ramp: the upstream is warm and sustains
// less than its row says.
func (l *limiter) growCold(gap, target time.Duration) {
	if l.rampLimit <= l.coldLimit {
		l.updateFloorGap(gap, target)
		if l.stillCold(gap, target) {
			return
		}
	}
	if aim := l.effectiveTarget(target); aim > 0 && gap > aim {
		l.turnWarm(l.rampLimit)
		l.targetMissed(gap)
		return
	}
	l.cleanEnds++
	if l.cleanEnds < l.rampLimit || l.peakRunning < l.unreserved() {
		return
	}
	l.rampLimit = min(l.rampLimit+max(l.rampLimit/2, 1), l.ceiling)
	l.nextStep()
	if l.rampLimit >= l.ceiling {
		l.turnWarm(l.ceiling)
	}
}

// stillCold reports whether a missed target at the cold limit indicates that
// the upstream is still cold. An upstream that keeps missing the target is not
// cold but slow.
func (l *limiter) stillCold(gap, target time.Duration) bool {
	if target <= 0 || gap <= target {
		return false
	}
	l.coldMisses++
	return l.coldMisses < coldMissesPerSlot*l.coldLimit
}

// updateFloorGap records the token gap at the cold limit; cuts do not aim for a
// smaller gap.
func (l *limiter) updateFloorGap(gap, target time.Duration) {
	switch {
	case gap <= 0:
	case gap <= target:
		l.cuts.floorGap = 0
	case l.cuts.floorGap == 0 || gap < l.cuts.floorGap:
		l.cuts.floorGap = gap
	}
}

func (l *limiter) turnWarm(limit int) {
	l.cold = false
	l.warmLimit = float64(limit)
	l.nextStep()
}

// adapt adjusts the warm limit: it grows by one per round of requests and is
// cut by a fraction at once.
func (l *limiter) adapt(gap, target time.Duration, full bool) {
	if target > 0 && gap <= 0 {
		return
	}
	if l.targetRecovered(gap, target) {
		l.cuts = cutSeries{}
	}
	aim := l.effectiveTarget(target)
	if aim > 0 && gap > aim {
		l.targetMissed(gap)
		return
	}
	l.cuts.startLimit, l.cuts.worstGap = 0, 0
	if full && float64(gap) <= headroomFactor*float64(aim) {
		l.warmLimit = min(l.warmLimit+1/l.warmLimit, float64(l.ceiling))
	}
}

// targetRecovered reports whether the target is within reach again, or may be.
func (l *limiter) targetRecovered(gap, target time.Duration) bool {
	floor := l.cuts.floorGap
	return floor > 0 && (gap <= target || float64(gap) < cutBenefitFactor*float64(floor))
}

// targetMissed cuts the limit, or reverts a series of cuts that was of no use:
// if the token gap stays the same at half the limit, fewer requests in flight
// only reduce throughput.
func (l *limiter) targetMissed(gap time.Duration) {
	if l.cuts.startLimit == 0 {
		l.cuts.startLimit = l.warmLimit
		l.cuts.worstGap = max(l.cuts.worstGap, gap)
	}
	halved := l.warmLimit <= max(l.cuts.startLimit/2, 1)
	if halved && float64(gap) > cutBenefitFactor*float64(l.cuts.worstGap) {
		l.warmLimit = l.cuts.startLimit
		l.cuts = cutSeries{floorGap: gap}
		l.nextStep()
		return
	}
	l.warmLimit = max(math.Floor(min(l.warmLimit*cutFactor, l.warmLimit-1)), 1)
	l.nextStep()
}
