package admission

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// Parameters of the detection of latency jumps.
const (
	// jumpFactor is how many times its average a latency must exceed to count
	// as a jump.
	jumpFactor = 3
	// minConsecutiveJumps is how many consecutive jumps indicate that the
	// upstream turned cold.
	minConsecutiveJumps = 3
	// minSamples is how many samples an average needs before it is used.
	minSamples = 8
	// averageSmoothing is the smallest weight of a new sample in an average.
	averageSmoothing = 0.1
	// loadFactor and loadMargin define the load that counts as higher: more
	// than loadFactor times the average plus loadMargin.
	loadFactor = 1.25
	loadMargin = 1
	// firstTokenMargin and tokenGapMargin are the least by which a jump exceeds
	// the average.
	firstTokenMargin = 100 * time.Millisecond
	tokenGapMargin   = 5 * time.Millisecond
	// maxTimedClasses bounds the number of classes whose timings are kept.
	maxTimedClasses = 64
)

// timings tracks the average latencies of a warm upstream, to detect when it
// turns cold.
type timings struct {
	classes         map[table.ClassName]*classTimings
	firstTokenJumps int
	tokenGapJumps   int
}

type classTimings struct {
	firstToken movingAverage
	tokenGap   movingAverage
}

// movingAverage is the moving average of a latency and of the load at which it
// was measured.
type movingAverage struct {
	time    float64
	load    float64
	samples int
}

// firstToken records a time to the first token and reports whether the upstream
// seems to have turned cold.
func (t *timings) firstToken(class table.ClassName, after time.Duration, load int) bool {
	k := t.class(class)
	if k == nil {
		return false
	}
	return updateStreak(&t.firstTokenJumps, k.firstToken.observe(after, load, firstTokenMargin))
}

// tokenGap records a time between tokens and reports whether the upstream seems
// to have turned cold.
func (t *timings) tokenGap(class table.ClassName, gap time.Duration, load int) bool {
	k := t.class(class)
	if k == nil {
		return false
	}
	return updateStreak(&t.tokenGapJumps, k.tokenGap.observe(gap, load, tokenGapMargin))
}

// expectedFirstToken returns the average time to the first token, or zero if
// there are fewer than minSamples samples.
func (t *timings) expectedFirstToken(class table.ClassName) time.Duration {
	k := t.classes[class]
	if k == nil || k.firstToken.samples < minSamples {
		return 0
	}
	return time.Duration(k.firstToken.time)
}

// expectedDuration returns how long an answer of this many tokens takes on
// average, or zero if there are fewer than minSamples samples.
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

// observe reports whether a latency is far above the average without a higher
// load. Any other latency is added to the average.
func (a *movingAverage) observe(d time.Duration, load int, margin time.Duration) bool {
	farAbove := float64(d) > jumpFactor*a.time && float64(d) > a.time+float64(margin)
	higherLoad := float64(load) > loadFactor*a.load+loadMargin
	if a.samples >= minSamples && farAbove && !higherLoad {
		return true
	}
	a.samples++
	smoothing := max(averageSmoothing, 1/float64(a.samples))
	a.time += smoothing * (float64(d) - a.time)
	a.load += smoothing * (float64(load) - a.load)
	return false
}

// updateStreak counts consecutive jumps and reports whether there are enough to
// turn the upstream cold.
func updateStreak(streak *int, jumped bool) bool {
	if !jumped {
		*streak = 0
		return false
	}
	*streak++
	return *streak >= minConsecutiveJumps
}
