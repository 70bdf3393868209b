package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Action is what a stand-in is told to do.
type Action string

// Actions of an Engine.
const (
	Crash Action = "crash"
	Cold  Action = "cold"
	Slow  Action = "slow"
	Drain Action = "drain"
	// Normal ends Slow and Drain.
	Normal Action = "ok"
	// CutStreams ends what runs without an end mark, but leaves the engine up.
	CutStreams Action = "cut_streams"
)

type engineControl struct {
	Action Action  `json:"action"`
	Factor float64 `json:"factor"`
}

func (e *Engine) serveControl(w http.ResponseWriter, r *http.Request) {
	var o engineControl
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := e.Control(o.Action, o.Factor); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, e.Stats())
}

// Control does an action. The factor is for Slow: 5 makes a fifth of the speed.
func (e *Engine) Control(a Action, factor float64) error {
	e.once.Do(e.init)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch a {
	case Crash:
		e.crash(time.Now())
	case Cold:
		e.state.cold, e.state.completedCold = true, 0
	case Slow:
		e.state.slowFactor = max(factor, 0.001)
	case Drain:
		e.state.draining = true
	case Normal:
		e.state.draining, e.state.slowFactor = false, 1
	case CutStreams:
		e.abortAll(false)
	default:
		return fmt.Errorf("control engine: unknown action %q", a)
	}
	return nil
}

// crash ends all that runs and begins a new, cold instance.
func (e *Engine) crash(now time.Time) {
	e.stats.Crashes++
	e.abortAll(true)
	e.state.generation++
	if e.state.loaded != nil {
		e.state.loaded = new(string)
	}
	e.state.cold, e.state.completedCold = e.ColdSlots > 0, 0
	e.state.downUntil = now.Add(e.RestartAfter)
	e.state.readyAt = e.state.downUntil.Add(e.LoadingTime)
}

// abortAll ends all that runs; the runs see it by their batch.
func (e *Engine) abortAll(crashed bool) {
	e.state.batch.abort(crashed)
	e.state.batch = newBatch()
	e.state.running = 0
	e.recordLoad(time.Now())
}
