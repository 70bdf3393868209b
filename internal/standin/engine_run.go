package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// engineRun is the execution of one request on the engine.
type engineRun struct {
	engine    *Engine
	body      []byte
	request   completionRequest
	requestID string
	chat      bool
	offset    int
	batch     *batch
	generated int
}

type completionRequest struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// runOutcome tells how a run ended.
type runOutcome int

const (
	completed runOutcome = iota
	cancelled
	aborted
)

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	run := &engineRun{engine: e, requestID: r.Header.Get("X-Request-Id"), chat: strings.Contains(r.URL.Path, "chat")}
	var err error
	if run.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := json.Unmarshal(run.body, &run.request); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if o := r.Header.Get("Resume-Offset"); o != "" {
		if run.offset, err = strconv.Atoi(o); err != nil || run.offset < 0 {
			writeError(w, http.StatusBadRequest, "Resume-Offset is no count of tokens")
			return
		}
	}
	if !e.admit(run, w) {
		return
	}
	outcome := run.serve(r.Context(), w)
	crashed := e.finish(run, outcome)
	switch {
	case crashed:
		resetConnection(w)
	case outcome != completed:
		// If the handler just returned, the server would mark the end of a
		// cut-off stream or of an empty answer as if it were complete.
		closeConnection(w)
	}
}

// admit starts a run and returns true. While the engine is down it resets the
// connection, and while the engine is loading or draining it refuses the
// request. It returns false in both cases. A request that crashes the engine
// is admitted and aborted by the crash.
func (e *Engine) admit(run *engineRun, w http.ResponseWriter) bool {
	now := time.Now()
	e.mu.Lock()
	down := now.Before(e.state.downUntil)
	refused := now.Before(e.state.readyAt) || e.state.draining
	if !down && !refused {
		run.batch = e.state.batch
		e.recordStart(now)
		if bytes.Contains(run.body, []byte(CrashText)) {
			e.crash(now)
		} else if e.state.cold && e.state.running > e.ColdSlots {
			e.stats.ColdCrashes++
			e.crash(now)
		}
		if run.offset > 0 {
			e.stats.Resumed++
		}
	} else if !down {
		e.stats.Refused++
	}
	e.mu.Unlock()
	switch {
	case down:
		resetConnection(w)
	case refused:
		writeNotRun(w, "the engine takes no requests")
	}
	return !down && !refused
}

// recordStart counts a started run. The caller holds mu.
func (e *Engine) recordStart(now time.Time) {
	e.state.running++
	e.stats.Started++
	e.stats.MostRunning = max(e.stats.MostRunning, e.state.running)
	if e.state.cold {
		e.stats.MostRunningCold = max(e.stats.MostRunningCold, e.state.running)
	}
	e.recordLoad(now)
}

// recordLoad updates the load report. The caller holds mu.
func (e *Engine) recordLoad(now time.Time) {
	e.load.set(now, loadReport{Running: e.state.running, Waiting: max(0, e.state.running-e.Slots)})
}

// finish counts the end of a run and returns true if the engine crashed during
// it.
func (e *Engine) finish(run *engineRun, outcome runOutcome) (crashed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Tokens += run.generated
	if outcome == completed {
		e.stats.Completed++
	} else {
		e.stats.Wasted += run.generated
	}
	if outcome == cancelled {
		e.stats.Cancelled++
	}
	if run.batch != e.state.batch {
		return run.batch.crashed
	}
	e.state.running--
	e.recordLoad(time.Now())
	if outcome == completed {
		e.countWarmUp()
	}
	return false
}

// countWarmUp counts a completed request and makes the engine warm after
// WarmAfter of them. The caller holds mu.
func (e *Engine) countWarmUp() {
	if e.state.completedCold++; e.state.completedCold >= e.WarmAfter {
		e.state.cold = false
	}
}

func (run *engineRun) serve(ctx context.Context, w http.ResponseWriter) runOutcome {
	words := AnswerWords(run.body, run.requestID, run.request.MaxTokens, run.engine.LeastTokens, run.engine.MostTokens)
	words = words[min(run.offset, len(words)):]
	if run.offset > 0 {
		w.Header().Set("Resume-Offset", strconv.Itoa(run.offset))
	}
	if run.request.Stream {
		return run.stream(ctx, w, words)
	}
	for i := range words {
		if outcome := run.awaitToken(ctx, i); outcome != completed {
			return outcome
		}
	}
	writeJSON(w, http.StatusOK, run.answer(strings.Join(words, ""), len(words)))
	return completed
}

func (run *engineRun) stream(ctx context.Context, w http.ResponseWriter, words []string) runOutcome {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	flusher := http.NewResponseController(w)
	for i, word := range words {
		if outcome := run.awaitToken(ctx, i); outcome != completed {
			return outcome
		}
		event, err := json.Marshal(run.chunk(word))
		if err != nil {
			return aborted
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", event); err != nil {
			return cancelled
		}
		if flusher.Flush() != nil {
			return cancelled
		}
	}
	if _, err := io.WriteString(w, "data: [DONE]\n\n"); err != nil {
		return cancelled
	}
	return completed
}

// awaitToken waits until the i-th token is generated. It returns completed, or
// the reason why the run ended before.
func (run *engineRun) awaitToken(ctx context.Context, i int) runOutcome {
	if d := run.engine.tokenDelay(i); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		case <-run.batch.aborted:
		}
	}
	select {
	case <-run.batch.aborted:
		return aborted
	case <-ctx.Done():
		return cancelled
	default:
		run.generated++
		return completed
	}
}

// tokenDelay returns the time to generate the i-th token at the current load.
func (e *Engine) tokenDelay(i int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.TokenGap
	if i == 0 {
		d = e.FirstToken
	}
	f := e.state.slowFactor * max(1, float64(e.state.running)/float64(e.Slots))
	if e.state.cold && e.ColdFactor > 0 {
		f *= e.ColdFactor
	}
	return time.Duration(float64(d) * f)
}
