package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Action is a control command for a stand-in.
type Action string

// Actions of an Engine.
const (
	Crash Action = "crash"
	Cold  Action = "cold"
	Slow  Action = "slow"
	Drain Action = "drain"
	// Normal ends the effect of Slow and Drain, and of any action of a
	// Booking.
	Normal Action = "ok"
	// CutStreams aborts all running requests without an end marker. The engine
	// stays up.
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

// Control applies an action. The factor is used by Slow only: a factor of 5
// makes the engine five times slower. An unknown action is an error.
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

// crash aborts all running requests and starts a new instance, which is cold if
// ColdSlots is set. The caller holds mu.
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

// abortAll aborts all running requests. The requests notice it by their batch.
// The caller holds mu.
func (e *Engine) abortAll(crashed bool) {
	e.state.batch.abort(crashed)
	e.state.batch = newBatch()
	e.state.running = 0
	e.recordLoad(time.Now())
}
