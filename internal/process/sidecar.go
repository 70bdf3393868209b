package process

import (
	"context"
	"io"
	"net"
	"time"

	"go.uber.org/fx"

	"jasminewing.dev/jasminewing/internal/admin"
	"jasminewing.dev/jasminewing/internal/booking"
	"jasminewing.dev/jasminewing/internal/engine"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/memory"
	"jasminewing.dev/jasminewing/internal/order"
	"jasminewing.dev/jasminewing/internal/setting"
	"jasminewing.dev/jasminewing/internal/sidecar"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/wire"
)

// upstreamTimeout is how long an upstream may send nothing of an answer. It is longer
// than any deadline of a class, which each request has: an answer that is not a stream
// arrives at its end only.
const upstreamTimeout = 24 * time.Hour

// Sidecar is the program sidecar. Set its exported fields, except Log, before
// calling App.
type Sidecar struct {
	Settings *setting.Sidecar
	Stderr   io.Writer
	// Peers and Admin are listeners. If one is nil, a listener at the address in
	// the settings is opened instead.
	Peers, Admin net.Listener
	// Log is set by App.
	Log *event.Log
}

// App assembles the program and returns its fx app.
func (p *Sidecar) App() *fx.App {
	p.Log = newLog(&p.Settings.Common, p.Stderr)
	return fx.New(
		commonOptions(p.Settings.StopLimit.Duration),
		fx.Supply(p, p.Log, &p.Settings.Common),
		fx.Provide(newDialer, newFleet, p.self, p.open, p.upstream, p.keys, p.orders, p.sidecar, p.api),
		fx.Invoke(p.run),
	)
}

// sidecarListeners holds the open listeners of a sidecar.
type sidecarListeners struct{ peers, admin net.Listener }

func (p *Sidecar) open() (*sidecarListeners, error) {
	var l sidecarListeners
	var err error
	if l.peers, err = listen(p.Peers, p.Settings.Listen); err != nil {
		return nil, err
	}
	if l.admin, err = listen(p.Admin, p.Settings.AdminListen); err != nil {
		return nil, err
	}
	return &l, nil
}

func (p *Sidecar) self(l *sidecarListeners) fleet.VM {
	return fleet.VM{
		Name:       p.Settings.Name,
		Role:       fleet.Sidecar,
		DataCentre: p.Settings.DataCentre,
		Upstream:   p.Settings.UpstreamName,
		Address:    fleet.Address(l.peers.Addr().String()),
		State:      fleet.Live,
	}
}

func (p *Sidecar) upstream(lc fx.Lifecycle) *engine.Client {
	c := &engine.Client{
		Address: p.Settings.UpstreamAddress, MaxAnswer: p.Settings.MaxAnswer.N, Timeout: upstreamTimeout,
		Memory: memory.New(p.Settings.AnswerMemory.N),
	}
	lc.Append(fx.StopHook(c.CloseIdle))
	return c
}

func (p *Sidecar) keys(self fleet.VM, inc fleet.Incarnation, f *fleet.Task, d *wire.Dialer) *sidecar.Keys {
	return &sidecar.Keys{
		Core:         booking.Core{Self: self, Incarnation: inc, MaxRecords: p.Settings.MaxKeys.N},
		Fleet:        f,
		Peers:        &peerClient{dialer: d},
		Log:          p.Log,
		UpstreamName: p.Settings.UpstreamName,
	}
}

func (p *Sidecar) orders(f *fleet.Task, c *engine.Client) *sidecar.Orders {
	return &sidecar.Orders{
		Core:         order.Core{LoadsPerMinute: p.Settings.WeightLoadsPerMinute.N},
		Fleet:        f,
		Engine:       c,
		Log:          p.Log,
		VM:           p.Settings.Name,
		UpstreamName: p.Settings.UpstreamName,
	}
}

func (p *Sidecar) sidecar(f *fleet.Task, k *sidecar.Keys, o *sidecar.Orders, c *engine.Client, suspects *suspect.Tracker, inc fleet.Incarnation) *sidecar.Sidecar {
	s := &sidecar.Sidecar{
		UpstreamName: p.Settings.UpstreamName,
		VM:           p.Settings.Name,
		Incarnation:  inc,
		Fleet:        f,
		Upstream:     c,
		Keys:         k,
		Orders:       o,
		Suspects:     suspects,
		Log:          p.Log,
		MaxBody:      p.Settings.MaxBody.N,
		MaxParked:    p.Settings.MaxParked.N,
	}
	s.Init()
	return s
}

func (p *Sidecar) api(f *fleet.Task, s *sidecar.Sidecar, inc fleet.Incarnation) *admin.API {
	return &admin.API{
		Program: "sidecar", VM: p.Settings.Name, Incarnation: inc, Fleet: f, Ready: s.Ready,
		Upstream: s, UpstreamName: p.Settings.UpstreamName,
	}
}

func (p *Sidecar) run(lc fx.Lifecycle, gr *group, l *sidecarListeners, f *fleet.Task, k *sidecar.Keys, s *sidecar.Sidecar, api *admin.API) {
	servePeers(lc, gr, l.peers, &wire.Server{
		Secret: wire.Secret(p.Settings.FleetSecret),
		Work:   &sidecar.Work{Sidecar: s},
		Peer:   &peerServer{fleet: f, keys: k},
	}, s, p.Log)
	lc.Append(fx.StartHook(func() {
		gr.run(f.Run)
		checkSettings(gr, f, p.Log, p.Settings.ValidateAgainst)
	}))
	serveHTTP(lc, gr, l.admin, newAdminServer(adminHandler(p.Settings.AdminToken, s, api)))
	lc.Append(drainHook(gr, s))
	p.Log.Write(event.Started, "program", "sidecar", "vm", p.Settings.Name, "upstream", p.Settings.UpstreamName,
		"listen", l.peers.Addr(), "admin_listen", l.admin.Addr())
}

// drainHook returns a hook that runs the sidecar. Its stop drains the sidecar and
// waits until the running requests have ended. Shortly before the limit of the stop,
// it cancels those that are left, so that their gateways learn how they ended.
func drainHook(gr *group, s *sidecar.Sidecar) fx.Hook {
	drain := make(chan struct{})
	done := make(chan struct{})
	return fx.Hook{
		OnStart: func(context.Context) error {
			gr.run(func(ctx context.Context) error {
				defer close(done)
				return s.Run(ctx, drain)
			})
			return nil
		},
		OnStop: func(ctx context.Context) error {
			beforeEnd, _, cancel := stopTimes(ctx)
			defer cancel()
			close(drain)
			select {
			case <-done:
				return nil
			case <-beforeEnd.Done():
			}
			s.End()
			select {
			case <-done:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		},
	}
}
