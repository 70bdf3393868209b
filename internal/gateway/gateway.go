// Package gateway handles the requests of callers. It keeps each request until
// its answer has been sent completely, offers it to sidecars and retries it
// where that is allowed. The dispatch package makes the decisions as a state
// machine; this package adds the network connections and goroutines.
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
	"math"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcpool"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/memory"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Fleet is the part of the fleet view that the gateway uses.
type Fleet interface {
	View() *fleet.View
	Changed() <-chan struct{}
	// ObserveVersions reports the versions that a message from a peer contained, so
	// that newer ones are pulled from it.
	ObserveVersions(r table.Revision, v fleet.ListVersion, from fleet.Address)
	// Renew waits, after this process was paused, until it has heard from
	// another process, and returns an error if that takes too long. It is cheap
	// if there was no pause.
	Renew(ctx context.Context) error
}

// Dialer returns connections to sidecars.
type Dialer interface {
	To(address string) drpcpool.Conn
}

// Quota enforces the limits of client accounts.
type Quota interface {
	// Take admits a request and returns result.OK, or returns the code of the
	// limit that is reached and how long to wait.
	Take(now time.Time, a table.Account, estimate table.Tokens) (result.Code, time.Duration)
	// Done ends a request that Take admitted and reports the tokens that it
	// used.
	Done(now time.Time, a table.Account, estimate, used table.Tokens)
	// Joined reports whether this gateway has joined the gateways among which
	// the limits are divided. Until then Take refuses requests of accounts that
	// have limits.
	Joined() bool
}

// Suspects tracks requests that are suspected of crashing upstreams.
type Suspects interface {
	// Check returns how a request may run. It returns an error if the request must
	// not run for now.
	Check(now time.Time, o *wire.Offer) (suspect.Verdict, error)
	// Place returns the only sidecar that may run the suspected request.
	Place(o *wire.Offer, vms []fleet.VM) (fleet.VM, bool)
	// Died records that the requests in inFlight were running when an upstream
	// died.
	Died(now time.Time, instance fleet.Incarnation, inFlight []*wire.Offer)
	// Completed records that a request ran to a complete answer.
	Completed(now time.Time, o *wire.Offer)
}

// Gateway is a gateway process. Its exported fields are set before Init.
type Gateway struct {
	Name      fleet.VMName
	Fleet     Fleet
	Dialer    Dialer
	Quota     Quota
	Suspects  Suspects
	Log       *event.Log
	MaxBody   int64
	MaxAnswer int64
	// Memory is what all answers may hold together. Nil means that it is not bounded.
	Memory *memory.Budget
	// MaxWaiting is the maximum number of requests that may wait for a grant.
	MaxWaiting int
	// RetryShare is the number of retries that each request adds to the retry
	// budget.
	RetryShare float64
	// MinSubset is the minimum number of sidecars per service to which this
	// gateway connects.
	MinSubset int
	// Seed seeds the random choice between sidecars of equal load.
	Seed uint64

	pool    dispatch.Pool
	queue   dispatch.Queue
	budget  dispatch.RetryBudget
	metrics metricSet
	traces  traces
	// attainments and usages serve the admin API.
	attainments attainments
	usages      usages
	inFlight    atomic.Int64
	draining    atomic.Bool
	ids         requestIDs
	// ending is done when requests that are not answered yet must end.
	ending context.Context
	end    context.CancelFunc
}

// Init prepares the gateway to serve requests.
func (g *Gateway) Init() {
	g.pool.Seed = g.Seed
	if g.Memory == nil {
		g.Memory = memory.New(math.MaxInt64 / 2)
	}
	g.queue.Max = g.MaxWaiting
	g.budget.Share = g.RetryShare
	g.metrics.init(g)
	g.ids.init()
	g.ending, g.end = context.WithCancel(context.Background())
}

// Run keeps the pool of sidecars up to date until ctx is cancelled.
func (g *Gateway) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	m := &memberWatcher{gateway: g}
	group.Go(func() error { return m.Run(ctx) })
	return group.Wait()
}

// Ready returns result.OK if the load balancer may send requests, or else the
// reason why not.
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

// Drain makes Ready return result.Stopping. The listener stays open for
// requests that still arrive.
func (g *Gateway) Drain() { g.draining.Store(true) }

// End ends the requests that are not answered, each with an error that says whether it may
// have run.
func (g *Gateway) End() { g.end() }

// InFlight returns the number of requests whose answer is not complete.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// Members returns this gateway's view of the sidecars.
func (g *Gateway) Members() []dispatch.Member { return g.pool.Members() }

// Waiting returns the number of requests that wait for a grant.
func (g *Gateway) Waiting() int { return g.queue.Waiting() }
