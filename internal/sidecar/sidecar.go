// Package sidecar is the process beside one upstream: the only door to it.
//
// The admission core decides what runs; this package puts sockets and tasks
// round it. Every request passes here, so what must hold for an upstream is
// decided in one place.
//
// # Usage
//
//	s := &sidecar.Sidecar{UpstreamName: "draft_a", Fleet: f, Upstream: client, ...}
//	err := s.Run(ctx, drain)
package sidecar

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/internal/engine"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	healthInterval = 250 * time.Millisecond
	healthTimeout  = 2 * time.Second
	// maxHealthFailures is how many answers in a row must be missing before the
	// upstream counts as down.
	maxHealthFailures = 2
	// deathCheckTimeout is how long an upstream that lost a request may take to show
	// that it still lives.
	deathCheckTimeout = 500 * time.Millisecond
	// maxSuspectVMs is how many VMs may run a suspect; the second only while the
	// first takes no work.
	maxSuspectVMs = 2
	// silenceTimeout is how long an upstream that is down may have sent nothing of
	// an answer before the answer is given up.
	silenceTimeout = 2 * time.Second
	// drainGrace is how long a draining sidecar still answers offers that
	// were under way when it began to leave.
	drainGrace = 500 * time.Millisecond
)

// Fleet is what the sidecar needs of the fleet's view.
type Fleet interface {
	View() *fleet.View
	Changed() <-chan struct{}
	Behind(r table.Revision, v fleet.ListVersion, from fleet.Address)
	Renew(ctx context.Context) error
}

// Upstream is what the sidecar needs of its upstream.
type Upstream interface {
	Do(ctx context.Context, r engine.Request, s engine.Sink) engine.Outcome
	Health(ctx context.Context) (engine.Health, error)
}

// Suspects knows requests that are suspected of ending upstreams.
type Suspects interface {
	// Judge says whether a request is suspected, or gives an error if it is
	// held back.
	Judge(now time.Time, o *wire.Offer) (suspected bool, err error)
	// Place gives the one sidecar that may run a suspect.
	Place(o *wire.Offer, vms []fleet.VM) (fleet.VM, bool)
	// Died tells of the requests in flight when an instance of an upstream ended.
	Died(now time.Time, instance fleet.Incarnation, inFlight []*wire.Offer)
	// Clean tells of a suspect that ran to its whole answer.
	Clean(now time.Time, o *wire.Offer)
}

// Sidecar is one run of the process. Its exported fields are set before Run.
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
}

// Init makes the sidecar ready to serve Work; it must come before the listener
// serves.
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
}

// Run works until ctx ends. When drain closes it takes no new work, lets what
// runs end, and returns.
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
	settle := time.NewTimer(drainGrace)
	defer settle.Stop()
	select {
	case <-settle.C:
	case <-ctx.Done():
		return
	}
	s.attempts.wait(ctx)
}

// renewAfterPause tries until somebody was heard: a process that is cut off
// cannot know what changed while it was paused.
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

// watchFleet tells the core of each change of its row, its data centre and
// its VM's state.
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

// serves says whether the upstream serves a class's service or a model.
func (s *Sidecar) serves(t *table.Table, c table.Class, model table.ServiceName) bool {
	want := model
	if c.Kind == table.Plain {
		want = c.Service
	}
	row, ok := t.Upstreams[s.UpstreamName]
	return ok && row.CanServe(c.Kind, want)
}

// Ready says whether the sidecar may be offered work.
func (s *Sidecar) Ready() result.Code {
	if !s.Fleet.View().Ready {
		return result.NotReady
	}
	return s.reports.get().Refusing
}

// State gives what the core reports.
func (s *Sidecar) State() admission.State { return s.reports.get() }
