// Package route holds the routing table of gateways that send requests to
// upstreams directly. The table defines the client accounts, which service handles
// a host and path, the time limits and objectives, and which requests may be
// retried. The package does no I/O.
//
// # Usage
//
//	t := &route.Table{Version: 7, Routes: routes, Services: services}
//	t.Index()
//	r, ok := t.Match("maps.example", "/season/2026")
//	account, ok := t.AccountByKey(key)
package route

import (
	"slices"
	"strings"
	"time"
)

// Identifiers and units of the table.
type (
	// Version is the version number of a table. It only increases.
	Version int64
	// ServiceName is the name of a service that upstreams belong to.
	ServiceName string
	// AccountName is the name of a client account.
	AccountName string
	// Priority orders requests. 0 is the highest priority.
	Priority int
	// Rank orders requests by the priorities of account and route together. 0 is the
	// most urgent.
	Rank int
)

// RetryPolicy determines how a request that may have run can be retried.
type RetryPolicy int

// Retry policies.
const (
	// RetryNever means that the request may run at most once.
	RetryNever RetryPolicy = iota
	// RetryFromStart means that the request may run again from the start.
	RetryFromStart
	// RetryResume means that a stream may continue on another upstream after the
	// last complete event.
	RetryResume
)

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	Service ServiceName
	// Weight is the share of the service relative to the sum of the route's weights.
	Weight int
}

// Route determines how requests for a host and path prefix are served.
type Route struct {
	Name         string
	Host         string
	Prefix       string
	TrafficSplit []WeightedService
	RetryPolicy  RetryPolicy
	// Streamed is true if the response is a stream of events.
	Streamed bool
	// Timeout is the maximum time from a request's arrival to its final response,
	// or zero for no limit.
	Timeout time.Duration
	// Objective is the latency target: the longest time to the response, or to the
	// first event of a stream, that still earns full credit.
	Objective time.Duration
	// GapObjective is the longest pause between events of a stream that still
	// counts as on time.
	GapObjective time.Duration
	Priority     Priority
	// MaxAttempts is the maximum number of upstreams that one request may be sent
	// to.
	MaxAttempts int
	// Public is true for a route that requires no key.
	Public bool
}

// Engine is the published configuration of the model engines of a service.
type Engine struct {
	// BatchSize is the number of requests that an engine runs concurrently.
	BatchSize int
	// MemoryTokens is the maximum number of tokens of running requests and cached
	// prompt parts.
	MemoryTokens int
	// TokenBytes is the cache memory per token in bytes, and LinkBitsPerSecond the
	// bandwidth at which engines fetch cache memory from each other. Both are zero
	// if engines can't fetch.
	TokenBytes, LinkBitsPerSecond float64
}

// CanFetch reports whether an engine can fetch the cached memory of prompt parts
// from another engine.
func (e *Engine) CanFetch() bool { return e.TokenBytes > 0 && e.LinkBitsPerSecond > 0 }

// FetchTime returns the transfer time of the cached memory of the given number of
// tokens.
func (e *Engine) FetchTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * e.TokenBytes * 8 / e.LinkBitsPerSecond * float64(time.Second))
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name ServiceName
	// MaxConnections is the maximum number of connections that an upstream accepts
	// from all callers together.
	MaxConnections int
	// ColdStart is how long an upstream stays cold after it starts.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold upstream can handle.
	ColdRate float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Account is a client account.
type Account struct {
	Name AccountName
	Keys []string
	// Priority goes before the route's priority if it is not nil. The route's priority
	// then orders the requests of accounts with the same priority.
	Priority *Priority
}

// Limits restricts what a caller may send, and for how long a connection may wait for it.
// Defaults apply where a limit is zero.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of the head and of the body of a request
	// in bytes.
	HeaderBytes, BodyBytes int64
	// HeaderTimeout is the longest time that a head may take to arrive, and IdleTimeout how
	// long a connection may be idle.
	HeaderTimeout, IdleTimeout time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  Version
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	byHost    map[string][]*Route
	byKey     map[string]*Account
	byService map[ServiceName]*Service
	// urgencies are the urgencies of the requests in the table, in order.
	urgencies []urgency
}

// Index builds the lookup maps of the table. It must be called once before use.
func (t *Table) Index() {
	t.byHost = make(map[string][]*Route)
	t.byKey = make(map[string]*Account)
	t.byService = make(map[ServiceName]*Service)
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		// Sort by descending prefix length, so that Match finds the longest prefix
		// first.
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range t.Accounts {
		a := &t.Accounts[i]
		for _, key := range a.Keys {
			t.byKey[key] = a
		}
	}
	for i := range t.Services {
		t.byService[t.Services[i].Name] = &t.Services[i]
	}
	t.urgencies = t.collectUrgencies()
}

// Match returns the route with the longest prefix that matches the host, with or
// without a port, and the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// AccountByKey returns the client account that holds a key.
func (t *Table) AccountByKey(key string) (*Account, bool) {
	a, ok := t.byKey[key]
	return a, ok
}

// ServiceByName returns the service with the given name.
func (t *Table) ServiceByName(n ServiceName) (*Service, bool) {
	s, ok := t.byService[n]
	return s, ok
}

// PickService selects a service for a request according to the route's weights. The
// hash must be the same for all attempts of a request.
func (r *Route) PickService(hash uint64) ServiceName {
	total := 0
	for _, s := range r.TrafficSplit {
		total += s.Weight
	}
	if total <= 0 {
		if len(r.TrafficSplit) == 0 {
			return ""
		}
		return r.TrafficSplit[0].Service
	}
	left := int(hash % uint64(total))
	for _, s := range r.TrafficSplit {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}
