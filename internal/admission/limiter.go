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
	// roomFactor is the part of the target below which the limit may grow.
	roomFactor = 0.9
	// reachFactor is how far above the floor the gap may go where the target
	// is out of reach.
	reachFactor = 1.5
	// helpFactor is what halving the limit must make of the gap, or better, to
	// be of use.
	helpFactor = 0.85
	// coldPatience is how many clean ends for each slot of the cold limit may
	// miss the target before the target, not the cold, is blamed.
	coldPatience = 8
)

// stamp tells under which limit a grant was given.
type stamp struct {
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
	now          stamp
	// ramp is the limit while cold.
	ramp int
	// clean counts clean ends of what was granted at this step, peak is the
	// most that ran at once in it.
	clean int
	peak  int
	// slow counts clean ends at the cold limit that missed the target.
	slow int
	// unclean counts unclean ends in a row.
	unclean int
	// warm is the limit while warm; its fraction is growth under way.
	warm float64
	cuts cuts
}

// cuts tells whether a row of cuts helps.
type cuts struct {
	// from is the limit before the row; zero outside one.
	from float64
	// worst is the largest gap in the row.
	worst time.Duration
	// floor is set while the target is out of reach: the gap that the fewest
	// in flight had.
	floor time.Duration
}

func (l *limiter) limit() int {
	if l.cold {
		return l.ramp
	}
	return int(l.warm)
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
	if !l.cold && l.warm >= float64(l.ceiling) {
		l.warm = float64(ceiling)
	}
	if ceiling != l.ceiling {
		l.cuts = cuts{}
	}
	l.warm = min(l.warm, float64(ceiling))
	l.ramp = min(l.ramp, ceiling)
	if l.cold && coldLimit != l.coldLimit {
		l.ramp = coldLimit
		l.nextStep()
	}
	l.ceiling, l.coldLimit = ceiling, coldLimit
}

func (l *limiter) turnCold() {
	l.cold = true
	l.ramp = l.coldLimit
	l.warm = float64(l.ceiling)
	l.cuts = cuts{}
	l.slow, l.unclean = 0, 0
	l.now.epoch++
	l.nextStep()
}

func (l *limiter) nextStep() {
	l.now.step++
	l.clean, l.peak = 0, 0
}

// ran notes how many run at once.
func (l *limiter) ran(n int) { l.peak = max(l.peak, n) }

// finished takes the end of a request. Target is the tightest between tokens of
// what ran beside it, full that no slot was open to every tier. It says whether errors came
// in a burst, so that the upstream must turn cold.
func (l *limiter) finished(s stamp, m Finished, target time.Duration, full bool) bool {
	if s.epoch != l.now.epoch || m.Cancelled {
		return false
	}
	if !m.Clean {
		l.unclean++
		if l.cold {
			l.nextStep()
		}
		return l.unclean >= errorBurst
	}
	l.unclean = 0
	l.cuts.worst = max(l.cuts.worst, m.TokenGap)
	if s.step != l.now.step {
		return false
	}
	if l.cold {
		l.growCold(m.TokenGap, target)
		return false
	}
	l.adapt(m.TokenGap, target, full)
	return false
}

// aim is the gap to keep to: the target, or what can be had where even the
// fewest in flight miss it.
func (l *limiter) aim(target time.Duration) time.Duration {
	if target <= 0 {
		return 0
	}
	return max(target, time.Duration(reachFactor*float64(l.cuts.floor)))
}

// growCold widens the ramp by half once it was filled and a whole limit's worth
// of what was granted at this step ended clean. A missed target above the cold
// limit ends the ramp: the upstream is warm and bears less than its row says.
func (l *limiter) growCold(gap, target time.Duration) {
	if l.ramp <= l.coldLimit {
		l.setFloor(gap, target)
		if l.stillCold(gap, target) {
			return
		}
	}
	if aim := l.aim(target); aim > 0 && gap > aim {
		l.goWarm(l.ramp)
		l.miss(gap)
		return
	}
	l.clean++
	if l.clean < l.ramp || l.peak < l.unreserved() {
		return
	}
	l.ramp = min(l.ramp+max(l.ramp/2, 1), l.ceiling)
	l.nextStep()
	if l.ramp >= l.ceiling {
		l.goWarm(l.ceiling)
	}
}

// stillCold says that a missed target at the cold limit shows an upstream that
// is cold yet. One that goes on missing it is only slow.
func (l *limiter) stillCold(gap, target time.Duration) bool {
	if target <= 0 || gap <= target {
		return false
	}
	l.slow++
	return l.slow < coldPatience*l.coldLimit
}

// setFloor notes the gap at the cold limit, below which no cut goes.
func (l *limiter) setFloor(gap, target time.Duration) {
	switch {
	case gap <= 0:
	case gap <= target:
		l.cuts.floor = 0
	case l.cuts.floor == 0 || gap < l.cuts.floor:
		l.cuts.floor = gap
	}
}

func (l *limiter) goWarm(limit int) {
	l.cold = false
	l.warm = float64(limit)
	l.nextStep()
}

// adapt moves the warm limit: up by one a round, down by a part at once.
func (l *limiter) adapt(gap, target time.Duration, full bool) {
	if target > 0 && gap <= 0 {
		return
	}
	if l.better(gap, target) {
		l.cuts = cuts{}
	}
	aim := l.aim(target)
	if aim > 0 && gap > aim {
		l.miss(gap)
		return
	}
	l.cuts.from, l.cuts.worst = 0, 0
	if full && float64(gap) <= roomFactor*float64(aim) {
		l.warm = min(l.warm+1/l.warm, float64(l.ceiling))
	}
}

// better says that the target came back into reach, or may have.
func (l *limiter) better(gap, target time.Duration) bool {
	floor := l.cuts.floor
	return floor > 0 && (gap <= target || float64(gap) < helpFactor*float64(floor))
}

// miss cuts the limit, or takes a row of cuts back that was of no use: when the
// gap stays at half the limit, fewer in flight only make fewer tokens.
func (l *limiter) miss(gap time.Duration) {
	if l.cuts.from == 0 {
		l.cuts.from = l.warm
		l.cuts.worst = max(l.cuts.worst, gap)
	}
	halved := l.warm <= max(l.cuts.from/2, 1)
	if halved && float64(gap) > helpFactor*float64(l.cuts.worst) {
		l.warm = l.cuts.from
		l.cuts = cuts{floor: gap}
		l.nextStep()
		return
	}
	l.warm = max(math.Floor(min(l.warm*cutFactor, l.warm-1)), 1)
	l.nextStep()
}
