package direct

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/upstream"
	"jasminewing.dev/jasminewing/pkg/result"
)

// Catalog gives what is published.
type Catalog interface{ View() *route.View }

// Suspects judges requests that upstreams ended under.
type Suspects interface {
	// Refused says that a request is not to be sent any more.
	Refused(now time.Time, f suspect.Fingerprint) bool
	// Died tells that an upstream ended while it ran a request.
	Died(now time.Time, u route.UpstreamID, f suspect.Fingerprint)
}

// Gateway serves callers. Its exported fields are set before Init.
type Gateway struct {
	Callers   CallerProtocol
	Upstreams UpstreamProtocol
	Catalog   Catalog
	Desk      *placement.Desk
	Suspects  Suspects
	Log       *event.Log

	draining atomic.Bool
	// refusingNew says that new requests are refused: the balancer sends none any
	// more, and the time to stop would not do for their answers.
	refusingNew atomic.Bool
	inFlight    atomic.Int64
	metrics     metricSet

	// loggedView is the view of which the log tells; Published alone uses it.
	loggedView *route.View

	mu    sync.Mutex
	pools map[poolKey]*upstream.Pool
}

// poolKey names one incarnation of an upstream.
type poolKey struct {
	id      route.UpstreamID
	address string
	born    int64
}

// Init prepares the gateway for use.
func (g *Gateway) Init() {
	g.pools = make(map[poolKey]*upstream.Pool)
	g.loggedView = &route.View{}
	g.metrics.init(g)
}

// Ready says that the gateway takes callers' requests.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.Catalog.View().Table != nil }

// Drain makes readiness fail and asks callers to close their connections.
func (g *Gateway) Drain() { g.draining.Store(true) }

// RefuseNew makes the gateway refuse requests that come from now on.
func (g *Gateway) RefuseNew() { g.refusingNew.Store(true) }

// InFlight gives the number of requests being served.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// CountRefusal counts what was refused before it became a request.
func (g *Gateway) CountRefusal(c result.Code) { g.metrics.refusal(c).Inc() }

// WriteMetrics writes the gateway's metrics as text.
func (g *Gateway) WriteMetrics(w io.Writer) { g.metrics.set.WritePrometheus(w) }

// ApplyView takes over a view: upstreams that are gone lose their connections. It
// is called for one view at a time.
func (g *Gateway) ApplyView(v *route.View) {
	g.Desk.Tell(placement.Published{View: v})
	g.logViewChanges(g.loggedView, v)
	g.loggedView = v
	present := make(map[poolKey]bool, len(v.Upstreams))
	for _, u := range v.Upstreams {
		present[keyOf(u)] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for k, p := range g.pools {
		if !present[k] {
			p.Close()
			delete(g.pools, k)
		}
	}
}

func keyOf(u route.Upstream) poolKey { return poolKey{u.ID, u.Address, u.Born} }

// poolOf gives the connections to an upstream.
func (g *Gateway) poolOf(u route.Upstream) *upstream.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := keyOf(u)
	p := g.pools[k]
	if p == nil {
		p = &upstream.Pool{Address: u.Address, OnConnect: g.metrics.connections.Inc}
		g.pools[k] = p
	}
	return p
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	p := &proxiedRequest{gateway: g, w: w, receivedAt: time.Now()}
	p.serve(r)
}

// drainPollInterval is how often a draining gateway looks whether all has ended.
const drainPollInterval = 50 * time.Millisecond

// WaitIdle waits until nothing has been in flight for a quiet time, or ctx ends.
func (g *Gateway) WaitIdle(ctx context.Context, quiet time.Duration) {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	lastBusy := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			if g.InFlight() > 0 {
				lastBusy = now
			} else if now.Sub(lastBusy) >= quiet {
				return
			}
		}
	}
}
