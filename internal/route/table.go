// Package route holds the routing table of gateways that send requests to
// upstreams directly: which service answers a host and path, for which client
// account, within which time, and what may be repeated. It does no I/O.
//
// # Usage
//
//	t := &route.Table{Version: 7, Routes: routes, Services: services}
//	t.Index()
//	r, ok := t.Match("maps.example", "/season/2026")
//	account, ok := t.AccountOf(key)
package route

import (
	"slices"
	"strings"
	"time"
)

// Named ids and units of the table.
type (
	// Version numbers a table; it only grows.
	Version int64
	// ServiceName names a service that upstreams belong to.
	ServiceName string
	// AccountName names a client account.
	AccountName string
	// Priority ranks requests; 0 goes first.
	Priority int
)

// RetryPolicy says what may be done again with a request that may have run.
type RetryPolicy int

// Kinds of repeats.
const (
	// RetryNever: the request may run once at most.
	RetryNever RetryPolicy = iota
	// RetryFromStart: the request may run again from its start.
	RetryFromStart
	// RetryResume: a stream may go on at another upstream after the last whole event.
	RetryResume
)

// WeightedService is a service that gets a part of a route's requests.
type WeightedService struct {
	Service ServiceName
	// Weight is the part, against the sum of the route's weights.
	Weight int
}

// Route says how the requests of a host and path prefix are served.
type Route struct {
	Name         string
	Host         string
	Prefix       string
	TrafficSplit []WeightedService
	RetryPolicy  RetryPolicy
	// Streamed says that the answer is a stream of events.
	Streamed bool
	// Timeout is the longest time from a request's arrival to its final answer;
	// zero for none.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event, that
	// still earns the full credit.
	Objective time.Duration
	// GapObjective is the longest pause between events of a stream on time.
	GapObjective time.Duration
	Priority     Priority
	// MaxAttempts is the most upstreams that one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
}

// Engine is what is published of the model engines of a service.
type Engine struct {
	// BatchSize is the number of requests that run at once.
	BatchSize int
	// MemoryTokens bounds the tokens of running requests and cached prompt parts.
	MemoryTokens int
	// TokenBytes is the memory of a token, and LinkBitsPerSecond the bits a second at which
	// engines fetch memory from each other; zero where they cannot.
	TokenBytes, LinkBitsPerSecond float64
}

// CanFetch says that an engine can fetch the memory of prompt parts from another.
func (e *Engine) CanFetch() bool { return e.TokenBytes > 0 && e.LinkBitsPerSecond > 0 }

// FetchTime is how long the memory of some tokens is under way.
func (e *Engine) FetchTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * e.TokenBytes * 8 / e.LinkBitsPerSecond * float64(time.Second))
}

// Service is a group of upstreams that serve the same.
type Service struct {
	Name ServiceName
	// MaxConnections is the most connections an upstream accepts from all callers.
	MaxConnections int
	// ColdStart is how long an upstream stays cold after its start.
	ColdStart time.Duration
	// ColdRate is the number of requests a second that a cold upstream bears.
	ColdRate float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Account is a client account.
type Account struct {
	Name AccountName
	Keys []string
	// Priority takes precedence over the route's; nil for none.
	Priority *Priority
}

// Limits bound what a caller may send.
type Limits struct {
	// BodyBytes is the largest size of a request's body.
	BodyBytes int64
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
}

// Index prepares the table for look-ups. Call it once, before use.
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
		// The longest prefix is found first.
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
}

// Match gives the route of a host, with or without its port, and a path: the
// one with the longest prefix.
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

// AccountByKey gives the client account that holds a key.
func (t *Table) AccountByKey(key string) (*Account, bool) {
	a, ok := t.byKey[key]
	return a, ok
}

// ServiceByName gives a service by its name.
func (t *Table) ServiceByName(n ServiceName) (*Service, bool) {
	s, ok := t.byService[n]
	return s, ok
}

// PickService gives the service of a request by the route's weights; draw is a number
// of the request, the same for the same request.
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

// PriorityFor gives the rank of a request of this route by an account, which
// may be nil.
func (r *Route) PriorityFor(a *Account) Priority {
	if a != nil && a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}
