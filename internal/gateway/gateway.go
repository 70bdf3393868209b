// Package gateway is the process that takes callers' requests. It holds each
// request until its whole answer is out, offers it to sidecars and tries it
// again where that is allowed; the dispatch core decides, this package puts
// sockets and tasks round it.
//
// # Usage
//
//	g := &gateway.Gateway{Name: "gw_1", Fleet: f, Dialer: d, ...}
//	g.Init()
//	go g.Run(ctx)
//	server := &http.Server{Handler: g.Handler()}
package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcpool"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Fleet is what the gateway needs of the fleet's view.
type Fleet interface {
	View() *fleet.View
	Changed() <-chan struct{}
	Behind(r table.Revision, v fleet.ListVersion, from fleet.Address)
	// Renew waits, after a pause of this process, until it has heard from
	// somebody; it is cheap when there was none.
	Renew(ctx context.Context) error
}

// Dialer gives connections to sidecars.
type Dialer interface {
	To(address string) drpcpool.Conn
}

// Quota holds client accounts to their limits.
type Quota interface {
	// Take gives result.OK, or the code of the limit that is reached and how
	// long to wait.
	Take(now time.Time, a table.Account, estimate table.Tokens) (result.Code, time.Duration)
	// Done ends what Take admitted, with the tokens that were really used.
	Done(now time.Time, a table.Account, estimate, used table.Tokens)
	// Joined says that the limits' shares are settled with other gateways.
	Joined() bool
}

// Suspects knows requests that are suspected of ending upstreams.
type Suspects interface {
	// Judge says whether a request is suspected, or gives an error if it is
	// held back.
	Judge(now time.Time, o *wire.Offer) (suspected bool, err error)
	// Place gives the one sidecar that may run a suspect.
	Place(o *wire.Offer, vms []fleet.VM) (fleet.VM, bool)
	// Died tells of a request whose run met the death of an upstream.
	Died(now time.Time, instance fleet.Incarnation, inFlight []*wire.Offer)
	// Clean tells of a suspect that ran to its whole answer.
	Clean(now time.Time, o *wire.Offer)
}

// Gateway is one run of the process. Its exported fields are set before Init.
type Gateway struct {
	Name      fleet.VMName
	Fleet     Fleet
	Dialer    Dialer
	Quota     Quota
	Suspects  Suspects
	Log       *event.Log
	MaxBody   int64
	MaxAnswer int64
	// MaxWaiting is how many requests may wait for a grant.
	MaxWaiting int
	// RetryShare is how many retries a request earns.
	RetryShare float64
	// MinSubset is the least number of sidecars of a service that it speaks to.
	MinSubset int
	// Seed fixes choices between equals.
	Seed uint64

	pool    dispatch.Pool
	queue   dispatch.Queue
	budget  dispatch.Budget
	metrics metricSet
	traces  traces
	// attainments and usages are for operators.
	attainments attainments
	usages      usages
	inFlight    atomic.Int64
	draining    atomic.Bool
	ids         requestIDs
}

// Init makes the gateway ready to serve.
func (g *Gateway) Init() {
	g.pool.Seed = g.Seed
	g.queue.Max = g.MaxWaiting
	g.budget.Share = g.RetryShare
	g.metrics.init(g)
	g.ids.init()
}

// Run follows the fleet and its sidecars until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	m := &memberWatcher{gateway: g}
	group.Go(func() error { return m.Run(ctx) })
	return group.Wait()
}

// Ready gives result.OK if the balancer may send requests.
func (g *Gateway) Ready() result.Code {
	if g.draining.Load() {
		return result.Stopping
	}
	if v := g.Fleet.View(); !v.Ready || v.Table == nil {
		return result.NotReady
	}
	if !g.Quota.Joined() {
		return result.NotReady
	}
	return result.OK
}

// Drain makes readiness fail; the listener stays open for late arrivals.
func (g *Gateway) Drain() { g.draining.Store(true) }

// InFlight gives how many requests have no whole answer yet.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// Members gives the sidecars as this gateway sees them.
func (g *Gateway) Members() []dispatch.Member { return g.pool.Members() }

// Waiting gives how many requests wait for a grant.
func (g *Gateway) Waiting() int { return g.queue.Waiting() }
