package direct

import (
	"context"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jasminewing.dev/jasminewing/internal/catalog"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/memory"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/upstream"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

// Catalog provides the current view of routing table and upstreams.
type Catalog interface {
	View() *route.View
	Stats() catalog.Stats
}

// Suspects tracks requests, and parts of prompts, that are suspected of crashing upstreams.
// The offers that it takes name a request by its fingerprint and its traits.
type Suspects interface {
	// Check returns how a request may run, or an error if it is held back.
	Check(now time.Time, o *wire.Offer) (suspect.Verdict, error)
	// MayRun reports whether a request may still run as it was placed.
	MayRun(now time.Time, o *wire.Offer) bool
	// Died records the requests that were in flight when an upstream died.
	Died(now time.Time, instance fleet.Incarnation, inFlight []*wire.Offer)
	// CompletedAt records that an upstream gave a request a complete answer.
	CompletedAt(now time.Time, instance fleet.Incarnation, o *wire.Offer)
	// Refused records that an upstream refuses connections.
	Refused(now time.Time, instance fleet.Incarnation)
	// Answered records that an upstream completed an answer to a request that was sent
	// to it at a time.
	Answered(now time.Time, instance fleet.Incarnation, sent time.Time)
	// Stats returns the number of parts that are held back or on probation.
	Stats(now time.Time) suspect.Stats
}

// Gateway is an HTTP handler that serves callers. Set its exported fields before
// calling Init.
type Gateway struct {
	Callers   CallerProtocol
	Upstreams UpstreamProtocol
	Catalog   Catalog
	Scheduler *placement.Scheduler
	Suspects  Suspects
	Log       *event.Log
	// Memory is what requests and answers may hold; without a limit if it is nil.
	Memory *memory.Budget

	stop     stopState
	inFlight inFlight
	// openUpstreams is the number of open connections to upstreams.
	openUpstreams atomic.Int64
	metrics       metricSet

	// loggedView is the last view whose changes were logged. Only ApplyView
	// accesses it.
	loggedView *route.View

	mu    sync.Mutex
	pools map[route.Incarnation]*upstream.Pool
}

// Init prepares the gateway for use.
func (g *Gateway) Init() {
	g.stop.init()
	if g.Memory == nil {
		g.Memory = memory.New(math.MaxInt64 / 2)
	}
	g.Memory.OnChange = g.logMemory
	g.pools = make(map[route.Incarnation]*upstream.Pool)
	g.loggedView = &route.View{}
	g.metrics.init(g)
}

// Ready reports whether the gateway accepts callers' requests.
func (g *Gateway) Ready() bool { return !g.stop.draining.Load() && g.Catalog.View().Table != nil }

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int { return g.inFlight.count() }

// OpenUpstreams returns the number of open connections to upstreams.
func (g *Gateway) OpenUpstreams() int { return int(g.openUpstreams.Load()) }

// CountRefusal counts an error response in the refusals metric. It is exported
// for input that is refused before it becomes a request.
func (g *Gateway) CountRefusal(c result.Code) { g.metrics.refusal(c).Inc() }

// WriteMetrics writes the gateway's metrics in the Prometheus text format.
func (g *Gateway) WriteMetrics(w io.Writer) {
	g.metrics.updateShares(g.Scheduler.CrossingShares())
	g.metrics.updateCatalog(g.Catalog.View(), g.Catalog.Stats())
	g.metrics.set.WritePrometheus(w)
}

// ApplyView applies a newly published view: it informs placement, logs the
// changes, and closes the connection pools of removed upstreams. It must not be
// called concurrently.
func (g *Gateway) ApplyView(v *route.View) {
	g.Scheduler.Tell(placement.ViewUpdate{View: v})
	g.logViewChanges(g.loggedView, v)
	g.loggedView = v
	present := make(map[route.Incarnation]bool, len(v.Upstreams))
	for _, u := range v.Upstreams {
		present[u.Incarnation()] = true
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

// poolOf returns the connection pool of an upstream, creating it if needed.
func (g *Gateway) poolOf(u route.Upstream) *upstream.Pool {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := u.Incarnation()
	p := g.pools[k]
	if p == nil {
		p = &upstream.Pool{
			Address:   u.Address,
			OnConnect: func() { g.openUpstreams.Add(1); g.metrics.connections.Inc() },
			OnClose:   func() { g.openUpstreams.Add(-1) },
		}
		g.pools[k] = p
	}
	return p
}

// closeInterval is how often connections to upstreams are closed that have been idle for too
// long.
const closeInterval = time.Second

// Run closes connections to upstreams that have been idle for too long, until ctx is done. It
// always returns nil.
func (g *Gateway) Run(ctx context.Context) error {
	t := time.NewTicker(closeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			g.mu.Lock()
			pools := slices.Collect(maps.Values(g.pools))
			g.mu.Unlock()
			for _, p := range pools {
				p.CloseExpired(now)
			}
		}
	}
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p := &proxiedRequest{gateway: g, w: w, chunksSupported: r.ProtoAtLeast(1, 1), receivedAt: time.Now()}
	g.inFlight.add(p)
	defer g.inFlight.remove(p)
	defer p.releaseMemory()
	defer p.answerPanic()
	p.serve(r)
}
