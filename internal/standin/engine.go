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

// CrashText in a request's body crashes the engine that takes it.
const CrashText = "crash-this-engine"

// Defaults of an Engine.
const (
	defaultSlots       = 8
	defaultLeastTokens = 8
	defaultMostTokens  = 64
)

// loadOrderPrefix begins an order to load; what to load follows.
const loadOrderPrefix = "load "

// Engine is a model engine that batches continuously. Its fields are set before
// use. Times of zero are no time at all.
type Engine struct {
	// Name is a part of the instance id.
	Name string
	// Slots is how many requests run at full speed; with more, all get slower.
	Slots int
	// FirstToken is the time to the first token, TokenGap that between tokens.
	FirstToken, TokenGap time.Duration
	// LeastTokens and MostTokens bound the answers to requests that name no
	// max_tokens.
	LeastTokens, MostTokens int
	// ColdSlots is how many requests a cold engine bears; with one more it falls
	// over. Zero for an engine that is never cold.
	ColdSlots int
	// ColdFactor multiplies the times of a cold engine; zero for one.
	ColdFactor float64
	// WarmAfter is how many completions warm it.
	WarmAfter int
	// RestartAfter is how long a crashed engine resets every connection, and
	// LoadingTime how long it then says that it loads.
	RestartAfter, LoadingTime time.Duration
	// LoadReportLag is the age of the load report.
	LoadReportLag time.Duration
	// ChecksFencing makes it refuse orders with an old number.
	ChecksFencing bool

	once   sync.Once
	router *mux.Router

	mu    sync.Mutex
	state engineState
	load  lagged[loadReport]
	stats EngineStats
}

// engineState is what a restart or the control changes.
type engineState struct {
	generation    int
	cold          bool
	completedCold int
	running       int
	draining      bool
	slowFactor    float64
	downUntil     time.Time
	readyAt       time.Time
	batch         *batch
	fencing       uint64
	// loaded is nil until an order to load was taken.
	loaded *string
}

// batch is what runs together until all of it is ended.
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

// EngineStats is the answer of GET /stats.
type EngineStats struct {
	Instance string `json:"instance"`
	Cold     bool   `json:"cold"`
	Running  int    `json:"running"`
	// MostRunning and MostRunningCold are the highest numbers at one time.
	MostRunning     int `json:"most_running"`
	MostRunningCold int `json:"most_running_cold"`
	Started         int `json:"started"`
	Completed       int `json:"completed"`
	Cancelled       int `json:"cancelled"`
	Refused         int `json:"refused"`
	Resumed         int `json:"resumed"`
	Crashes         int `json:"crashes"`
	// ColdOverloads are the crashes for too much work while cold.
	ColdOverloads int `json:"cold_falls"`
	// Tokens were generated; Wasted are those of answers that did not end whole.
	Tokens int `json:"tokens"`
	Wasted int `json:"wasted"`
	// Orders were taken, with the highest fencing number.
	Orders        []string `json:"orders"`
	OrdersRefused int      `json:"orders_refused"`
	Fencing       uint64   `json:"fencing"`
}

// ServeHTTP serves the published shape, with /control and /stats.
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

// resetIfDown resets the connection of a crashed engine.
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
	// Loaded is what the last order loaded.
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

// applyOrder loads what an order says. The engine is cold after it.
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

// Stats gives the counts so far.
func (e *Engine) Stats() EngineStats {
	e.once.Do(e.init)
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Instance, s.Cold, s.Running, s.Fencing = e.instance(), e.state.cold, e.state.running, e.state.fencing
	s.Orders = append([]string{}, s.Orders...)
	return s
}
