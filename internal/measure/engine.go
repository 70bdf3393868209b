package measure

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// How the fake engine behaves.
const (
	// firstTokenTime is from the start of a job to its first token.
	firstTokenTime = 150 * time.Millisecond
	// gapAlone and gapPerFill make the time between tokens: an engine whose
	// batch is full takes both, an empty one the first.
	gapAlone   = 12 * time.Millisecond
	gapPerFill = 12 * time.Millisecond
	// plainTime is what a plain service takes for a call.
	plainTime = 120 * time.Millisecond
	// coldFactor multiplies the times of a cold engine.
	coldFactor = 4
	// warmAfter is how many jobs must end whole before an engine is warm.
	warmAfter = 8
	// restartAfter is how long a dead engine refuses connections.
	restartAfter = 5 * time.Second
	// fallShare is the share of a warm engine's batch at which a cold one falls over.
	fallShare = 0.5
)

// ending says how a job ended.
type ending int

const (
	whole ending = iota
	died
	refused
)

// job is one request on one engine.
type job struct {
	tokens table.Tokens
	// begin, first and end are called when it starts to run, at the first token
	// and once at the end.
	begin func()
	first func()
	end   func(ending)

	// decoding is set once the first token is out.
	decoding bool
	// from and target are the engine's progress at the first and last token.
	from, target float64
}

// engine is a fake engine that batches continuously: up to its limit run at
// once, the rest wait in the order they came.
type engine struct {
	loop *loop
	row  table.Upstream
	// slow multiplies its times; one for an engine in good health.
	slow float64
	cold bool
	// clean counts jobs that were begun cold and ended whole.
	clean    int
	down     bool
	instance int

	running []*job
	waiting []*job
	// progress is how many tokens each decoding job had since the start.
	progress   float64
	progressAt time.Time
	// turn invalidates the events of before a change.
	turn int

	generated float64
	// overloaded counts jobs taken while cold above the cold limit.
	overloaded int
	falls      int
}

func (e *engine) inFlight() int { return len(e.running) + len(e.waiting) }

func (e *engine) factor() float64 {
	if e.cold {
		return e.slow * coldFactor
	}
	return e.slow
}

// gap is the time between tokens at the load of now.
func (e *engine) gap() time.Duration {
	fill := float64(len(e.running)) / float64(e.row.Limit)
	return time.Duration((float64(gapAlone) + fill*float64(gapPerFill)) * e.factor())
}

func (e *engine) prefill() time.Duration {
	t := firstTokenTime
	if e.row.Kind == table.Plain {
		t = plainTime
	}
	return time.Duration(float64(t) * e.factor())
}

// add takes a job.
func (e *engine) add(j *job) {
	if e.down {
		j.end(refused)
		return
	}
	e.catchUp()
	e.waiting = append(e.waiting, j)
	if e.cold && e.inFlight() > e.row.ColdLimit {
		e.overloaded++
		if float64(e.inFlight()) > fallShare*float64(e.row.Limit) {
			e.falls++
			e.crash()
			return
		}
	}
	e.fill()
}

// fill starts jobs while there is room in the batch.
func (e *engine) fill() {
	for len(e.waiting) > 0 && len(e.running) < e.row.Limit {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
		j.begin()
		e.loop.after(e.prefill(), func() { e.decode(j) })
	}
	e.plan()
}

// decode is the first token of a job.
func (e *engine) decode(j *job) {
	if !slices.Contains(e.running, j) {
		return
	}
	e.catchUp()
	e.generated++
	j.decoding = true
	j.from = e.progress
	j.target = e.progress + float64(j.tokens-1)
	j.first()
	if j.tokens <= 1 {
		e.finish(j)
		return
	}
	e.plan()
}

// catchUp brings the progress of the decoding jobs up to now.
func (e *engine) catchUp() {
	now := e.loop.now
	if n := e.decoding(); n > 0 {
		tokens := float64(now.Sub(e.progressAt)) / float64(e.gap())
		e.progress += tokens
		e.generated += tokens * float64(n)
	}
	e.progressAt = now
}

func (e *engine) decoding() int {
	n := 0
	for _, j := range e.running {
		if j.decoding {
			n++
		}
	}
	return n
}

// plan sets the event of the next job that ends.
func (e *engine) plan() {
	e.turn++
	turn := e.turn
	var next *job
	for _, j := range e.running {
		if j.decoding && (next == nil || j.target < next.target) {
			next = j
		}
	}
	if next == nil {
		return
	}
	wait := time.Duration(max(next.target-e.progress, 0) * float64(e.gap()))
	e.loop.after(wait, func() {
		if turn == e.turn {
			e.catchUp()
			e.finish(next)
		}
	})
}

func (e *engine) finish(j *job) {
	e.remove(j)
	if e.cold {
		e.clean++
		e.cold = e.clean < warmAfter
	}
	j.end(whole)
	e.fill()
}

// remove takes a job off the engine.
func (e *engine) remove(j *job) {
	is := func(k *job) bool { return k == j }
	e.running = slices.DeleteFunc(e.running, is)
	e.waiting = slices.DeleteFunc(e.waiting, is)
}

// cancel ends a job that nobody wants any more.
func (e *engine) cancel(j *job) {
	e.catchUp()
	e.remove(j)
	e.fill()
}

// given is how many tokens of a job are out.
func (e *engine) given(j *job) table.Tokens {
	if !j.decoding {
		return 0
	}
	e.catchUp()
	return min(j.tokens, 1+table.Tokens(e.progress-j.from))
}

func (e *engine) turnCold() {
	e.catchUp()
	e.cold = true
	e.clean = 0
	e.plan()
}

func (e *engine) setSlow(factor float64) {
	e.catchUp()
	e.slow = factor
	e.plan()
}

// crash ends all jobs; the engine comes back cold.
func (e *engine) crash() {
	e.catchUp()
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	e.down = true
	e.turn++
	for _, j := range lost {
		j.end(died)
	}
	e.loop.after(restartAfter, func() {
		e.down = false
		e.instance++
		e.turnCold()
	})
}
