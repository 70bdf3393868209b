package process

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/fx"

	"jasminewing.dev/jasminewing/internal/admin"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/gateway"
	"jasminewing.dev/jasminewing/internal/memory"
	"jasminewing.dev/jasminewing/internal/quota"
	"jasminewing.dev/jasminewing/internal/setting"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/wire"
)

// Gateway is the program gateway. Set its exported fields, except Log, before
// calling App.
type Gateway struct {
	Settings *setting.Gateway
	Stderr   io.Writer
	// Callers, Peers and Admin are listeners. If one is nil, a listener at the
	// address in the settings is opened instead.
	Callers, Peers, Admin net.Listener
	// Log is set by App.
	Log *event.Log
}

// App assembles the program and returns its fx app.
func (p *Gateway) App() *fx.App {
	p.Log = newLog(&p.Settings.Common, p.Stderr)
	return fx.New(
		commonOptions(p.Settings.StopLimit.Duration),
		fx.Supply(p, p.Log, &p.Settings.Common),
		fx.Provide(newDialer, newFleet, p.self, p.open, p.quota, p.gateway, p.api),
		fx.Invoke(p.run),
	)
}

// gatewayListeners holds the open listeners of a gateway.
type gatewayListeners struct{ callers, peers, admin net.Listener }

func (p *Gateway) open() (*gatewayListeners, error) {
	var l gatewayListeners
	var err error
	if l.callers, err = listen(p.Callers, p.Settings.Listen); err != nil {
		return nil, err
	}
	if l.peers, err = listen(p.Peers, p.Settings.PeerListen); err != nil {
		return nil, err
	}
	if l.admin, err = listen(p.Admin, p.Settings.AdminListen); err != nil {
		return nil, err
	}
	return &l, nil
}

func (p *Gateway) self(l *gatewayListeners) fleet.VM {
	return fleet.VM{
		Name:       p.Settings.Name,
		Role:       fleet.Gateway,
		DataCentre: p.Settings.DataCentre,
		Address:    fleet.Address(l.peers.Addr().String()),
		State:      fleet.Live,
	}
}

func (p *Gateway) quota(f *fleet.Task) *quota.Task {
	q := &quota.Task{Self: p.Settings.Name, Fleet: f, Now: time.Now}
	f.Gateways = q
	return q
}

func (p *Gateway) gateway(f *fleet.Task, d *wire.Dialer, q *quota.Task, suspects *suspect.Tracker, inc fleet.Incarnation) *gateway.Gateway {
	g := &gateway.Gateway{
		Name:       p.Settings.Name,
		Fleet:      f,
		Dialer:     d,
		Quota:      q,
		Suspects:   suspects,
		Log:        p.Log,
		MaxBody:    p.Settings.MaxBody.N,
		MaxAnswer:  p.Settings.MaxAnswer.N,
		Memory:     memory.New(p.Settings.AnswerMemory.N),
		MaxWaiting: p.Settings.MaxWaiting.N,
		RetryShare: p.Settings.RetryShare.Fraction,
		MinSubset:  p.Settings.Subset.N,
		Seed:       xxhash.Sum64String(string(inc)),
	}
	g.Init()
	return g
}

func (p *Gateway) api(f *fleet.Task, g *gateway.Gateway, inc fleet.Incarnation) *admin.API {
	return &admin.API{
		Program: "gateway", VM: p.Settings.Name, Incarnation: inc, Fleet: f, Ready: g.Ready, Gateway: g,
	}
}

func (p *Gateway) run(lc fx.Lifecycle, gr *group, l *gatewayListeners, f *fleet.Task, q *quota.Task, g *gateway.Gateway, api *admin.API) {
	servePeers(lc, gr, l.peers, &wire.Server{
		Secret: wire.Secret(p.Settings.FleetSecret),
		Peer:   &peerServer{fleet: f},
	}, g, p.Log)
	lc.Append(fx.StartHook(func() {
		gr.run(f.Run)
		gr.run(q.Run)
		gr.run(g.Run)
		checkSettings(gr, f, p.Log, p.Settings.ValidateAgainst)
	}))
	serveHTTP(lc, gr, l.admin, newAdminServer(adminHandler(p.Settings.AdminToken, g, api)))
	callers := newCallerListener(l.callers)
	serveHTTPUntil(lc, gr, callers, callers.attach(newCallerServer(g.Handler(), p.Log)), func(ctx context.Context, s *http.Server) error {
		return p.stopServing(ctx, g, callers, s)
	})
	p.Log.Write(event.Started, "program", "gateway", "vm", p.Settings.Name, "listen", l.callers.Addr(),
		"peer_listen", l.peers.Addr(), "admin_listen", l.admin.Addr())
}

// newCallerServer returns a server for callers, which logs its own failures.
func newCallerServer(h http.Handler, l *event.Log) *http.Server {
	s := newServer(h)
	s.ErrorLog = log.New(serverErrors{l}, "", 0)
	return s
}

// stopServing makes the readiness check fail and accepts requests for the settle time,
// because the balancer still sends some. It then closes each connection as soon as it has no
// unanswered request. Requests that are unanswered shortly before the limit of the stop get
// an error. It returns when all connections are closed, or closes them at the limit.
func (p *Gateway) stopServing(ctx context.Context, g *gateway.Gateway, l *callerListener, s *http.Server) error {
	begin := time.Now()
	stage := func(name string) {
		p.Log.Write(event.StopStage, "stage", name, "after_ms", time.Since(begin).Milliseconds(),
			"in_flight", g.InFlight(), "unanswered", l.unanswered())
	}
	beforeEnd, beforeExit, cancel := stopTimes(ctx)
	defer cancel()
	g.Drain()
	stage("draining")
	settle := time.NewTimer(p.Settings.StopSettle.Duration)
	defer settle.Stop()
	select {
	case <-settle.C:
	case <-beforeEnd.Done():
	}
	stage("closing")
	l.end()
	waitEnded(beforeEnd, l)
	stage("ending")
	g.End()
	waitEnded(beforeExit, l)
	stage("closed")
	return s.Close()
}

// stopTimes returns contexts that end shortly before the limit of a stop: one when the
// requests that are left get an error, and one when what is still open is closed.
func stopTimes(ctx context.Context) (beforeEnd, beforeExit context.Context, cancel context.CancelFunc) {
	limit, ok := ctx.Deadline()
	if !ok {
		return ctx, ctx, func() {}
	}
	margin := min(stopMargin, time.Until(limit)/2)
	beforeEnd, cancelEnd := context.WithDeadline(ctx, limit.Add(-margin))
	beforeExit, cancelExit := context.WithDeadline(ctx, limit.Add(-margin/2))
	return beforeEnd, beforeExit, func() { cancelEnd(); cancelExit() }
}
