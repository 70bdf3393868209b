package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the settings file, those of the small deployment acru-moves.
const (
	memoryLimitMB = 284
	// descriptorLimit is the number of descriptors of a process.
	descriptorLimit = 4100
	contact         = 3 * time.Second
)

// gateway is a process of the project, started with the command of the deploy file.
type gateway struct {
	name                       string
	zone                       string
	callers, ready, peers, dir string
	metricsPort                int

	mu        sync.Mutex
	cmd       *exec.Cmd
	startedAt time.Time
	exited    chan struct{}
	// peakMB is the largest resident memory seen, and overLimit counts the ends of the
	// process because its memory exceeded the limit.
	peakMB    int
	overLimit int
	// unexpected counts the ends of the process that nothing of the test caused.
	unexpected int
	stopping   bool
}

// newGateway reserves addresses on the loopback address ip, and writes the settings file.
func newGateway(dir, name, zone, ip, storeAddress string) (*gateway, error) {
	g := &gateway{name: name, zone: zone, dir: dir}
	for _, a := range []*string{&g.callers, &g.ready, &g.peers} {
		free, err := freeAddress(ip)
		if err != nil {
			return nil, err
		}
		*a = free
	}
	m, err := freeAddress(ip)
	if err != nil {
		return nil, err
	}
	_, port, _ := net.SplitHostPort(m)
	g.metricsPort, _ = strconv.Atoi(port)
	return g, g.writeSettings(ip, storeAddress, nil)
}

func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func (g *gateway) settingsPath() string { return filepath.Join(g.dir, g.name+".conf") }

func (g *gateway) writeSettings(ip, storeAddress string, seeds []string) error {
	text := fmt.Sprintf(`nodeName=%s
role=gateway
machineClass=frontend
serves=frontend,control_plane
ipAddress=%s
zone=%s
region=guj-west
listenAddresses.frontend=%s
listenAddresses.ready=%s
listenAddresses.controlPlane=%s
seedNodes=%s
isBootstrap=true
limits.cpuFraction=0.304
limits.cpuSpeed=1
limits.memoryMb=%d
limits.fileDescriptors=%d
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entryPoint=virtual_ip
heartbeatIntervalMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform
faultTolerance.machines=2
faultTolerance.zones=1
faultTolerance.regions=0
bounds.seedLagS=3
bounds.addressReuseS=2
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.catchUpS=4
bounds.drainTimeoutMs=2000
bounds.gracePeriodS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxSkewMs=5000
bounds.revocationStrict=false
bounds.revocationMs=5000
bounds.retryBudgetRatio=0.2
bounds.retryWindowS=10
bounds.retryBudgetExtra=56
bounds.coldFactor=1.5
bounds.coldSlack=5
bounds.evacuationMs=5000
bounds.recoveryS=12
bounds.passMs=120
bounds.reuseWindowS=10
platform.address=%s
platform.form=read
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
`, g.name, ip, g.zone, g.callers, g.ready, g.peers, strings.Join(seeds, ","), memoryLimitMB, descriptorLimit, storeAddress)
	return os.WriteFile(g.settingsPath(), []byte(text), 0o600)
}

// start starts the process. Its output goes to a file in the temporary folder.
func (g *gateway) start() error {
	out, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/jasminewing direct", descriptorLimit))
	c.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		"JASMINEWING_NODE_FILE=" + g.settingsPath(), fmt.Sprintf("JASMINEWING_METRICS_PORT=%d", g.metricsPort),
	}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.exited, g.startedAt = c, exited, time.Now()
	g.mu.Unlock()
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	return nil
}

// isReady reports whether the readiness check succeeds.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get("http://" + g.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (g *gateway) waitReady(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.isReady() {
			return true
		}
	}
	return false
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(s)
	}
}

// inTouch reports whether the process had run for contactMs at a time, without regard to
// ends of its own, as RULES.md tells under "Own ends".
func (g *gateway) firstStarted() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.startedAt
}

// supervise does what DEPLOY.md says of a process: it is killed if its memory exceeds the
// limit, and is started again after a short delay when it has ended. It returns when stop
// is closed.
func (g *gateway) supervise(r *record, stop chan struct{}) {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		g.mu.Lock()
		exited, pid := g.exited, g.cmd.Process.Pid
		g.mu.Unlock()
		over := false
		select {
		case <-stop:
			return
		case <-exited:
		case <-t.C:
			mb := residentMB(pid)
			g.peakMB = max(g.peakMB, mb)
			if mb <= memoryLimitMB {
				continue
			}
			over = true
			r.note("platform: %s has %d MB of memory, more than the %d MB of its machine: killed", g.name, mb, memoryLimitMB)
			g.signal(syscall.SIGKILL)
			<-exited
		}
		g.mu.Lock()
		stopping := g.stopping
		g.mu.Unlock()
		switch {
		case over:
			g.overLimit++
		case stopping:
			return
		default:
			g.unexpected++
			r.note("platform: %s ended by itself", g.name)
		}
		time.Sleep(500 * time.Millisecond)
		if err := g.start(); err != nil {
			r.note("platform: %s can't be started: %v", g.name, err)
			return
		}
	}
}

// residentMB returns the resident anonymous memory of a process in MB, which leaves out the pages
// of its program file.
func residentMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for s := bufio.NewScanner(bytes.NewReader(b)); s.Scan(); {
		if rest, ok := strings.CutPrefix(s.Text(), "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// kill ends the process for good.
func (g *gateway) kill() {
	g.mu.Lock()
	g.stopping = true
	exited := g.exited
	g.mu.Unlock()
	if exited == nil {
		return
	}
	g.signal(syscall.SIGKILL)
	<-exited
}
