package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// gateway is a process of the deploy file's role.
type gateway struct {
	play     *play
	name, ip string
	settings string
	// callers, ready and peers are the addresses that it listens on.
	callers, ready, peers string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// fleet holds the settings that gateways share. Empty fields are left out.
type fleet struct {
	memoryMB int
	// seeds is the number of gateways that the settings name as seeds, the first ones.
	seeds int
	// zones are given to the gateways in turn.
	zones []string
	// more are further lines.
	more []string
}

// addGateways makes gateways, each with a loopback address of its own, and starts none.
func (p *play) addGateways(count int, f fleet) error {
	var seeds []string
	for n := range count {
		g := &gateway{play: p, name: fmt.Sprintf("frontend-%d", n+1), ip: fmt.Sprintf("127.%d.77.%d", 1+os.Getpid()%250, n+1)}
		ports, err := freePorts(g.ip, 3)
		if err != nil {
			return err
		}
		g.callers, g.ready, g.peers = ports[0], ports[1], ports[2]
		if n < f.seeds {
			seeds = append(seeds, g.peers)
		}
		p.gateways = append(p.gateways, g)
	}
	for n, g := range p.gateways {
		lines := []string{
			"nodeName=" + g.name, "role=gateway", "machineClass=frontend", "serves=frontend,control_plane",
			"ipAddress=" + g.ip, "zone=" + f.zones[n%len(f.zones)], "region=r",
			"listenAddresses.frontend=" + g.callers, "listenAddresses.ready=" + g.ready, "listenAddresses.controlPlane=" + g.peers,
			"seedNodes=" + strings.Join(seeds, ","), "isBootstrap=true", "isFaultCounted=false",
			"limits.memoryMb=" + strconv.Itoa(f.memoryMB), "limits.fileDescriptors=4100",
			"discovery=platform", "entryPoint=virtual_ip", "heartbeatIntervalMs=1200",
			"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform",
			"bounds.addressReuseS=2", "bounds.contactMs=3000", "bounds.drainTimeoutMs=2000", "bounds.gracePeriodS=8",
			"bounds.configApplyMs=2000", "bounds.retryBudgetRatio=0.2", "bounds.retryWindowS=10", "bounds.retryBudgetExtra=56",
			"bounds.coldFactor=1.5", "bounds.coldSlack=5", "bounds.evacuationMs=5000", "bounds.recoveryS=12",
			"platform.address=" + p.store.address, "platform.form=read", "platform.readsPerS=2000", "platform.historyS=20",
		}
		g.settings = filepath.Join(p.dir, g.name+".conf")
		if err := os.WriteFile(g.settings, []byte(strings.Join(append(lines, f.more...), "\n")+"\n"), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// freePorts returns addresses with free ports.
func freePorts(ip string, count int) ([]string, error) {
	var out []string
	for range count {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// start starts the process, with its log in the folder of the play.
func (g *gateway) start() error {
	out, err := os.OpenFile(filepath.Join(g.play.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(g.play.program, "direct")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JASMINEWING_NODE_FILE=" + g.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	g.mu.Lock()
	g.cmd, g.done = cmd, done
	g.mu.Unlock()
	g.play.record("%s starts", g.name)
	return nil
}

// kill ends the process with SIGKILL and waits for its end.
func (g *gateway) kill() {
	g.mu.Lock()
	cmd, done := g.cmd, g.done
	g.cmd = nil
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// ended reports whether the process has ended by itself.
func (g *gateway) ended() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return false
	}
	select {
	case <-g.done:
		return true
	default:
		return false
	}
}

// memoryMB returns the private resident memory of the process in MiB, without the pages of its
// program.
func (g *gateway) memoryMB() float64 {
	g.mu.Lock()
	cmd := g.cmd
	g.mu.Unlock()
	if cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(v), "kB")), 64)
			return kb / 1024
		}
	}
	return 0
}

// isReady asks the process whether it is ready, as the platform does.
func (g *gateway) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + g.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the processes are ready.
func awaitReady(gateways []*gateway, longest time.Duration) error {
	until := time.Now().Add(longest)
	for _, g := range gateways {
		for !g.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %s", g.name, longest)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
