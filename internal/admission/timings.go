package admission

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// When times count as a jump.
const (
	// jumpFactor is how many times its usual a time must be.
	jumpFactor = 3
	// jumpsInRow is how many jumps in a row show an upstream that turned cold.
	jumpsInRow = 3
	// minSamples is how many times make a usual one.
	minSamples = 8
	// usualGain is the part of a new time in the usual one.
	usualGain = 0.1
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
	classes    map[table.ClassName]*classTimings
	firstJumps int
	gapJumps   int
}

type classTimings struct {
	first usual
	gap   usual
}

// usual is a moving mean of a time and of the load it was measured at.
type usual struct {
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
	return count(&t.firstJumps, k.first.jumped(after, load, firstTokenMargin))
}

// tokenGap is the same for the time between tokens.
func (t *timings) tokenGap(class table.ClassName, gap time.Duration, load int) bool {
	k := t.class(class)
	if k == nil {
		return false
	}
	return count(&t.gapJumps, k.gap.jumped(gap, load, tokenGapMargin))
}

// expect is the usual time to the first token; zero while it is not known.
func (t *timings) expect(class table.ClassName) time.Duration {
	k := t.classes[class]
	if k == nil || k.first.samples < minSamples {
		return 0
	}
	return time.Duration(k.first.time)
}

// lasts is how long an answer of so many tokens usually takes; zero while it is
// not known.
func (t *timings) lasts(class table.ClassName, tokens float64) time.Duration {
	k := t.classes[class]
	if k == nil || k.gap.samples < minSamples {
		return 0
	}
	return t.expect(class) + time.Duration(k.gap.time*tokens)
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

// jumped says that a time is far above the usual at no higher load. Any other
// time is taken into the usual.
func (u *usual) jumped(d time.Duration, load int, margin time.Duration) bool {
	far := float64(d) > jumpFactor*u.time && float64(d) > u.time+float64(margin)
	loaded := float64(load) > loadFactor*u.load+loadMargin
	if u.samples >= minSamples && far && !loaded {
		return true
	}
	u.samples++
	gain := max(usualGain, 1/float64(u.samples))
	u.time += gain * (float64(d) - u.time)
	u.load += gain * (float64(load) - u.load)
	return false
}

// count keeps the length of a row of jumps.
func count(row *int, jumped bool) bool {
	if !jumped {
		*row = 0
		return false
	}
	*row++
	return *row >= jumpsInRow
}
