// Package demo runs a complete deployment in one process on the loopback
// interface: gateways, sidecars, and stand-ins for engines, a booking service
// and the platform. It is meant for local trials and tests, not for
// production.
//
// # Usage
//
//	d := &demo.Deployment{TableDirectory: dir, Logs: os.Stderr}
//	if err := d.Start(ctx); err != nil {
//		return err
//	}
//	defer d.Stop(ctx)
package demo

import (
	"cmp"
	"context"
	"embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/process"
	"jasminewing.dev/jasminewing/internal/setting"
	"jasminewing.dev/jasminewing/internal/standin"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// MarketKey is the bearer key of the account "market" in the demo table.
const MarketKey = "demo-key-market"

const (
	loopback          = "127.0.0.1:0"
	fleetSecret       = "demo-secret-of-the-fleet"
	gatewayCount      = 2
	stopSettle        = 100 * time.Millisecond
	readyTimeout      = 30 * time.Second
	readyPollInterval = 10 * time.Millisecond
	maxBody           = 4 << 20
	maxAnswer         = 16 << 20
	answerMemory      = 256 << 20
)

//go:embed table/*.csv
var tableFiles embed.FS

// WriteTable writes the CSV files of the demo table into a directory.
func WriteTable(directory string) error {
	entries, err := tableFiles.ReadDir("table")
	if err != nil {
		return fmt.Errorf("write demo table: %w", err)
	}
	for _, e := range entries {
		data, err := tableFiles.ReadFile("table/" + e.Name())
		if err != nil {
			return fmt.Errorf("write demo table: %w", err)
		}
		if err := os.WriteFile(filepath.Join(directory, e.Name()), data, 0o644); err != nil {
			return fmt.Errorf("write demo table: %w", err)
		}
	}
	return nil
}

// Deployment is a running demo deployment. The fields TableDirectory, Logs and
// FastEngines are set before Start. Start sets the other exported fields.
type Deployment struct {
	// TableDirectory is the directory of the CSV files of the table. Edits to
	// the files are applied while the demo runs.
	TableDirectory string
	// Logs receives the log lines of the gateways and sidecars.
	Logs io.Writer
	// FastEngines makes the engines answer without delay and never be cold.
	FastEngines bool

	// Engines and Bookings are the stand-in upstreams by name.
	Engines  map[table.UpstreamName]*standin.Engine
	Bookings map[table.UpstreamName]*standin.Booking
	Config   *standin.Config
	VMs      *standin.VMs

	group    *errgroup.Group
	ctx      context.Context
	cancel   context.CancelFunc
	servers  []*http.Server
	programs []*program
	settings setting.Common

	upstreamAddresses map[table.UpstreamName]string
}

// program is one gateway or sidecar of the deployment.
type program struct {
	app    *fx.App
	vm     fleet.VM
	admin  string
	listen string
}

// GatewayAddresses returns the addresses on which the gateways accept requests
// from callers.
func (d *Deployment) GatewayAddresses() []string {
	var all []string
	for _, p := range d.programs {
		if p.vm.Role == fleet.Gateway {
			all = append(all, p.listen)
		}
	}
	return all
}

// AdminAddresses returns one "NAME ADDRESS" string for the admin listener of
// each gateway and sidecar. NAME is the name of the VM.
func (d *Deployment) AdminAddresses() []string {
	var all []string
	for _, p := range d.programs {
		all = append(all, fmt.Sprintf("%s %s", p.vm.Name, p.admin))
	}
	return all
}

// UpstreamAddresses returns one "NAME ADDRESS" string for each stand-in
// upstream, sorted. NAME is the name of the upstream.
func (d *Deployment) UpstreamAddresses() []string {
	var all []string
	for name, address := range d.upstreamAddresses {
		all = append(all, fmt.Sprintf("%s %s", name, address))
	}
	slices.Sort(all)
	return all
}

// Start starts all parts of the deployment. It returns when every gateway and
// sidecar is ready.
func (d *Deployment) Start(ctx context.Context) error {
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.group, d.ctx = errgroup.WithContext(d.ctx)
	if err := d.startPlatform(); err != nil {
		return err
	}
	t, err := d.readTable()
	if err != nil {
		return err
	}
	if err := d.startUpstreams(t); err != nil {
		return err
	}
	for n := range gatewayCount {
		if err := d.addGateway(t, n+1); err != nil {
			return err
		}
	}
	for _, p := range d.programs {
		if err := p.app.Start(ctx); err != nil {
			return fmt.Errorf("start %s: %w", p.vm.Name, err)
		}
	}
	return d.awaitReady(ctx)
}

// Stop stops the gateways, then the sidecars and then the stand-ins. If a
// gateway or sidecar fails to stop, Stop returns its error and does not go on
// to the next group.
func (d *Deployment) Stop(ctx context.Context) error {
	slices.SortStableFunc(d.programs, func(a, b *program) int { return cmp.Compare(a.vm.Role, b.vm.Role) })
	for _, role := range []fleet.Role{fleet.Gateway, fleet.Sidecar} {
		var g errgroup.Group
		for _, p := range d.programs {
			if p.vm.Role == role {
				g.Go(func() error { return p.app.Stop(ctx) })
			}
		}
		if err := g.Wait(); err != nil {
			return fmt.Errorf("stop %ss: %w", role, err)
		}
	}
	d.cancel()
	for _, s := range d.servers {
		_ = s.Close()
	}
	return d.group.Wait()
}

func (d *Deployment) readTable() (*table.Table, error) {
	paths, err := filepath.Glob(filepath.Join(d.TableDirectory, "*.csv"))
	if err != nil {
		return nil, fmt.Errorf("read table: %w", err)
	}
	var sections []table.Section
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			return nil, fmt.Errorf("read table: %w", err)
		}
		name := filepath.Base(p)
		sections = append(sections, table.Section{Name: name[:len(name)-len(".csv")], Data: data})
	}
	t, faults := table.Parse(sections)
	if len(faults) > 0 {
		return nil, fmt.Errorf("read table: %w", faults[0])
	}
	return t, nil
}

func (d *Deployment) startPlatform() error {
	d.Config = &standin.Config{}
	d.VMs = &standin.VMs{}
	config, err := d.serve(d.Config.Service())
	if err != nil {
		return err
	}
	vms, err := d.serve(d.VMs.Service())
	if err != nil {
		return err
	}
	files := &standin.Directory{Path: d.TableDirectory, Config: d.Config}
	if err := files.Load(); err != nil {
		return err
	}
	d.group.Go(func() error { return files.Run(d.ctx) })
	d.settings = setting.Common{
		FleetSecret:   fleetSecret,
		ConfigAddress: fleet.Address(config),
		VMListAddress: fleet.Address(vms),
		LogFormat:     setting.TextLog,
		LogLevel:      setting.InfoLevel,
		MaxBody:       setting.Bytes{N: maxBody},
		MaxAnswer:     setting.Bytes{N: maxAnswer},
		AnswerMemory:  setting.Bytes{N: answerMemory},
	}
	return nil
}

// serve serves a stand-in on the loopback interface and returns its address.
func (d *Deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("listen for stand-in: %w", err)
	}
	s := &http.Server{Handler: h}
	d.servers = append(d.servers, s)
	d.group.Go(func() error {
		_ = s.Serve(l)
		return nil
	})
	return l.Addr().String(), nil
}

func (d *Deployment) startUpstreams(t *table.Table) error {
	d.Engines = make(map[table.UpstreamName]*standin.Engine)
	d.Bookings = make(map[table.UpstreamName]*standin.Booking)
	d.upstreamAddresses = make(map[table.UpstreamName]string)
	names := make([]table.UpstreamName, 0, len(t.Upstreams))
	for n := range t.Upstreams {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		address, err := d.serve(d.newUpstream(t.Upstreams[n]))
		if err != nil {
			return err
		}
		d.upstreamAddresses[n] = address
		if err := d.addSidecar(t.Upstreams[n], fleet.Address(address)); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) newUpstream(row table.Upstream) http.Handler {
	if row.Kind == table.Plain {
		b := &standin.Booking{Delay: 5 * time.Millisecond}
		d.Bookings[row.Name] = b
		return b
	}
	if d.FastEngines {
		e := &standin.Engine{Name: string(row.Name), Slots: row.Limit}
		d.Engines[row.Name] = e
		return e
	}
	e := &standin.Engine{
		Name:       string(row.Name),
		Slots:      row.Limit,
		FirstToken: 40 * time.Millisecond,
		TokenGap:   8 * time.Millisecond,
		ColdSlots:  row.ColdLimit,
		WarmAfter:  row.ColdLimit,
		// The restart takes long enough to see the fleet's reaction to a crash
		// in the status.
		RestartAfter: 5 * time.Second,
	}
	d.Engines[row.Name] = e
	return e
}

func (d *Deployment) addSidecar(row table.Upstream, upstream fleet.Address) error {
	peers, admin, err := listenPeersAndAdmin()
	if err != nil {
		return err
	}
	s := &setting.Sidecar{
		Common:          d.settings,
		UpstreamName:    row.Name,
		UpstreamAddress: upstream,
		MaxParked:       setting.Count{N: 1024},
		MaxKeys:         setting.Count{N: 10_000},
	}
	s.Name = fleet.VMName("vm_" + row.Name)
	s.DataCentre = row.DataCentre
	vm := fleet.VM{
		Name: s.Name, Role: fleet.Sidecar, DataCentre: row.DataCentre, Upstream: row.Name,
		Address: fleet.Address(peers.Addr().String()), State: fleet.Live,
	}
	app := (&process.Sidecar{Settings: s, Stderr: d.Logs, Peers: peers, Admin: admin}).App()
	d.addProgram(&program{app: app, vm: vm, admin: admin.Addr().String()})
	return app.Err()
}

func (d *Deployment) addGateway(t *table.Table, n int) error {
	peers, admin, err := listenPeersAndAdmin()
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", loopback)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	s := &setting.Gateway{
		Common:     d.settings,
		StopSettle: setting.Duration{Duration: stopSettle},
		MaxWaiting: setting.Count{N: 4096},
		RetryShare: setting.Share{Fraction: 0.1},
		Subset:     setting.Count{N: 8},
	}
	s.Name = fleet.VMName(fmt.Sprintf("vm_gateway_%d", n))
	s.DataCentre = nthDataCentre(t, n)
	vm := fleet.VM{
		Name: s.Name, Role: fleet.Gateway, DataCentre: s.DataCentre,
		Address: fleet.Address(peers.Addr().String()), State: fleet.Live,
	}
	app := (&process.Gateway{Settings: s, Stderr: d.Logs, Callers: callers, Peers: peers, Admin: admin}).App()
	d.addProgram(&program{app: app, vm: vm, admin: admin.Addr().String(), listen: callers.Addr().String()})
	return app.Err()
}

func (d *Deployment) addProgram(p *program) {
	d.programs = append(d.programs, p)
	d.VMs.Set(p.vm)
}

// nthDataCentre returns a data centre of the table for gateway n, so that the
// gateways are spread over the data centres.
func nthDataCentre(t *table.Table, n int) table.DataCentreName {
	names := make([]table.DataCentreName, 0, len(t.DataCentres))
	for name := range t.DataCentres {
		names = append(names, name)
	}
	slices.Sort(names)
	return names[n%len(names)]
}

// listenPeersAndAdmin opens the listeners for the peers and for the admin API.
func listenPeersAndAdmin() (peers, admin net.Listener, err error) {
	if peers, err = net.Listen("tcp", loopback); err != nil {
		return nil, nil, fmt.Errorf("listen for peers: %w", err)
	}
	if admin, err = net.Listen("tcp", loopback); err != nil {
		_ = peers.Close()
		return nil, nil, fmt.Errorf("listen for the admin API: %w", err)
	}
	return peers, admin, nil
}

// awaitReady waits until every gateway and sidecar reports that it is ready. It
// returns an error with result.NotReady after readyTimeout or when ctx ends.
func (d *Deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	poll := time.NewTicker(readyPollInterval)
	defer poll.Stop()
	for _, p := range d.programs {
		for !ready(ctx, p.admin) {
			select {
			case <-poll.C:
			case <-ctx.Done():
				return result.Errorf(result.NotReady, "%s: %w", p.vm.Name, ctx.Err())
			}
		}
	}
	return nil
}

func ready(ctx context.Context, admin string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
