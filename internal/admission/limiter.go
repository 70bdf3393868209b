package admission

import (
	"math"
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// How the limit moves.
const (
	// errorBurst is how many unclean ends in a row turn the upstream cold.
	errorBurst = 3
	// cutFactor is what a missed target leaves of the warm limit.
	cutFactor = 0.8
	// headroomFactor is the part of the target below which the limit may grow.
	headroomFactor = 0.9
	// unreachableTargetFactor is how far above the floor the gap may go where the target
	// is out of reach.
	unreachableTargetFactor = 1.5
	// cutBenefitFactor is what halving the limit must make of the gap, or better, to
	// be of use.
	cutBenefitFactor = 0.85
	// coldMissesPerSlot is how many clean ends for each slot of the cold limit may
	// miss the target before the target, not the cold, is blamed.
	coldMissesPerSlot = 8
)

// limitVersion tells under which limit a grant was given.
type limitVersion struct {
	// epoch counts turns to cold, step the growths and cuts of the limit.
	epoch uint64
	step  uint64
}

// limiter says how much may be in flight: few when cold, and when warm what the
// time between tokens allows.
type limiter struct {
	ceiling   int
	coldLimit int
	// reserveShare keeps one slot in so many for higher tiers; negative for none.
	reserveShare int
	cold         bool
	version      limitVersion
	// rampLimit is the limit while cold.
	rampLimit int
	// cleanEnds counts cleanEnds ends of what was granted at this step, peak is the
	// most that ran at once in it.
	cleanEnds   int
	peakRunning int
	// coldMisses counts clean ends at the cold limit that missed the target.
	coldMisses int
	// consecutiveErrors counts consecutiveErrors ends in a row.
	consecutiveErrors int
	// warmLimit is the limit while warmLimit; its fraction is growth under way.
	warmLimit float64
	cuts      cutSeries
}

// cutSeries tells whether a row of cutSeries helps.
type cutSeries struct {
	// startLimit is the limit before the row; zero outside one.
	startLimit float64
	// worstGap is the largest gap in the row.
	worstGap time.Duration
	// floorGap is set while the target is out of reach: the gap that the fewest
	// in flight had.
	floorGap time.Duration
}

func (l *limiter) limit() int {
	if l.cold {
		return l.rampLimit
	}
	return int(l.warmLimit)
}

// unreserved is how many of the limit's slots are open to every tier.
func (l *limiter) unreserved() int {
	limit := l.limit()
	if l.reserveShare <= 0 {
		return limit
	}
	return limit - limit/l.reserveShare
}

// configure takes the limits of the row. They are at least one.
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

// recordRunning notes how many run at once.
func (l *limiter) recordRunning(n int) { l.peakRunning = max(l.peakRunning, n) }

// finished takes the end of a request. Target is the tightest between tokens of
// what ran beside it, full that no slot was open to every tier. It says whether errors came
// in a burst, so that the upstream must turn cold.
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

// effectiveTarget is the gap to keep to: the target, or what can be had where even the
// fewest in flight miss it.
func (l *limiter) effectiveTarget(target time.Duration) time.Duration {
	if target <= 0 {
		return 0
	}
	return max(target, time.Duration(unreachableTargetFactor*float64(l.cuts.floorGap)))
}

// growCold widens the ramp by half once it was filled and a whole limit's worth
// of what was granted at this step ended clean. A missed target above the cold
// limit ends the ramp: the upstream is warm and bears less than its row says.
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

// stillCold says that a missed target at the cold limit shows an upstream that
// is cold yet. One that goes on missing it is only slow.
func (l *limiter) stillCold(gap, target time.Duration) bool {
	if target <= 0 || gap <= target {
		return false
	}
	l.coldMisses++
	return l.coldMisses < coldMissesPerSlot*l.coldLimit
}

// updateFloorGap notes the gap at the cold limit, below which no cut goes.
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

// adapt moves the warm limit: up by one a round, down by a part at once.
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

// targetRecovered says that the target came back into reach, or may have.
func (l *limiter) targetRecovered(gap, target time.Duration) bool {
	floor := l.cuts.floorGap
	return floor > 0 && (gap <= target || float64(gap) < cutBenefitFactor*float64(floor))
}

// targetMissed cuts the limit, or takes a row of cuts back that was of no use: when the
// gap stays at half the limit, fewer in flight only make fewer tokens.
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
