// Package sidecar implements the process that runs beside one upstream and
// through which all requests to it pass.
//
// The admission core decides which requests run; this package adds the network
// I/O and the goroutines. As every request passes through the sidecar, the limits
// of an upstream are enforced in a single place.
//
// # Usage
//
//	s := &sidecar.Sidecar{UpstreamName: "draft_a", Fleet: f, Upstream: client, ...}
//	s.Init()
//	err := s.Run(ctx, drain)
package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/internal/engine"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	healthInterval = 250 * time.Millisecond
	healthTimeout  = 2 * time.Second
	// maxHealthFailures is the number of consecutive failed health checks after
	// which the upstream counts as down.
	maxHealthFailures = 2
	// deathCheckTimeout bounds the health check that decides whether an upstream
	// that lost a request has crashed.
	deathCheckTimeout = 500 * time.Millisecond
	// maxSuspectVMs is the number of VMs that may run a suspect request. The second
	// may run it only while the first accepts no work.
	maxSuspectVMs = 2
	// drainGrace is how long a draining sidecar still answers offers that gateways
	// sent before they learned that it is leaving.
	drainGrace = 500 * time.Millisecond
)

// Fleet provides the view of the fleet and keeps it up to date.
type Fleet interface {
	View() *fleet.View
	Changed() <-chan struct{}
	// ObserveVersions reports the versions that a message from another process
	// contained. If they are newer than the view, they are pulled from the process
	// at the address from; nothing is pulled if from is empty.
	ObserveVersions(r table.Revision, v fleet.ListVersion, from fleet.Address)
	// Renew waits until a pause of this process has ended, which requires contact
	// with a peer. It returns an error if that takes too long, and is cheap if the
	// process is not paused.
	Renew(ctx context.Context) error
}

// Upstream runs requests and reports its health.
type Upstream interface {
	Do(ctx context.Context, r engine.Request, s engine.Sink) engine.Outcome
	Health(ctx context.Context) (engine.Health, error)
}

// Suspects tracks requests that are suspected of crashing upstreams.
type Suspects interface {
	// Check returns how a request may run. It returns an error if the request may not
	// run at present.
	Check(now time.Time, o *wire.Offer) (suspect.Verdict, error)
	// Place returns the only VM among vms that may run a suspect request, and false
	// if vms is empty.
	Place(o *wire.Offer, vms []fleet.VM) (fleet.VM, bool)
	// Died records the requests that were in flight when an instance of an upstream
	// crashed.
	Died(now time.Time, instance fleet.Incarnation, inFlight []*wire.Offer)
	// Completed records that a request ran to a complete answer.
	Completed(now time.Time, o *wire.Offer)
}

// Sidecar is one run of the process. The exported fields must be set before Init.
type Sidecar struct {
	UpstreamName table.UpstreamName
	VM           fleet.VMName
	Incarnation  fleet.Incarnation
	Fleet        Fleet
	Upstream     Upstream
	Keys         *Keys
	Orders       *Orders
	Suspects     Suspects
	Log          *event.Log
	MaxBody      int64
	MaxParked    int

	admitter admitter
	reports  reports
	running  runningAttempts
	metrics  metricSet
	attempts attemptGroup

	healthMu sync.Mutex
	health   engine.Health
	up       bool
	downAt   time.Time
	// upstreamSilent reports that the upstream answers no health checks.
	upstreamSilent atomic.Bool

	// ending is done, with errStopLimit, when running attempts must end.
	ending context.Context
	end    context.CancelCauseFunc
}

// Init prepares the sidecar to serve Work. It must be called before the listener
// accepts connections.
func (s *Sidecar) Init() {
	s.admitter.Core = admission.Core{MaxParked: s.MaxParked}
	s.admitter.PublishState = s.publishState
	s.admitter.StoreState = s.reports.store
	s.admitter.Renew = s.renewAfterPause
	s.admitter.init()
	s.metrics.init(s)
	s.Keys.Init()
	s.Orders.count, s.Orders.checkHealth = s.metrics.countOrder, s.checkHealthAfterOrder
	s.Orders.Init()
	s.ending, s.end = context.WithCancelCause(context.Background())
}

// End cancels the attempts that still run.
func (s *Sidecar) End() { s.end(errStopLimit) }

// Run runs the sidecar until ctx is done. When drain is closed, the sidecar
// accepts no new work, waits for running attempts to end, and Run returns.
func (s *Sidecar) Run(ctx context.Context, drain <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.admitter.Run(ctx) })
	g.Go(func() error { return s.watchFleet(ctx) })
	g.Go(func() error { return s.monitorHealth(ctx) })
	g.Go(func() error { return s.Keys.Run(ctx) })
	g.Go(func() error { return s.Orders.Run(ctx) })
	g.Go(func() error {
		defer cancel()
		s.awaitDrain(ctx, drain)
		return nil
	})
	return g.Wait()
}

func (s *Sidecar) awaitDrain(ctx context.Context, drain <-chan struct{}) {
	select {
	case <-ctx.Done():
		return
	case <-drain:
	}
	s.Log.Write(event.UpstreamLeaves, "upstream", s.UpstreamName, "reason", "stop_signal")
	s.admitter.notifyCore(admission.LeaveRequested{})
	s.Keys.Drain()
	s.Orders.Drain()
	grace := time.NewTimer(drainGrace)
	defer grace.Stop()
	select {
	case <-grace.C:
	case <-ctx.Done():
		return
	}
	s.attempts.wait(ctx)
}

// renewAfterPause retries until the view is renewed, because a process that
// reaches no peer cannot know what changed while it was paused.
func (s *Sidecar) renewAfterPause(ctx context.Context, ended func()) {
	s.Log.Write(event.PauseNoticed, "upstream", s.UpstreamName)
	for s.Fleet.Renew(ctx) != nil {
		if ctx.Err() != nil {
			return
		}
	}
	s.configure()
	ended()
}

// watchFleet passes each change of the sidecar's row, data centre and VM state to
// the core.
func (s *Sidecar) watchFleet(ctx context.Context) error {
	changed := s.Fleet.Changed()
	for {
		s.configure()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (s *Sidecar) configure() {
	for _, m := range s.configuration() {
		s.admitter.notifyCore(m)
	}
}

func (s *Sidecar) configuration() []admission.Message {
	v := s.Fleet.View()
	if v.Table == nil {
		return nil
	}
	row, ok := v.Table.Upstreams[s.UpstreamName]
	if !ok {
		row.Name, row.State = s.UpstreamName, table.Out
	}
	dc, ok := v.Table.DataCentres[row.DataCentre]
	messages := []admission.Message{admission.Configured{
		Upstream:      row,
		DataCentreOut: ok && dc.State == table.Out,
	}}
	if s.leaving(v) {
		messages = append(messages, admission.LeaveRequested{})
	}
	return messages
}

func (s *Sidecar) leaving(v *fleet.View) bool {
	for _, vm := range v.VMs.VMs {
		if vm.Name == s.VM {
			return vm.State == fleet.Leaving
		}
	}
	return false
}

// serves reports whether the upstream serves the service of the class or, for an
// engine class, the model.
func (s *Sidecar) serves(t *table.Table, c table.Class, model table.ServiceName) bool {
	want := model
	if c.Kind == table.Plain {
		want = c.Service
	}
	row, ok := t.Upstreams[s.UpstreamName]
	return ok && row.CanServe(c.Kind, want)
}

// Ready returns result.OK if the sidecar accepts work, otherwise the reason why
// not.
func (s *Sidecar) Ready() result.Code {
	if !s.Fleet.View().Ready {
		return result.NotReady
	}
	return s.reports.get().Refusing
}

// State returns the state last reported by the admission core.
func (s *Sidecar) State() admission.State { return s.reports.get() }
