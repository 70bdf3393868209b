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
	minTokenGap     = 12 * time.Millisecond
	tokenGapPerFill = 12 * time.Millisecond
	// plainTime is what a plain service takes for a call.
	plainServiceTime = 120 * time.Millisecond
	// coldFactor multiplies the times of a cold engine.
	coldFactor = 4
	// warmAfter is how many jobs must end whole before an engine is warm.
	warmAfterJobs = 8
	// restartAfter is how long a dead engine refuses connections.
	restartTime = 5 * time.Second
	// fallShare is the share of a warm engine's batch at which a cold one falls over.
	coldCrashShare = 0.5
)

// ending says how a job ended.
type outcome int

const (
	jobCompleted outcome = iota
	jobLost
	jobRefused
)

// job is one request on one engine.
type job struct {
	tokens table.Tokens
	// begin, first and end are called when it starts to run, at the first token
	// and once at the end.
	onStart      func()
	onFirstToken func()
	onEnd        func(outcome)

	// decoding is set once the first token is out.
	decoding bool
	// from and target are the engine's progress at the first and last token.
	startProgress, endProgress float64
}

// engine is a fake engine that batches continuously: up to its limit run at
// once, the rest wait in the order they came.
type engine struct {
	loop *loop
	row  table.Upstream
	// slow multiplies its times; one for an engine in good health.
	slowdown float64
	cold     bool
	// clean counts jobs that were begun cold and ended whole.
	coldCompletions int
	down            bool
	instance        int

	running []*job
	waiting []*job
	// progress is how many tokens each decoding job had since the start.
	progress   float64
	progressAt time.Time
	// turn invalidates the events of before a change.
	generation int

	generated float64
	// overloaded counts jobs taken while cold above the cold limit.
	coldOverloads int
	coldCrashes   int
}

func (e *engine) inFlight() int { return len(e.running) + len(e.waiting) }

func (e *engine) timeFactor() float64 {
	if e.cold {
		return e.slowdown * coldFactor
	}
	return e.slowdown
}

// gap is the time between tokens at the load of now.
func (e *engine) tokenGap() time.Duration {
	fill := float64(len(e.running)) / float64(e.row.Limit)
	return time.Duration((float64(minTokenGap) + fill*float64(tokenGapPerFill)) * e.timeFactor())
}

func (e *engine) prefill() time.Duration {
	t := firstTokenTime
	if e.row.Kind == table.Plain {
		t = plainServiceTime
	}
	return time.Duration(float64(t) * e.timeFactor())
}

// add takes a job.
func (e *engine) add(j *job) {
	if e.down {
		j.onEnd(jobRefused)
		return
	}
	e.updateProgress()
	e.waiting = append(e.waiting, j)
	if e.cold && e.inFlight() > e.row.ColdLimit {
		e.coldOverloads++
		if float64(e.inFlight()) > coldCrashShare*float64(e.row.Limit) {
			e.coldCrashes++
			e.crash()
			return
		}
	}
	e.startWaiting()
}

// fill starts jobs while there is room in the batch.
func (e *engine) startWaiting() {
	for len(e.waiting) > 0 && len(e.running) < e.row.Limit {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
		j.onStart()
		e.loop.after(e.prefill(), func() { e.emitFirstToken(j) })
	}
	e.scheduleNextEnd()
}

// decode is the first token of a job.
func (e *engine) emitFirstToken(j *job) {
	if !slices.Contains(e.running, j) {
		return
	}
	e.updateProgress()
	e.generated++
	j.decoding = true
	j.startProgress = e.progress
	j.endProgress = e.progress + float64(j.tokens-1)
	j.onFirstToken()
	if j.tokens <= 1 {
		e.complete(j)
		return
	}
	e.scheduleNextEnd()
}

// catchUp brings the progress of the decoding jobs up to now.
func (e *engine) updateProgress() {
	now := e.loop.now
	if n := e.decodingCount(); n > 0 {
		tokens := float64(now.Sub(e.progressAt)) / float64(e.tokenGap())
		e.progress += tokens
		e.generated += tokens * float64(n)
	}
	e.progressAt = now
}

func (e *engine) decodingCount() int {
	n := 0
	for _, j := range e.running {
		if j.decoding {
			n++
		}
	}
	return n
}

// plan sets the event of the next job that ends.
func (e *engine) scheduleNextEnd() {
	e.generation++
	generation := e.generation
	var next *job
	for _, j := range e.running {
		if j.decoding && (next == nil || j.endProgress < next.endProgress) {
			next = j
		}
	}
	if next == nil {
		return
	}
	wait := time.Duration(max(next.endProgress-e.progress, 0) * float64(e.tokenGap()))
	e.loop.after(wait, func() {
		if generation == e.generation {
			e.updateProgress()
			e.complete(next)
		}
	})
}

func (e *engine) complete(j *job) {
	e.remove(j)
	if e.cold {
		e.coldCompletions++
		e.cold = e.coldCompletions < warmAfterJobs
	}
	j.onEnd(jobCompleted)
	e.startWaiting()
}

// remove takes a job off the engine.
func (e *engine) remove(j *job) {
	is := func(k *job) bool { return k == j }
	e.running = slices.DeleteFunc(e.running, is)
	e.waiting = slices.DeleteFunc(e.waiting, is)
}

// cancel ends a job that nobody wants any more.
func (e *engine) cancel(j *job) {
	e.updateProgress()
	e.remove(j)
	e.startWaiting()
}

// given is how many tokens of a job are out.
func (e *engine) generatedTokens(j *job) table.Tokens {
	if !j.decoding {
		return 0
	}
	e.updateProgress()
	return min(j.tokens, 1+table.Tokens(e.progress-j.startProgress))
}

func (e *engine) turnCold() {
	e.updateProgress()
	e.cold = true
	e.coldCompletions = 0
	e.scheduleNextEnd()
}

func (e *engine) setSlowdown(factor float64) {
	e.updateProgress()
	e.slowdown = factor
	e.scheduleNextEnd()
}

// crash ends all jobs; the engine comes back cold.
func (e *engine) crash() {
	e.updateProgress()
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	e.down = true
	e.generation++
	for _, j := range lost {
		j.onEnd(jobLost)
	}
	e.loop.after(restartTime, func() {
		e.down = false
		e.instance++
		e.turnCold()
	})
}
