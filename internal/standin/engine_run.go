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

// engineRun is one request that runs on the engine.
type engineRun struct {
	engine    *Engine
	body      []byte
	asked     completionRequest
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

// ending says how a run ended.
type ending int

const (
	whole ending = iota
	cancelled
	aborted
)

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	run := &engineRun{engine: e, requestID: r.Header.Get("X-Request-Id"), chat: strings.Contains(r.URL.Path, "chat")}
	var err error
	if run.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := json.Unmarshal(run.body, &run.asked); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if o := r.Header.Get("Resume-Offset"); o != "" {
		if run.offset, err = strconv.Atoi(o); err != nil || run.offset < 0 {
			refuse(w, http.StatusBadRequest, "Resume-Offset is no count of tokens")
			return
		}
	}
	if !e.admit(run, w) {
		return
	}
	end := run.serve(r.Context(), w)
	dead := e.finish(run, end)
	switch {
	case dead:
		reset(w)
	case end != whole:
		// The server would end a stream, or an empty answer, as if it were whole.
		cut(w)
	}
}

// admit starts a run, or ends the connection or refuses it.
func (e *Engine) admit(run *engineRun, w http.ResponseWriter) bool {
	now := time.Now()
	e.mu.Lock()
	down := now.Before(e.state.downUntil)
	refused := now.Before(e.state.readyAt) || e.state.draining
	if !down && !refused {
		run.batch = e.state.batch
		e.begin(now)
		if bytes.Contains(run.body, []byte(CrashText)) {
			e.crash(now)
		} else if e.state.cold && e.state.running > e.ColdSlots {
			e.stats.ColdFalls++
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
		reset(w)
	case refused:
		refuseNotRun(w, "the engine takes no requests")
	}
	return !down && !refused
}

func (e *Engine) begin(now time.Time) {
	e.state.running++
	e.stats.Started++
	e.stats.MostRunning = max(e.stats.MostRunning, e.state.running)
	if e.state.cold {
		e.stats.MostRunningCold = max(e.stats.MostRunningCold, e.state.running)
	}
	e.report(now)
}

func (e *Engine) report(now time.Time) {
	e.load.set(now, loadReport{Running: e.state.running, Waiting: max(0, e.state.running-e.Slots)})
}

// finish counts the end of a run and says whether the engine died under it.
func (e *Engine) finish(run *engineRun, end ending) (dead bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Tokens += run.generated
	if end == whole {
		e.stats.Completed++
	} else {
		e.stats.Wasted += run.generated
	}
	if end == cancelled {
		e.stats.Cancelled++
	}
	if run.batch != e.state.batch {
		return run.batch.crashed
	}
	e.state.running--
	e.report(time.Now())
	if end == whole {
		e.warmUp()
	}
	return false
}

func (e *Engine) warmUp() {
	if e.state.clean++; e.state.clean >= e.WarmAfter {
		e.state.cold = false
	}
}

func (run *engineRun) serve(ctx context.Context, w http.ResponseWriter) ending {
	words := Words(run.body, run.requestID, run.asked.MaxTokens, run.engine.LeastTokens, run.engine.MostTokens)
	words = words[min(run.offset, len(words)):]
	if run.offset > 0 {
		w.Header().Set("Resume-Offset", strconv.Itoa(run.offset))
	}
	if run.asked.Stream {
		return run.stream(ctx, w, words)
	}
	for i := range words {
		if end := run.wait(ctx, i); end != whole {
			return end
		}
	}
	writeJSON(w, http.StatusOK, run.answer(strings.Join(words, ""), len(words)))
	return whole
}

func (run *engineRun) stream(ctx context.Context, w http.ResponseWriter, words []string) ending {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	flusher := http.NewResponseController(w)
	for i, word := range words {
		if end := run.wait(ctx, i); end != whole {
			return end
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
	return whole
}

// wait waits for the i-th token.
func (run *engineRun) wait(ctx context.Context, i int) ending {
	if d := run.engine.pace(i); d > 0 {
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
		return whole
	}
}

// pace gives the time to the next token at the load of now.
func (e *Engine) pace(i int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.TokenGap
	if i == 0 {
		d = e.FirstToken
	}
	f := e.state.slow * max(1, float64(e.state.running)/float64(e.Slots))
	if e.state.cold && e.ColdFactor > 0 {
		f *= e.ColdFactor
	}
	return time.Duration(float64(d) * f)
}
