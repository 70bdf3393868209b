package admission

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// When times count as a jump.
const (
	// jumpFactor is how many times its usual a time must be.
	jumpFactor = 3
	// minConsecutiveJumps is how many jumps in a row show an upstream that turned cold.
	minConsecutiveJumps = 3
	// minSamples is how many times make a usual one.
	minSamples = 8
	// averageSmoothing is the part of a new time in the usual one.
	averageSmoothing = 0.1
	// loadFactor and loadMargin say what counts as no higher load.
	loadFactor = 1.25
	loadMargin = 1
	// firstTokenMargin and tokenGapMargin are the least that a jump adds.
	firstTokenMargin = 100 * time.Millisecond
	tokenGapMargin   = 5 * time.Millisecond
	// maxTimedClasses bounds the classes whose times are kept.
	maxTimedClasses = 64
)

// timings knows the usual times of a warm upstream, to see it turn cold.
type timings struct {
	classes         map[table.ClassName]*classTimings
	firstTokenJumps int
	tokenGapJumps   int
}

type classTimings struct {
	firstToken movingAverage
	tokenGap   movingAverage
}

// movingAverage is a moving mean of a time and of the load it was measured at.
type movingAverage struct {
	time    float64
	load    float64
	samples int
}

// firstToken takes a time to the first token and says that the upstream seems
// to have turned cold.
func (t *timings) firstToken(class table.ClassName, after time.Duration, load int) bool {
	k := t.class(class)
	if k == nil {
		return false
	}
	return updateStreak(&t.firstTokenJumps, k.firstToken.observe(after, load, firstTokenMargin))
}

// tokenGap is the same for the time between tokens.
func (t *timings) tokenGap(class table.ClassName, gap time.Duration, load int) bool {
	k := t.class(class)
	if k == nil {
		return false
	}
	return updateStreak(&t.tokenGapJumps, k.tokenGap.observe(gap, load, tokenGapMargin))
}

// expectedFirstToken is the usual time to the first token; zero while it is not known.
func (t *timings) expectedFirstToken(class table.ClassName) time.Duration {
	k := t.classes[class]
	if k == nil || k.firstToken.samples < minSamples {
		return 0
	}
	return time.Duration(k.firstToken.time)
}

// expectedDuration is how long an answer of so many tokens usually takes; zero while it is
// not known.
func (t *timings) expectedDuration(class table.ClassName, tokens float64) time.Duration {
	k := t.classes[class]
	if k == nil || k.tokenGap.samples < minSamples {
		return 0
	}
	return t.expectedFirstToken(class) + time.Duration(k.tokenGap.time*tokens)
}

func (t *timings) class(name table.ClassName) *classTimings {
	if k := t.classes[name]; k != nil {
		return k
	}
	if len(t.classes) >= maxTimedClasses {
		return nil
	}
	if t.classes == nil {
		t.classes = map[table.ClassName]*classTimings{}
	}
	k := &classTimings{}
	t.classes[name] = k
	return k
}

// observe says that a time is far above the usual at no higher load. Any other
// time is taken into the usual.
func (u *movingAverage) observe(d time.Duration, load int, margin time.Duration) bool {
	farAbove := float64(d) > jumpFactor*u.time && float64(d) > u.time+float64(margin)
	higherLoad := float64(load) > loadFactor*u.load+loadMargin
	if u.samples >= minSamples && farAbove && !higherLoad {
		return true
	}
	u.samples++
	smoothing := max(averageSmoothing, 1/float64(u.samples))
	u.time += smoothing * (float64(d) - u.time)
	u.load += smoothing * (float64(load) - u.load)
	return false
}

// updateStreak keeps the length of a row of jumps.
func updateStreak(streak *int, jumped bool) bool {
	if !jumped {
		*streak = 0
		return false
	}
	*streak++
	return *streak >= minConsecutiveJumps
}
