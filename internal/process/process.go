// Package process assembles the long-running programs. It opens the listeners,
// wires the components together with fx and stops them in order.
//
// # Usage
//
//	p := &process.Gateway{Settings: &s, Stderr: os.Stderr}
//	app := p.App()
//	status := process.Run(app, p.Log)
package process

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/platform"
	"jasminewing.dev/jasminewing/internal/setting"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Exit statuses of the programs.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitSetting = 2
)

const (
	// unlimitedStopTimeout is the stop timeout of a program whose graceful stop
	// has no limit.
	unlimitedStopTimeout = 24 * time.Hour
	readHeaderTimeout    = 5 * time.Second
	idleTimeout          = 2 * time.Minute
	maxHeaderBytes       = 64 << 10
	// adminTimeout is the maximum time for reading a whole request on an admin
	// listener.
	adminTimeout = 30 * time.Second
	startTimeout = 10 * time.Second
)

// Run starts an app and waits for a signal or until the app shuts itself down.
// It then stops the app gracefully and returns the exit status. During the stop, a
// SIGTERM changes nothing, because supervisors and planned work that overlaps may
// send it twice, and SIGKILL is there to force an end. On a SIGINT, as from a
// terminal, Run returns at once, without waiting for the stop.
func Run(app *fx.App, l *event.Log) int {
	// A write to a closed standard output or error would otherwise end the process, with all
	// that it serves, when whoever reads its log goes away.
	signal.Ignore(syscall.SIGPIPE)
	// A SIGINT may follow the signal that asks for the stop before Run knows of that one.
	interrupts := make(chan os.Signal, 2)
	signal.Notify(interrupts, syscall.SIGINT)
	// A signal that comes during the start stops the program after it.
	asked := app.Wait()
	startCtx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		l.Write(event.ListenFailed, "error", err)
		return ExitFailed
	}
	shutdown := <-asked
	// The signals stay caught until the process exits, so that a late SIGTERM doesn't
	// change the exit status.
	repeated := make(chan os.Signal, 1)
	signal.Notify(repeated, syscall.SIGTERM)
	l.Write(event.StopAsked, "reason", stopReason(shutdown))
	if shutdown.Signal == syscall.SIGINT {
		<-interrupts
	}
	stopped := make(chan error, 1)
	stopCtx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	go func() { stopped <- app.Stop(stopCtx) }()
	for {
		select {
		case err := <-stopped:
			return stopStatus(l, shutdown, err)
		case <-interrupts:
			l.Write(event.StopForced)
			return ExitFailed
		case s := <-repeated:
			l.Write(event.StopAsked, "reason", s, "repeated", true)
		}
	}
}

func stopReason(shutdown fx.ShutdownSignal) string {
	if shutdown.Signal == nil {
		return "own_end"
	}
	return shutdown.Signal.String()
}

func stopStatus(l *event.Log, shutdown fx.ShutdownSignal, err error) int {
	if err != nil {
		l.Write(event.StopForced, "error", err)
		return ExitFailed
	}
	l.Write(event.Stopped)
	return shutdown.ExitCode
}

// newIncarnation returns a random ID for this run of the program.
func newIncarnation() fleet.Incarnation {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return fleet.Incarnation(hex.EncodeToString(b))
}

// commonOptions returns the fx options that all programs share. limit is the
// maximum duration of a graceful stop; zero means no limit.
func commonOptions(limit time.Duration) fx.Option {
	if limit == 0 {
		limit = unlimitedStopTimeout
	}
	return fx.Options(fx.NopLogger, fx.StopTimeout(limit), fx.Provide(newGroup, newIncarnation, newSuspects))
}

// group runs the tasks of a program. The tasks are cancelled together, and the
// program stops when one of them fails.
type group struct {
	tasks      *errgroup.Group
	ctx        context.Context
	cancel     context.CancelFunc
	shutdowner fx.Shutdowner
}

func newGroup(lc fx.Lifecycle, s fx.Shutdowner) *group {
	ctx, cancel := context.WithCancel(context.Background())
	tasks, ctx := errgroup.WithContext(ctx)
	g := &group{tasks: tasks, ctx: ctx, cancel: cancel, shutdowner: s}
	lc.Append(fx.Hook{OnStop: func(context.Context) error {
		cancel()
		return tasks.Wait()
	}})
	return g
}

// run starts a task. An error of the task stops the program, unless it results
// from the cancellation of the group.
func (g *group) run(task func(ctx context.Context) error) {
	g.tasks.Go(func() error {
		err := task(g.ctx)
		if err == nil || g.ctx.Err() != nil || errors.Is(err, context.Canceled) {
			return nil
		}
		_ = g.shutdowner.Shutdown(fx.ExitCode(ExitFailed))
		return err
	})
}

func newLog(c *setting.Common, w io.Writer) *event.Log { return &event.Log{Logger: c.Logger(w)} }

func newDialer(lc fx.Lifecycle, c *setting.Common) *wire.Dialer {
	d := &wire.Dialer{Secret: wire.Secret(c.FleetSecret)}
	lc.Append(fx.StopHook(func() { _ = d.Close() }))
	return d
}

func newSuspects(l *event.Log) *suspect.Tracker { return &suspect.Tracker{Log: l} }

func newFleet(c *setting.Common, self fleet.VM, inc fleet.Incarnation, d *wire.Dialer, suspects *suspect.Tracker, l *event.Log) *fleet.Task {
	f := &fleet.Task{
		Self:        self,
		Incarnation: inc,
		Config:      &platform.Config{Client: platform.Client{BaseURL: "http://" + string(c.ConfigAddress)}},
		VMs:         &platform.VMs{Client: platform.Client{BaseURL: "http://" + string(c.VMListAddress)}, Log: l},
		Peers:       &peerClient{dialer: d},
		Seeds:       c.Peers,
		Log:         l,
		Parse:       parseTable,
		Suspicions:  suspects,
	}
	suspects.ExchangeNow = f.ExchangeNow
	suspects.Chosen = func(turn uint64) bool {
		var others []string
		for _, vm := range f.View().VMs.VMs {
			if vm.Role == fleet.Gateway && vm.State == fleet.Live && vm.Name != self.Name {
				others = append(others, string(vm.Name))
			}
		}
		return suspect.Chosen(turn, string(self.Name), others)
	}
	return f
}

// parseTable builds a table from values of the configuration service. The error
// lists the first three faults and the number of further faults.
func parseTable(values []fleet.Value) (*table.Table, error) {
	sections := make([]table.Section, 0, len(values))
	for _, v := range values {
		sections = append(sections, table.Section{Name: v.Name, Revision: v.Revision, Data: v.Data})
	}
	t, faults := table.Parse(sections)
	if len(faults) == 0 {
		return t, nil
	}
	const shown = 3
	errs := make([]error, 0, shown)
	for _, f := range faults[:min(shown, len(faults))] {
		errs = append(errs, f)
	}
	if more := len(faults) - shown; more > 0 {
		errs = append(errs, fmt.Errorf("and %d more", more))
	}
	return nil, errors.Join(errs...)
}

// listen returns given unless it is nil, and otherwise opens a TCP listener at
// the address a.
func listen(given net.Listener, a fleet.Address) (net.Listener, error) {
	if given != nil {
		return given, nil
	}
	l, err := net.Listen("tcp", string(a))
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", a, err)
	}
	return l, nil
}

// newServer returns a server with timeouts for request headers and idle
// connections. It has none for bodies and answers, because the gateway limits
// these itself.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// newAdminServer returns a server that also has timeouts for bodies and answers,
// because these are short on an admin listener.
func newAdminServer(h http.Handler) *http.Server {
	s := newServer(h)
	s.ReadTimeout, s.WriteTimeout = adminTimeout, 2*adminTimeout
	return s
}

// serveHTTP serves HTTP until the program stops. The stop waits until the
// requests in flight have ended.
func serveHTTP(lc fx.Lifecycle, g *group, l net.Listener, s *http.Server) {
	serveHTTPUntil(lc, g, l, s, func(ctx context.Context, s *http.Server) error { return s.Shutdown(ctx) })
}

// serveHTTPUntil serves HTTP until the program stops, and then calls stop.
func serveHTTPUntil(lc fx.Lifecycle, g *group, l net.Listener, s *http.Server, stop func(ctx context.Context, s *http.Server) error) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			g.run(func(context.Context) error {
				if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
					return err
				}
				return nil
			})
			return nil
		},
		OnStop: func(ctx context.Context) error { return stop(ctx, s) },
	})
}

// checkSettings waits for the first table and logs that the program is ready. If
// the settings of the program contradict that table, it stops the program with
// the status ExitSetting.
func checkSettings(g *group, f *fleet.Task, l *event.Log, check func(*table.Table) error) {
	changed := f.Changed()
	g.run(func(ctx context.Context) error {
		for !f.View().Ready || f.View().Table == nil {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
			}
		}
		l.Write(event.Ready, "revision", f.View().Table.Revision)
		if err := check(f.View().Table); err != nil {
			l.Write(event.SettingRefused, "code", int(result.CodeOf(err)), "error", err)
			return g.shutdowner.Shutdown(fx.ExitCode(ExitSetting))
		}
		return nil
	})
}
