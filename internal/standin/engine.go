package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// CrashText crashes an engine that receives it in a request body.
const CrashText = "crash-this-engine"

// Default values of the fields of Engine.
const (
	defaultSlots       = 8
	defaultLeastTokens = 8
	defaultMostTokens  = 64
)

// loadOrderPrefix is the prefix of an order to load a model. The rest of the
// order names the model.
const loadOrderPrefix = "load "

// Engine is a model engine with continuous batching. Its exported fields are
// set before use. A duration of zero adds no delay.
type Engine struct {
	// Name is part of the instance id.
	Name string
	// Slots is the number of concurrent requests that run at full speed. More
	// requests slow all of them down. Zero means 8.
	Slots int
	// FirstToken is the time to the first token and TokenGap the time between
	// tokens.
	FirstToken, TokenGap time.Duration
	// LeastTokens and MostTokens are the bounds of the answer length for
	// requests without max_tokens. If MostTokens is zero, they are 8 and 64.
	LeastTokens, MostTokens int
	// ColdSlots is the number of concurrent requests that a cold engine can
	// run. One more request crashes it. Zero means that the engine is never
	// cold after a start.
	ColdSlots int
	// ColdFactor multiplies the durations of a cold engine. Zero means 1.
	ColdFactor float64
	// WarmAfter is the number of completed requests after which a cold engine
	// is warm.
	WarmAfter int
	// RestartAfter is the time for which a crashed engine resets every
	// connection. LoadingTime is the time after that for which it reports that
	// it is loading.
	RestartAfter, LoadingTime time.Duration
	// LoadReportLag is the age of the load report.
	LoadReportLag time.Duration
	// ChecksFencing makes the engine refuse orders with an outdated fencing
	// number.
	ChecksFencing bool

	once   sync.Once
	router *mux.Router

	mu    sync.Mutex
	state engineState
	load  lagged[loadReport]
	stats EngineStats
}

// engineState is the state that requests, orders, control actions and restarts
// change.
type engineState struct {
	generation int
	cold       bool
	// completedCold is the number of requests completed since the engine was
	// last made cold.
	completedCold int
	running       int
	draining      bool
	slowFactor    float64
	downUntil     time.Time
	readyAt       time.Time
	batch         *batch
	fencing       uint64
	// loaded is the model of the last load order. It is nil before the first
	// load order, and a later crash makes it empty.
	loaded *string
}

// batch is the set of requests that a crash or CutStreams aborts together.
type batch struct {
	aborted chan struct{}
	// crashed is set before aborted is closed.
	crashed bool
}

func (b *batch) abort(crashed bool) {
	b.crashed = crashed
	close(b.aborted)
}

func newBatch() *batch { return &batch{aborted: make(chan struct{})} }

type loadReport struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// EngineStats is the response body of GET /stats.
type EngineStats struct {
	Instance string `json:"instance"`
	Cold     bool   `json:"cold"`
	Running  int    `json:"running"`
	// MostRunning and MostRunningCold are the highest numbers of concurrent
	// requests.
	MostRunning     int `json:"most_running"`
	MostRunningCold int `json:"most_running_cold"`
	Started         int `json:"started"`
	Completed       int `json:"completed"`
	Cancelled       int `json:"cancelled"`
	Refused         int `json:"refused"`
	Resumed         int `json:"resumed"`
	Crashes         int `json:"crashes"`
	// ColdCrashes counts the crashes caused by too many concurrent requests
	// on a cold engine.
	ColdCrashes int `json:"cold_falls"`
	// Tokens counts all generated tokens. Wasted counts those of incomplete
	// answers.
	Tokens int `json:"tokens"`
	Wasted int `json:"wasted"`
	// Orders are the accepted orders. Fencing is their highest fencing number.
	Orders        []string `json:"orders"`
	OrdersRefused int      `json:"orders_refused"`
	Fencing       uint64   `json:"fencing"`
}

// ServeHTTP serves the published upstream protocol, and /control and /stats.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.once.Do(e.init)
	e.router.ServeHTTP(w, r)
}

func (e *Engine) init() {
	if e.Slots == 0 {
		e.Slots = defaultSlots
	}
	if e.MostTokens == 0 {
		e.LeastTokens, e.MostTokens = defaultLeastTokens, defaultMostTokens
	}
	e.load.lag = e.LoadReportLag
	e.state = engineState{cold: e.ColdSlots > 0, batch: newBatch(), slowFactor: 1}
	e.router = mux.NewRouter()
	e.router.HandleFunc("/v1/chat/completions", e.serveCompletion).Methods(http.MethodPost)
	e.router.HandleFunc("/v1/completions", e.serveCompletion).Methods(http.MethodPost)
	e.router.HandleFunc("/health", e.resetIfDown(e.serveHealth)).Methods(http.MethodGet)
	e.router.HandleFunc("/load", e.resetIfDown(e.serveLoad)).Methods(http.MethodGet)
	e.router.HandleFunc("/orders", e.resetIfDown(e.serveOrder)).Methods(http.MethodPost)
	e.router.HandleFunc("/control", e.serveControl).Methods(http.MethodPost)
	e.router.HandleFunc("/stats", e.serveStats).Methods(http.MethodGet)
}

// resetIfDown wraps a handler. It resets the connection while the engine is
// down after a crash.
func (e *Engine) resetIfDown(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		down := time.Now().Before(e.state.downUntil)
		e.mu.Unlock()
		if down {
			resetConnection(w)
			return
		}
		f(w, r)
	}
}

type healthReport struct {
	Status   string `json:"status"`
	Instance string `json:"instance"`
	// Loaded is the model of the last load order.
	Loaded *string `json:"loaded,omitempty"`
}

func (e *Engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	h := healthReport{Status: "ok", Instance: e.instance(), Loaded: e.state.loaded}
	switch {
	case time.Now().Before(e.state.readyAt):
		h.Status = "loading"
	case e.state.draining:
		h.Status = "draining"
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, h)
}

func (e *Engine) instance() string { return fmt.Sprintf("%s-%d", e.Name, e.state.generation) }

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := e.load.at(time.Now())
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, l)
}

type engineOrder struct {
	Order   string `json:"order"`
	Fencing uint64 `json:"fencing"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o engineOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	old := o.Fencing < e.state.fencing
	if old && e.ChecksFencing {
		e.stats.OrdersRefused++
	} else {
		e.state.fencing = max(e.state.fencing, o.Fencing)
		e.stats.Orders = append(e.stats.Orders, o.Order)
		e.applyOrder(o.Order)
	}
	e.mu.Unlock()
	if old && e.ChecksFencing {
		writeError(w, http.StatusConflict, "a higher fencing number was seen")
		return
	}
	writeJSON(w, http.StatusOK, o)
}

// applyOrder loads the model that a load order names, which makes the engine
// cold if ColdSlots is set. It ignores other orders and orders to load the model
// that is already loaded.
func (e *Engine) applyOrder(order string) {
	load, ok := strings.CutPrefix(order, loadOrderPrefix)
	if !ok || e.state.loaded != nil && *e.state.loaded == load {
		return
	}
	e.state.loaded = &load
	e.state.cold, e.state.completedCold = e.ColdSlots > 0, 0
}

func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Stats())
}

// Stats returns the counters and the current state.
func (e *Engine) Stats() EngineStats {
	e.once.Do(e.init)
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Instance, s.Cold, s.Running, s.Fencing = e.instance(), e.state.cold, e.state.running, e.state.fencing
	s.Orders = append([]string{}, s.Orders...)
	return s
}
