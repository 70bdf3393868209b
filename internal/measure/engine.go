package measure

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/eventloop"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Parameters of the simulated engine.
const (
	// firstTokenTime is the time from the start of a job to its first token.
	firstTokenTime = 150 * time.Millisecond
	// minTokenGap and tokenGapPerFill determine the time between tokens: it is
	// minTokenGap for an empty batch and the sum of both for a full one.
	minTokenGap     = 12 * time.Millisecond
	tokenGapPerFill = 12 * time.Millisecond
	// plainServiceTime is the time that a plain service takes for a call.
	plainServiceTime = 120 * time.Millisecond
	// coldFactor is the factor by which a cold engine is slower.
	coldFactor = 4
	// warmAfterJobs is the number of jobs that a cold engine must complete before
	// it is warm.
	warmAfterJobs = 8
	// restartTime is how long a crashed engine refuses connections.
	restartTime = 5 * time.Second
	// coldCrashShare is the share of a warm engine's batch above which a cold
	// engine crashes.
	coldCrashShare = 0.5
)

// outcome describes how a job ended.
type outcome int

const (
	jobCompleted outcome = iota
	jobLost
	jobRefused
)

// job is one request on one engine.
type job struct {
	tokens table.Tokens
	// onStart is called when the job starts to run, onFirstToken at its first
	// token, and onEnd once at its end.
	onStart      func()
	onFirstToken func()
	onEnd        func(outcome)

	// decoding is set once the first token has been generated.
	decoding bool
	// startProgress and endProgress are the engine's progress at the first and
	// last token.
	startProgress, endProgress float64
}

// engine is a simulated engine with continuous batching: jobs up to its limit run
// concurrently, and the others wait in a FIFO queue.
type engine struct {
	loop *eventloop.Loop
	row  table.Upstream
	// slowdown multiplies the engine's times; 1 for a healthy engine.
	slowdown float64
	cold     bool
	// coldCompletions is the number of jobs completed since the engine turned
	// cold.
	coldCompletions int
	down            bool
	instance        int

	running []*job
	waiting []*job
	// progress is the number of tokens that a job which has been decoding since
	// the start of the run would have generated.
	progress   float64
	progressAt time.Time
	// generation invalidates the completion events scheduled before a change.
	generation int

	generated float64
	// coldOverloads is the number of jobs accepted above the cold limit while
	// cold.
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

// tokenGap returns the time between tokens under the current load.
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

// add queues a job, or ends it as refused if the engine is down. A cold engine
// crashes if its jobs then exceed both its cold limit and coldCrashShare of its
// limit.
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

// startWaiting starts waiting jobs while the batch has free slots.
func (e *engine) startWaiting() {
	for len(e.waiting) > 0 && len(e.running) < e.row.Limit {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
		j.onStart()
		e.loop.After(e.prefill(), func() { e.emitFirstToken(j) })
	}
	e.scheduleNextEnd()
}

// emitFirstToken generates the first token of a job.
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

// updateProgress advances the progress of the decoding jobs to the current time.
func (e *engine) updateProgress() {
	now := e.loop.Now
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

// scheduleNextEnd schedules the completion of the job that ends next, replacing
// the previous schedule.
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
	e.loop.After(wait, func() {
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

// remove removes a job from the batch and from the queue.
func (e *engine) remove(j *job) {
	is := func(k *job) bool { return k == j }
	e.running = slices.DeleteFunc(e.running, is)
	e.waiting = slices.DeleteFunc(e.waiting, is)
}

// cancel removes a job whose attempt was withdrawn, without calling its onEnd.
func (e *engine) cancel(j *job) {
	e.updateProgress()
	e.remove(j)
	e.startWaiting()
}

// generatedTokens returns the number of tokens of a job that have been generated.
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

// crash ends all jobs as lost. The engine restarts cold after restartTime.
func (e *engine) crash() {
	e.updateProgress()
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	e.down = true
	e.generation++
	for _, j := range lost {
		j.onEnd(jobLost)
	}
	e.loop.After(restartTime, func() {
		e.down = false
		e.instance++
		e.turnCold()
	})
}
