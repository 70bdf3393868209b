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

// maxWait bounds how long a watch may wait.
const maxWait = time.Minute

// Config is the platform's configuration service: values with revisions, to be
// read and watched. Service serves processes and takes no writes; Control is
// for the operators' side.
type Config struct {
	// CallsPerSecond is the service's rate limit; zero for none. A waiting watch
	// counts as one call.
	CallsPerSecond float64
	// Burst is the most calls at once; zero for a second's worth.
	Burst int

	once    sync.Once
	limiter *rate.Limiter

	mu      sync.Mutex
	current configData
	// stale is the copy that is served while the service is stale.
	stale   *configData
	saved   configData
	down    bool
	changed chan struct{}
	calls   ConfigCalls
}

type configData struct {
	revision table.Revision
	values   map[string]configValue
}

type configValue struct {
	revision table.Revision
	data     []byte
}

// ConfigCalls counts calls on the service.
type ConfigCalls struct {
	Watches int `json:"watches"`
	Reads   int `json:"reads"`
	// Limited were over the rate limit, Lost came while the service was down.
	Limited int `json:"limited"`
	Lost    int `json:"lost"`
	// BytesSent are those of values.
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

// Service gives the handler for processes: GET /v1/watch and /v1/values/NAME.
func (c *Config) Service() http.Handler {
	c.once.Do(c.init)
	r := mux.NewRouter()
	r.HandleFunc("/v1/watch", c.withLimits(c.watch)).Methods(http.MethodGet)
	r.HandleFunc("/v1/values/{name}", c.withLimits(c.read)).Methods(http.MethodGet)
	return r
}

// Control gives the handler for the operators' side: PUT /v1/values/NAME, GET
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

// Set writes a value and gives its revision. The same data again changes nothing.
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

// SetDown makes the service reset every connection, also those that wait.
func (c *Config) SetDown(down bool) {
	c.once.Do(c.init)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
	c.notifyWatchers()
}

// SetStale makes the service serve the copy of now until it is set fresh.
func (c *Config) SetStale(stale bool) {
	c.once.Do(c.init)
	c.mu.Lock()
	defer c.mu.Unlock()
	if stale == (c.stale != nil) {
		return
	}
	c.stale = nil
	if stale {
		c.stale = &configData{c.current.revision, maps.Clone(c.current.values)}
	}
	c.notifyWatchers()
}

// SaveSnapshot remembers the copy of now for ServeKept.
func (c *Config) SaveSnapshot() {
	c.once.Do(c.init)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.saved = configData{c.current.revision, maps.Clone(c.current.values)}
}

// ServeSnapshot makes the service go back to the copy of Keep until it is set
// fresh.
func (c *Config) ServeSnapshot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	saved := c.saved
	c.stale = &saved
	c.notifyWatchers()
}

// Calls gives the counts so far.
func (c *Config) Calls() ConfigCalls {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

// notifyWatchers lets every waiting watch look again.
func (c *Config) notifyWatchers() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Config) servedData() configData {
	if c.stale != nil {
		return *c.stale
	}
	return c.current
}

// withLimits resets connections while down and refuses calls over the limit.
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
	c.mu.Lock()
	c.calls.Watches++
	c.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	timedOut := false
	for {
		answer, changed, down := c.changesAfter(table.Revision(after))
		switch {
		case down:
			resetConnection(w)
			return
		case timedOut || len(answer.Changed) > 0:
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

// changesAfter gives the answer of now, and what tells of the next change.
func (c *Config) changesAfter(after table.Revision) (answer watchAnswer, changed <-chan struct{}, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servedData()
	answer = watchAnswer{Revision: s.revision, Changed: []valueRevision{}}
	for name, v := range s.values {
		if v.revision > after {
			answer.Changed = append(answer.Changed, valueRevision{name, v.revision})
		}
	}
	slices.SortFunc(answer.Changed, func(a, b valueRevision) int { return strings.Compare(a.Name, b.Name) })
	return answer, c.changed, c.down
}

func (c *Config) read(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	v, ok := c.servedData().values[mux.Vars(r)["name"]]
	c.calls.Reads++
	c.calls.BytesSent += len(v.data)
	c.mu.Unlock()
	if !ok {
		writeError(w, http.StatusNotFound, "no such value")
		return
	}
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
