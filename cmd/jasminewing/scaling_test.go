package main

import (
	"bufio"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/platform"
	"jasminewing.dev/jasminewing/internal/standin"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// measureWindow is the time over which the CPU use of a process is measured.
	measureWindow = 8 * time.Second
	// measureWarmUp is the time that a process runs before the measurement.
	measureWarmUp  = 3 * time.Second
	reportInterval = 400 * time.Millisecond
)

// resourceUsage is the CPU time in seconds and the resident memory in bytes of a
// process.
type resourceUsage struct {
	cpu      float64
	resident float64
}

// readUsage reads the resource usage from the metrics of the process.
func (p *proc) readUsage() resourceUsage {
	return resourceUsage{cpu: p.metric("process_cpu_seconds_total"), resident: p.metric("process_resident_memory_bytes")}
}

// metric reads a metric of the process.
func (p *proc) metric(name string) float64 {
	resp, err := http.Get("http://" + p.adminAddr + "/metrics")
	assert.NilError(p.t, err)
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			value, err := strconv.ParseFloat(text, 64)
			assert.NilError(p.t, err)
			return value
		}
	}
	p.t.Fatalf("no metric %s", name)
	return 0
}

// measureUsage returns the CPU use of the process over measureWindow, in percent of a
// core, and its usage at the end. It waits in real time because the processes are
// real.
func (p *proc) measureUsage() (percent float64, after resourceUsage) {
	before := p.readUsage()
	begin := time.Now()
	<-time.After(measureWindow)
	after = p.readUsage()
	return 100 * (after.cpu - before.cpu) / time.Since(begin).Seconds(), after
}

// fakeFleet simulates all other processes of a fleet: every other VM in the VM list
// has its address. It keeps the same state as a process of the fleet, and counts the
// bytes on its connections.
type fakeFleet struct {
	address string
	task    *fleet.Task

	mu    sync.Mutex
	bytes int64
	// watches is the number of open watches of sidecars.
	watches atomic.Int64
}

type countingListener struct {
	net.Listener
	fake *fakeFleet
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.fake}, err
}

type countingConn struct {
	net.Conn
	fake *fakeFleet
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.fake.count(n)
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.fake.count(n)
	return n, err
}

func (f *fakeFleet) count(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes += int64(n)
}

func (f *fakeFleet) total() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return float64(f.bytes)
}

// Run ends every offer without a message.
func (f *fakeFleet) Run(wire.DRPCWork_RunStream) error { return nil }

// Watch sends reports at the interval of a sidecar.
func (f *fakeFleet) Watch(_ *wire.WatchRequest, stream wire.DRPCWork_WatchStream) error {
	f.watches.Add(1)
	defer f.watches.Add(-1)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	r := &wire.Report{Upstream: "up_1000", Incarnation: "0123456789abcdef", Limit: 16, InFlight: 8, TableRevision: 1, VmListVersion: 1}
	for {
		if err := stream.Send(r); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-stream.Context().Done():
			return nil
		}
	}
}

// Sync handles a sync request as a process of the fleet does.
func (f *fakeFleet) Sync(ctx context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	return f.task.HandleSync(ctx, r)
}

// noPeerCaller makes no calls to peers, so that the fake fleet's own sync requests
// are not counted.
type noPeerCaller struct{}

func (noPeerCaller) Sync(context.Context, fleet.Address, *wire.SyncRequest) (*wire.SyncReply, error) {
	return nil, errors.New("the fake fleet calls no peers")
}

// Claim returns an empty reply. A gateway never calls it.
func (f *fakeFleet) Claim(context.Context, *wire.ClaimRequest) (*wire.ClaimReply, error) {
	return &wire.ClaimReply{}, nil
}

// allGateways counts all gateways as present.
type allGateways struct{}

func (allGateways) Count(_ time.Time, gateways []string) []string { return gateways }

func startFakeFleet(c *cluster) *fakeFleet {
	l, err := net.Listen("tcp", loopback)
	assert.NilError(c.t, err)
	f := &fakeFleet{address: l.Addr().String()}
	f.task = &fleet.Task{
		Self:        fleet.VM{Name: "vm_0", DataCentre: fakeDataCentre, Address: fleet.Address(f.address)},
		Incarnation: "fedcba9876543210",
		Config:      &platform.Config{Client: platform.Client{BaseURL: "http://" + c.configAddr}},
		VMs:         &platform.VMs{Client: platform.Client{BaseURL: "http://" + c.vmListAddr}},
		Peers:       noPeerCaller{},
		Gateways:    allGateways{},
		Parse:       func([]fleet.Value) (*table.Table, error) { return &table.Table{}, nil },
	}
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	g.Go(func() error { return f.task.Run(ctx) })
	g.Go(func() error {
		return (&wire.Server{Secret: testSecret, Work: f, Peer: f}).Serve(ctx, countingListener{l, f})
	})
	c.t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
	return f
}

// syncPeriodically sends sync requests to a process as its peers do.
func syncPeriodically(ctx context.Context, to string, perSecond int) {
	d := &wire.Dialer{Secret: testSecret}
	defer d.Close()
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_, _ = wire.NewDRPCPeerClient(d.To(to)).Sync(ctx, &wire.SyncRequest{From: "127.0.0.1:1", Incarnation: "f"})
		}
	}
}

// fleetSize is the size of the fleet that a gateway knows.
type fleetSize struct {
	accounts, vms, replicas, models int
	// edits is the number of edits during measureWindow. Each edit changes all rows
	// of one section of accounts.
	edits int
}

func (s fleetSize) String() string {
	return fmt.Sprintf("accounts=%d/vms=%d/replicas=%d/models=%d/edits=%d", s.accounts, s.vms, s.replicas, s.models, s.edits)
}

const (
	accountSections = 16
	fakeDataCentre  = "dc_fake"
)

// publish publishes a table and a VM list of the given size.
func (s fleetSize) publish(c *cluster, address string) {
	var dcs, classes, upstreams strings.Builder
	dcs.WriteString("name,region,state\nnorth,r1,in\n")
	for n := 1; n < 8; n++ {
		fmt.Fprintf(&dcs, "dc_%d,r%d,in\n", n, n/2+1)
	}
	classes.WriteString("name,tier,kind,idempotent,first_token,token_gap,deadline\nquick,1,engine,yes,1.6s,29ms,30s\n")
	upstreams.WriteString("name,data_centre,kind,serves,limit,cold_limit\n")
	for n := range s.replicas {
		fmt.Fprintf(&upstreams, "up_%d,%s,engine,model_%d,16,1\n", n, dataCentreOf(n), n/8%s.models)
	}
	c.config.Set("data_centres", []byte(dcs.String()))
	c.config.Set("classes", []byte(classes.String()))
	c.config.Set("upstreams", []byte(upstreams.String()))
	for part := range accountSections {
		c.config.Set(fmt.Sprintf("accounts_%02d", part), s.accountSection(part, 0))
	}
	for n := range s.vms {
		vm := fleet.VM{Name: fleet.VMName(fmt.Sprintf("vm_%d", n)), Role: fleet.Gateway, DataCentre: dataCentreOf(n), Address: fleet.Address(address), State: fleet.Live}
		if n == 0 {
			// The fake fleet is the only process in its data centre, so that it
			// reads the platform itself.
			vm.DataCentre = fakeDataCentre
		}
		if n < s.replicas {
			vm.Role, vm.Upstream = fleet.Sidecar, table.UpstreamName(fmt.Sprintf("up_%d", n))
		}
		c.vms.Set(vm)
	}
}

func dataCentreOf(n int) table.DataCentreName {
	if n%8 == 0 {
		return "north"
	}
	return table.DataCentreName(fmt.Sprintf("dc_%d", n%8))
}

func (s fleetSize) accountSection(part, edit int) []byte {
	var b strings.Builder
	b.WriteString("name,key_sha256,classes,weight,requests_per_second,burst,comment\n")
	for n := part; n < s.accounts; n += accountSections {
		fmt.Fprintf(&b, "account_%d,%x,quick,5,20,40,edit %d\n", n, sha256.Sum256([]byte(strconv.Itoa(n))), edit)
	}
	return []byte(b.String())
}

// BenchmarkControlScaling measures one real gateway that knows fleets of several
// sizes and serves no requests. Run it with -benchtime 1x.
func BenchmarkControlScaling(b *testing.B) {
	sizes := []fleetSize{
		{accounts: 100, vms: 50, replicas: 30, models: 1},
		{accounts: 1000, vms: 50, replicas: 30, models: 1},
		{accounts: 5300, vms: 50, replicas: 30, models: 1},
		{accounts: 5300, vms: 400, replicas: 300, models: 3},
		{accounts: 5300, vms: 1450, replicas: 1100, models: 10},
		{accounts: 5300, vms: 1450, replicas: 1100, models: 10, edits: 8},
	}
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			for b.Loop() {
				s.measure(b)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func (s fleetSize) measure(b *testing.B) {
	c := &cluster{t: b, config: &standin.Config{}, vms: &standin.VMs{}}
	c.configAddr = c.serve(c.config.Service())
	c.vmListAddr = c.serve(c.vms.Service())
	fake := startFakeFleet(c)
	s.publish(c, fake.address)
	c.await("the fake fleet to be ready", func() bool { return fake.task.View().Ready })
	p := c.gateway("gw_measured", "north")
	c.awaitReady(p)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go syncPeriodically(ctx, string(p.vm.Address), 2)
	go s.edit(ctx, c)
	<-time.After(measureWarmUp)
	before := fake.total()
	begin := time.Now()
	percent, after := p.measureUsage()
	b.ReportMetric(float64(fake.watches.Load()), "watches")
	b.ReportMetric(percent, "cpu-%")
	b.ReportMetric(after.resident/1e6, "resident-MB")
	b.ReportMetric((fake.total()-before)/time.Since(begin).Seconds()/1000, "peer-KB/s")
	p.kill()
}

// edit changes one section of accounts after another, at a steady rate during the
// warm-up and the measurement.
func (s fleetSize) edit(ctx context.Context, c *cluster) {
	if s.edits == 0 {
		return
	}
	ticker := time.NewTicker(measureWindow / time.Duration(s.edits))
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.config.Set(fmt.Sprintf("accounts_%02d", n%accountSections), s.accountSection(n%accountSections, n))
		}
	}
}
