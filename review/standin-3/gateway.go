package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

// gateway is a process of the program under test.
type gateway struct {
	name, ip, program, folder string
	settings                  string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

const (
	callerPort = 18227
	readyPort  = 18220
	peerPort   = 18229
)

func (g *gateway) caller() string { return fmt.Sprintf("%s:%d", g.ip, callerPort) }
func (g *gateway) ready() string  { return fmt.Sprintf("%s:%d", g.ip, readyPort) }

// newGateways writes the settings of count gateways, whose seeds are the first three.
func newGateways(program, folder string, count int, network int, storeAddress string) ([]*gateway, error) {
	var all []*gateway
	var seeds []string
	for n := range count {
		g := &gateway{name: fmt.Sprintf("frontend-a-%d", n+1), ip: fmt.Sprintf("127.%d.1.%d", network, n+1), program: program, folder: folder}
		all = append(all, g)
		if n < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", g.ip, peerPort))
		}
	}
	for _, g := range all {
		lines := []string{
			"nodeName=" + g.name, "role=gateway", "machineClass=frontend", "serves=frontend,control_plane",
			"ipAddress=" + g.ip, "zone=a", "region=r", "zones.a=r",
			"listenAddresses.frontend=" + g.caller(), "listenAddresses.ready=" + g.ready(),
			fmt.Sprintf("listenAddresses.controlPlane=%s:%d", g.ip, peerPort),
			"internalPortRange=7340,7355", "seedNodes=" + strings.Join(seeds, ","), "isBootstrap=true", "isFaultCounted=false",
			"limits.cpuFraction=0.304", "limits.cpuSpeed=1", "limits.memoryMb=284", "limits.fileDescriptors=4100",
			"limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entryPoint=virtual_ip", "heartbeatIntervalMs=1200",
			"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform",
			"faultTolerance.machines=2", "faultTolerance.zones=1", "faultTolerance.regions=0",
			"bounds.seedLagS=3", "bounds.addressReuseS=2", "bounds.contactMs=3000", "bounds.ackTimeoutMs=4000", "bounds.catchUpS=4",
			"bounds.drainTimeoutMs=2000", "bounds.gracePeriodS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000",
			"bounds.rollbackSlackMs=250", "bounds.maxSkewMs=5000", "bounds.revocationStrict=false", "bounds.revocationMs=5000",
			"bounds.retryBudgetRatio=0.2", "bounds.retryWindowS=10", "bounds.retryBudgetExtra=56",
			fmt.Sprintf("bounds.coldFactor=%g", coldFactor), fmt.Sprintf("bounds.coldSlack=%g", coldSlack),
			"bounds.evacuationMs=5000", "bounds.recoveryS=12", "bounds.passMs=120", "bounds.reuseWindowS=10",
			"platform.address=" + storeAddress, "platform.form=read", "platform.writesPerS=400", "platform.readsPerS=2000",
			"platform.historyS=20", "platform.valueBytes=1048576", "platform.minTtlMs=1000",
		}
		g.settings = filepath.Join(folder, g.name+".conf")
		if err := os.WriteFile(g.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// start starts the process with the command of the deploy file.
func (g *gateway) start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(g.folder, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(g.program, "direct")
	command.Env = append(os.Environ(), "JASMINEWING_NODE_FILE="+g.settings)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.command, g.ended = command, ended
	go func() {
		_ = command.Wait()
		_ = out.Close()
		close(ended)
	}()
	return nil
}

// kill sends SIGKILL and waits for the end.
func (g *gateway) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.command == nil {
		return
	}
	_ = g.command.Process.Kill()
	<-g.ended
	g.command = nil
}
