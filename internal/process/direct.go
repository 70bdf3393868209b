package process

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/fx"

	"jasminewing.dev/jasminewing/internal/catalog"
	"jasminewing.dev/jasminewing/internal/connection"
	"jasminewing.dev/jasminewing/internal/direct"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/memory"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/roster"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	// reloadInterval is how often the settings file is read without a SIGHUP.
	reloadInterval = 10 * time.Second
	// lastLinesTime limits how long a stop waits for the log. A pipe that nobody reads would
	// block it for ever.
	lastLinesTime = 500 * time.Millisecond
)

// Direct is the program of a gateway that sends requests directly to upstreams.
// Set its exported fields before calling App.
type Direct struct {
	Name       string
	DataCentre route.DataCentre
	// Listen serves callers, ReadyListen the balancer's checks at ReadyPath,
	// PeerListen other gateways and MetricsListen metrics.
	Listen, ReadyListen, PeerListen, MetricsListen fleet.Address
	ReadyPath                                      string
	Seeds                                          []string
	// Secret is shared by all gateways.
	Secret wire.Secret
	// MemoryLimit is the memory limit of the process in bytes, and DescriptorLimit its number
	// of descriptors; zero for no bound.
	MemoryLimit     int64
	DescriptorLimit int
	StopLimit       time.Duration
	RetryBounds     placement.RetryBounds
	ColdBounds      placement.ColdBounds

	Store     catalog.Store
	Decode    func(key string, value []byte) (any, error)
	Callers   direct.CallerProtocol
	Upstreams direct.UpstreamProtocol

	// Reload reads the settings again. Those that are not in Reloaded are fixed for the life
	// of the process.
	Reload func() (Reloaded, error)

	Log    *event.Log
	Writer *event.Writer
	Stdout io.Writer

	sighup chan os.Signal
}

// Reloaded holds the settings that change while the program runs.
type Reloaded struct {
	RetryBounds placement.RetryBounds
	Seeds       []string
}

// App assembles the program and returns its fx app.
func (p *Direct) App() *fx.App {
	// A SIGHUP during startup must not terminate the program.
	p.sighup = make(chan os.Signal, 1)
	signal.Notify(p.sighup, syscall.SIGHUP)
	debug.SetMemoryLimit(int64(memory.RuntimeShare * float64(p.MemoryLimit)))
	return fx.New(
		commonOptions(0),
		fx.Supply(p, p.Log),
		fx.Provide(p.open, p.dialer, p.scheduler, p.catalog, p.roster, p.gateway, p.connections),
		fx.Invoke(p.run),
	)
}

func (p *Direct) dialer(lc fx.Lifecycle) *wire.Dialer {
	d := &wire.Dialer{Secret: p.Secret}
	lc.Append(fx.StopHook(func() { _ = d.Close() }))
	return d
}

func (p *Direct) scheduler(inc fleet.Incarnation) *placement.Scheduler {
	return &placement.Scheduler{
		Core:        placement.Core{DataCentre: p.DataCentre, Seed: xxhash.Sum64String(string(inc)), Cold: p.ColdBounds},
		RetryBudget: placement.RetryBudget{Bounds: p.RetryBounds},
		Log:         p.Log,
	}
}

func (p *Direct) catalog(d *wire.Dialer) *catalog.Task {
	return &catalog.Task{
		Store:  p.Store,
		Decode: p.Decode,
		Log:    p.Log,
		Fetch:  d.FetchState,
	}
}

func (p *Direct) roster(l *directListeners, d *wire.Dialer, s *placement.Scheduler, c *catalog.Task, suspects *suspect.Tracker, inc fleet.Incarnation) *roster.Task {
	t := &roster.Task{
		Self: l.peers.Addr().String(), DataCentre: p.DataCentre, Incarnation: inc, Seeds: p.Seeds,
		Dialer: d, Scheduler: s, Catalog: c, Suspects: suspects, Log: p.Log,
	}
	suspects.ExchangeNow, suspects.Chosen = t.ExchangeNow, t.Chosen
	return t
}

func (p *Direct) gateway(s *placement.Scheduler, c *catalog.Task, suspects *suspect.Tracker) *direct.Gateway {
	g := &direct.Gateway{
		Callers: p.Callers, Upstreams: p.Upstreams, Catalog: c, Scheduler: s, Suspects: suspects, Log: p.Log,
		Memory: memory.New(memory.LimitFor(p.MemoryLimit)),
	}
	g.Init()
	return g
}

// connections returns the tracker of the connections of callers, which follows the limits of the
// routing table in force.
func (p *Direct) connections(g *direct.Gateway, c *catalog.Task, r *roster.Task) *connection.Tracker {
	t := &connection.Tracker{
		Bounds:    connection.NewBounds(p.MemoryLimit, p.DescriptorLimit),
		Upstreams: g.OpenUpstreams, Gateways: r.LiveGateways, CountRefusal: g.CountRefusal, Log: p.Log,
	}
	t.Init()
	c.OnChange = func(v *route.View) {
		g.ApplyView(v)
		t.SetLimits(connectionLimits(v.Table))
	}
	return t
}

// connectionLimits returns the limits of a table on the connections of callers. Without a table,
// all are zero.
func connectionLimits(t *route.Table) connection.Limits {
	if t == nil {
		return connection.Limits{}
	}
	return connection.Limits{HeadBytes: t.Limits.HeaderBytes, HeadTimeout: t.Limits.HeaderTimeout, IdleTimeout: t.Limits.IdleTimeout}
}

// directListeners holds the open listeners of the program.
type directListeners struct{ callers, ready, peers, metrics net.Listener }

func (p *Direct) open() (*directListeners, error) {
	var l directListeners
	var err error
	if l.callers, err = connection.Listen(string(p.Listen)); err != nil {
		return nil, err
	}
	for _, o := range []struct {
		listener *net.Listener
		address  fleet.Address
	}{{&l.ready, p.ReadyListen}, {&l.peers, p.PeerListen}, {&l.metrics, p.MetricsListen}} {
		if *o.listener, err = listen(nil, o.address); err != nil {
			return nil, err
		}
	}
	return &l, nil
}

func (p *Direct) run(lc fx.Lifecycle, gr *group, l *directListeners, s *placement.Scheduler, c *catalog.Task, t *roster.Task, g *direct.Gateway, conns *connection.Tracker) {
	runWriter(lc, p.Writer, p.Stdout)
	servePeers(lc, gr, l.peers, &wire.Server{Secret: p.Secret, Gateways: t}, g, p.Log)
	lc.Append(fx.StartHook(func() {
		gr.run(s.Run)
		gr.run(c.Run)
		gr.run(t.Run)
		gr.run(conns.Run)
		gr.run(g.Run)
		gr.run(p.reportDroppedLines)
		gr.run(func(ctx context.Context) error { return p.watchSettings(ctx, s, t) })
	}))
	serveHTTPUntil(lc, gr, l.metrics, newAdminServer(metricsHandler(g, conns)), stopAdminServer)
	serveHTTPUntil(lc, gr, l.ready, newAdminServer(p.readyHandler(g, t)), stopAdminServer)
	callers := newCallerListener(conns.Listener(l.callers))
	serveHTTPUntil(lc, gr, callers, callers.attach(newDirectServer(g, conns, p.Log)), func(_ context.Context, s *http.Server) error {
		return p.stopServing(g, callers, s)
	})
	p.Log.Write(event.Started, "program", "direct", "vm", p.Name, "data_centre", p.DataCentre,
		"listen", l.callers.Addr(), "peer_listen", l.peers.Addr(), "ready_listen", l.ready.Addr(),
		"metrics_listen", l.metrics.Addr())
}

// runWriter writes the lines of a log to its output until the program stops, and then those
// that are left.
func runWriter(lc fx.Lifecycle, w *event.Writer, out io.Writer) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				_ = w.Run(ctx, out)
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			stop()
			select {
			case <-done:
			case <-time.After(lastLinesTime):
			}
			return nil
		},
	})
}

// newDirectServer returns a server for callers. It has no timeouts for bodies and
// answers, because each call limits its own.
func newDirectServer(h http.Handler, conns *connection.Tracker, l *event.Log) *http.Server {
	s := &http.Server{Handler: h, ErrorLog: log.New(serverErrors{l}, "", 0)}
	conns.Configure(s)
	return s
}

// serverErrors logs what the server reports, such as a panic of a handler.
type serverErrors struct{ log *event.Log }

// Write logs the first line of a report.
func (e serverErrors) Write(p []byte) (int, error) {
	line, _, _ := strings.Cut(string(p), "\n")
	e.log.WriteThrottled(event.ServerFailed, "callers", "error", line)
	return len(p), nil
}

func metricsHandler(g *direct.Gateway, conns *connection.Tracker) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		g.WriteMetrics(w)
		conns.WriteMetrics(w)
		metrics.WriteProcessMetrics(w)
	})
	m.HandleFunc("/explain", g.ServeExplain)
	return m
}

func (p *Direct) readyHandler(g *direct.Gateway, t *roster.Task) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc(p.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() || !t.Introduced() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return m
}

// reportDroppedLines logs how many log lines the writer has dropped, once a
// second at most.
func (p *Direct) reportDroppedLines(ctx context.Context) error {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	var reported uint64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if n := p.Writer.Dropped(); n > reported {
			p.Log.Write(event.LinesDropped, "lines", n-reported)
			reported = n
		}
	}
}

// watchSettings reloads the settings on SIGHUP and every reloadInterval, because
// the settings file may change without a signal. Invalid settings are logged and
// change nothing.
func (p *Direct) watchSettings(ctx context.Context, s *placement.Scheduler, r *roster.Task) error {
	defer signal.Stop(p.sighup)
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-p.sighup:
			signalled = true
		case <-t.C:
		}
		settings, err := p.Reload()
		if err != nil {
			p.Log.WriteThrottled(event.SettingRefused, "settings", "code", int(result.CodeOf(err)), "error", err)
			continue
		}
		bounds := settings.RetryBounds
		newBounds, newSeeds := s.SetRetryBounds(bounds), r.SetSeeds(settings.Seeds)
		if newBounds || newSeeds || signalled {
			p.Log.Write(event.SettingsReread, "repeat_ratio", bounds.Ratio, "repeat_extra", bounds.Extra,
				"repeat_window", bounds.Window, "seeds", strings.Join(settings.Seeds, ","))
		}
	}
}
