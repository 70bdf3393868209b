package standin

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
	"jasminewing.dev/jasminewing/pkg/table"
)

// maxWait is the maximum time that a watch may wait.
const maxWait = time.Minute

// Config is the platform's configuration service. It holds values with
// revisions, which can be read and watched. Service returns the read-only
// handler for the processes of the fleet, Control the handler for operators.
type Config struct {
	// CallsPerSecond is the rate limit of the service. Zero means no limit. A
	// waiting watch counts as one call.
	CallsPerSecond float64
	// Burst is the maximum number of calls at once. Zero allows the calls of
	// one second.
	Burst int

	once    sync.Once
	limiter *rate.Limiter

	mu      sync.Mutex
	current configData
	// stale is the data that is served instead of current. It is nil unless
	// the service serves stale data.
	stale *configData
	// saved is the snapshot taken by SaveSnapshot.
	saved   configData
	down    bool
	changed chan struct{}
	calls   ConfigCalls
}

// configData is a set of values at one revision.
type configData struct {
	era      table.Era
	revision table.Revision
	values   map[string]configValue
}

type configValue struct {
	revision table.Revision
	data     []byte
}

// ConfigCalls counts the calls to the service.
type ConfigCalls struct {
	Watches int `json:"watches"`
	Reads   int `json:"reads"`
	// Limited counts the calls over the rate limit, Lost the calls that
	// arrived while the service was down.
	Limited int `json:"limited"`
	Lost    int `json:"lost"`
	// BytesSent is the total size of the values that were sent.
	BytesSent int `json:"bytes_sent"`
}

type watchAnswer struct {
	Revision table.Revision  `json:"revision"`
	Changed  []valueRevision `json:"changed"`
}

type valueRevision struct {
	Name     string         `json:"name"`
	Revision table.Revision `json:"revision"`
}

func (c *Config) init() {
	limit := rate.Inf
	if c.CallsPerSecond > 0 {
		limit = rate.Limit(c.CallsPerSecond)
	}
	if c.Burst == 0 {
		c.Burst = max(1, int(c.CallsPerSecond))
	}
	c.limiter = rate.NewLimiter(limit, c.Burst)
	c.current.values = map[string]configValue{}
	c.changed = make(chan struct{})
}

// Service returns the handler for the processes of the fleet: GET /v1/watch
// and GET /v1/values/NAME.
func (c *Config) Service() http.Handler {
	c.once.Do(c.init)
	r := mux.NewRouter()
	r.HandleFunc("/v1/watch", c.withLimits(c.watch)).Methods(http.MethodGet)
	r.HandleFunc("/v1/values/{name}", c.withLimits(c.read)).Methods(http.MethodGet)
	return r
}

// Control returns the handler for operators: PUT /v1/values/NAME, GET
// /v1/calls and POST /v1/state/{up,down,stale,fresh}.
func (c *Config) Control() http.Handler {
	c.once.Do(c.init)
	r := mux.NewRouter()
	r.HandleFunc("/v1/values/{name}", c.put).Methods(http.MethodPut)
	r.HandleFunc("/v1/calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, c.Calls())
	}).Methods(http.MethodGet)
	r.HandleFunc("/v1/state/{state:up|down|stale|fresh}", c.setState).Methods(http.MethodPost)
	return r
}

// Set writes a value and returns its revision. If the data equals the current
// value, Set changes nothing and wakes no watch.
func (c *Config) Set(name string, data []byte) table.Revision {
	c.once.Do(c.init)
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := c.current.values[name]; ok && bytes.Equal(v.data, data) {
		return v.revision
	}
	c.current.revision++
	c.current.values[name] = configValue{c.current.revision, bytes.Clone(data)}
	c.notifyWatchers()
	return c.current.revision
}

// SetDown makes the service reset every connection, including those of waiting
// watches.
func (c *Config) SetDown(down bool) {
	c.once.Do(c.init)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
	c.notifyWatchers()
}

// SetStale makes the service serve a snapshot of its current data until
// SetStale is called with false.
func (c *Config) SetStale(stale bool) {
	c.once.Do(c.init)
	c.mu.Lock()
	defer c.mu.Unlock()
	if stale == (c.stale != nil) {
		return
	}
	c.stale = nil
	if stale {
		c.stale = &configData{c.current.era, c.current.revision, maps.Clone(c.current.values)}
	}
	c.notifyWatchers()
}

// SaveSnapshot saves a snapshot of the current data for ServeSnapshot.
func (c *Config) SaveSnapshot() {
	c.once.Do(c.init)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.saved = configData{c.current.era, c.current.revision, maps.Clone(c.current.values)}
}

// ServeSnapshot makes the service go back to the data of the last SaveSnapshot
// until SetStale is called with false.
func (c *Config) ServeSnapshot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	saved := c.saved
	c.stale = &saved
	c.notifyWatchers()
}

// Restore makes the service lose what was written after the last SaveSnapshot. It
// continues from there in a new era.
func (c *Config) Restore() {
	c.once.Do(c.init)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = configData{c.current.era + 1, c.saved.revision, maps.Clone(c.saved.values)}
	c.stale = nil
	c.notifyWatchers()
}

// Calls returns the counters.
func (c *Config) Calls() ConfigCalls {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// notifyWatchers makes every waiting watch check for changes. The caller holds
// mu.
func (c *Config) notifyWatchers() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// servedData returns the data that the service currently serves. The caller
// holds mu.
func (c *Config) servedData() configData {
	if c.stale != nil {
		return *c.stale
	}
	return c.current
}

// withLimits wraps a handler. It resets connections while the service is down
// and answers calls over the rate limit with status 429.
func (c *Config) withLimits(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		down := c.down
		allowed := down || c.limiter.Allow()
		if down {
			c.calls.Lost++
		} else if !allowed {
			c.calls.Limited++
		}
		c.mu.Unlock()
		switch {
		case down:
			resetConnection(w)
		case !allowed:
			w.Header().Set("Retry-After", "1")
			writeError(w, http.StatusTooManyRequests, "over the rate limit")
		default:
			f(w, r)
		}
	}
}

func (c *Config) watch(w http.ResponseWriter, r *http.Request) {
	after, wait, err := watchQuery(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	asked, err := eraQuery(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	c.mu.Lock()
	c.calls.Watches++
	c.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	timedOut := false
	for {
		answer, era, changed, down := c.changesAfter(asked, table.Revision(after))
		switch {
		case down:
			resetConnection(w)
			return
		case timedOut || len(answer.Changed) > 0:
			setEra(w, era)
			writeJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			closeConnection(w)
			return
		}
	}
}

// changesAfter returns the values that changed after a revision of an era, the era
// of the answer, a channel that is closed on the next change, and whether the
// service is down.
func (c *Config) changesAfter(asked table.Era, after table.Revision) (answer watchAnswer, era table.Era, changed <-chan struct{}, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servedData()
	answer = watchAnswer{Revision: s.revision, Changed: []valueRevision{}}
	for name, v := range s.values {
		if v.revision > after || asked != s.era {
			answer.Changed = append(answer.Changed, valueRevision{name, v.revision})
		}
	}
	slices.SortFunc(answer.Changed, func(a, b valueRevision) int { return strings.Compare(a.Name, b.Name) })
	return answer, s.era, c.changed, c.down
}

func (c *Config) read(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	s := c.servedData()
	v, ok := s.values[mux.Vars(r)["name"]]
	c.calls.Reads++
	c.calls.BytesSent += len(v.data)
	c.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "no such value")
		return
	}
	setEra(w, s.era)
	w.Header().Set("Content-Type", "text/csv")
	w.Header().Set("Content-Length", strconv.Itoa(len(v.data)))
	w.Header().Set("Revision", strconv.FormatUint(uint64(v.revision), 10))
	_, _ = w.Write(v.data)
}

func (c *Config) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	name := mux.Vars(r)["name"]
	writeJSON(w, http.StatusOK, valueRevision{name, c.Set(name, data)})
}

func (c *Config) setState(w http.ResponseWriter, r *http.Request) {
	switch s := mux.Vars(r)["state"]; s {
	case "up", "down":
		c.SetDown(s == "down")
	default:
		c.SetStale(s == "stale")
	}
	writeJSON(w, http.StatusOK, c.Calls())
}

// setEra sets the header that tells the era of the service. The first era has none.
func setEra(w http.ResponseWriter, e table.Era) {
	if e > 0 {
		w.Header().Set("Era", strconv.FormatUint(uint64(e), 10))
	}
}

// eraQuery returns the era of the revision that a call asks about.
func eraQuery(r *http.Request) (table.Era, error) {
	s := r.URL.Query().Get("era")
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	return table.Era(n), err
}
