package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	crashBody = `{"question":"crash"}`
	// crashGateways and crashReplicas are the machines of a small deployment.
	crashGateways, crashReplicas = 6, 12
	// contact is contactMs of the settings.
	contact = 3 * time.Second
	// replicaBack is how long after its crash a replica is back.
	replicaBack = 4 * time.Second
	// crashGap is the time between two attempts of the request that crashes replicas.
	crashGap = 1200 * time.Millisecond
)

// playStaleSeeds starts all machines with seeds that are stale. Eight seconds later their settings
// files name three machines that run, and all get SIGHUP. After another 15 s a request comes again
// and again, at each machine in turn, that crashes the replicas which run it. Broken: it reaches
// replicas in more than three retries later than contactMs after it has crashed the third.
func playStaleSeeds(p *play) (bool, error) {
	p.store.put("op/config", llmConfig(64, 505_611))
	t := &crashes{play: p}
	for n := range crashReplicas {
		if _, err := p.addReplica("pool", fmt.Sprintf("z%d", n%3), 64, t.answer); err != nil {
			return false, err
		}
	}
	if err := p.addGateways(crashGateways, fleet{memoryMB: 284, seeds: 3, zones: []string{"z0", "z1", "z2"}}); err != nil {
		return false, err
	}
	if p.trouble {
		if err := p.writeSeeds([]string{"127.0.78.1:7341", "127.0.78.2:7341", "127.0.78.3:7341"}); err != nil {
			return false, err
		}
	}
	for _, g := range p.gateways {
		if err := g.start(); err != nil {
			return false, err
		}
	}
	if err := awaitReady(p.gateways, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	if p.trouble {
		live := []string{p.gateways[0].peers, p.gateways[1].peers, p.gateways[2].peers}
		if err := p.writeSeeds(live); err != nil {
			return false, err
		}
		for _, g := range p.gateways {
			g.signal(syscall.SIGHUP)
		}
		p.record("the settings files name the seeds %s, and all processes get SIGHUP", strings.Join(live, ","))
	}
	time.Sleep(15 * time.Second)
	stop := make(chan struct{})
	var sound sync.WaitGroup
	sound.Go(func() { t.sendSound(stop) })
	c := newClient()
	for n := range 4 * crashGateways {
		t.sendCrash(c, p.gateways[n%crashGateways])
		time.Sleep(crashGap)
	}
	close(stop)
	sound.Wait()
	return t.verdict(), nil
}

// writeSeeds replaces the seeds in all settings files.
func (p *play) writeSeeds(seeds []string) error {
	for _, g := range p.gateways {
		data, err := os.ReadFile(g.settings)
		if err != nil {
			return err
		}
		lines := strings.Split(string(data), "\n")
		for n := range lines {
			if strings.HasPrefix(lines[n], "seedNodes=") {
				lines[n] = "seedNodes=" + strings.Join(seeds, ",")
			}
		}
		if err := os.WriteFile(g.settings, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process.
func (g *gateway) signal(s os.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(s)
	}
}

// crashes counts what the request has done that crashes replicas.
type crashes struct {
	play *play

	mu sync.Mutex
	// at holds when it has crashed a replica, and retries when its retries have reached one.
	at, retries []time.Duration
	arrivals    int
	served      atomic.Int64
	cut         atomic.Int64
}

// answer runs a request. One with the body in question crashes the replica.
func (t *crashes) answer(r *replica, w http.ResponseWriter, q *http.Request) {
	if q.Header.Get("X-Crash") == "" {
		r.stream(w, q, 200*time.Millisecond, 100*time.Millisecond, 15)
		return
	}
	t.mu.Lock()
	now := t.play.since()
	if t.arrivals++; t.arrivals > 1 {
		t.retries = append(t.retries, now)
	}
	t.at = append(t.at, now)
	t.play.record("attempt %s reaches replica %s and crashes it, the crash %d", q.Header.Get("X-Attempt-Id"), r.name(), len(t.at))
	t.mu.Unlock()
	r.crash()
	time.AfterFunc(replicaBack, func() {
		if err := r.start(); err != nil {
			t.play.record("a replica is not back: %v", err)
		}
	})
}

func (t *crashes) sendCrash(c *client, g *gateway) {
	id := newAttempt()
	a := c.send(g, id, request{
		method: http.MethodPost, host: llmHost, path: "/chat/2f", body: crashBody, timeout: 10 * time.Second,
		header: map[string]string{"X-Key": llmKey, "X-Model": "m", "X-Token-Count": "1460,80", "X-Prompt-Prefix": "5c1e07a2:1460", "X-Crash": "1"},
	})
	t.play.record("attempt %s at %s: status %d, error %v", id, g.name, a.status, a.err)
}

// sendSound sends sound requests, no two alike, until stop is closed.
func (t *crashes) sendSound(stop chan struct{}) {
	var sending sync.WaitGroup
	tick := time.NewTicker(40 * time.Millisecond)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			sending.Wait()
			return
		case <-tick.C:
		}
		sending.Go(func() {
			a := newClient().send(t.play.gateways[n%len(t.play.gateways)], newAttempt(), request{
				method: http.MethodPost, host: llmHost, path: "/chat/2f", body: fmt.Sprintf(`{"question":%d}`, n), timeout: 10 * time.Second,
				header: map[string]string{"X-Key": llmKey, "X-Model": "m", "X-Token-Count": "500,80", "X-Prompt-Prefix": fmt.Sprintf("%08x:500", 0xa0000000+n)},
			})
			if a.status == http.StatusOK && a.err != nil {
				t.cut.Add(1)
			} else if a.status == http.StatusOK {
				t.served.Add(1)
			}
		})
	}
}

// verdict records what the rule counts and reports whether it is broken.
func (t *crashes) verdict() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	late := 0
	if len(t.at) >= 3 {
		for _, at := range t.retries {
			if at > t.at[2]+contact {
				late++
			}
		}
	}
	t.play.record("%d replicas crashed; %d retries reached replicas later than %s after the third crash; %d sound streams were served, %d were broken off",
		len(t.at), late, contact, t.served.Load(), t.cut.Load())
	return late > 3
}
