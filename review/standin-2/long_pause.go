package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	pauseHost, pauseKey = "desk.example", "n2ctnfzs989anu6wsjnb"
	// pauseAsked is the Retry-After of the replica, and pauseGrace the time from which the rule
	// counts.
	pauseAsked, pauseGrace = 60 * time.Second, 500 * time.Millisecond
	pauseAfter, pauseRate  = 5 * time.Second, 40
)

// playLongPause lets one of three replicas turn a request of the machine away with 503 and
// Retry-After: 60. It serves all others that reach it. Broken: more than two requests reach it from
// the machine between half a second after that answer and the end of the minute.
func playLongPause(p *play) (bool, error) {
	p.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-lookup", "host": pauseHost, "pathPrefix": "/lookup/", "kind": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 100,
			"priority": 0, "service": "desk", "maxAttempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "maxConnections": 110, "coldStartS": 0, "coldPerS": 0}},
		"limits":   limitsConfig(),
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{pauseKey}}},
	})
	var mu sync.Mutex
	var asked time.Duration
	counted := 0
	for n := range 3 {
		_, err := p.addReplica("desk", fmt.Sprintf("z%d", n), 6, func(r *replica, w http.ResponseWriter, q *http.Request) {
			now := p.since()
			mu.Lock()
			turnsAway := n == 0 && p.trouble && asked == 0 && now >= pauseAfter
			if turnsAway {
				asked = now
			}
			late := n == 0 && asked > 0 && now > asked+pauseGrace && now < asked+pauseAsked
			if late {
				if counted++; counted <= 20 {
					p.record("request %s reaches replica %s %s after it has asked for a pause", q.Header.Get("X-Attempt-Id"), r.name(), now-asked)
				}
			}
			mu.Unlock()
			if turnsAway {
				p.record("replica %s turns request %s away with Retry-After: %g", r.name(), q.Header.Get("X-Attempt-Id"), pauseAsked.Seconds())
				w.Header().Set("X-Not-Executed", "1")
				w.Header().Set("Retry-After", fmt.Sprintf("%g", pauseAsked.Seconds()))
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			sleepFor(q, 15*time.Millisecond)
			r.sign(w)
			_, _ = fmt.Fprintf(w, "%0800d", 1)
		})
		if err != nil {
			return false, err
		}
	}
	if err := p.addGateways(1, fleet{memoryMB: 284, seeds: 1, zones: []string{"z0"}}); err != nil {
		return false, err
	}
	if err := p.gateways[0].start(); err != nil {
		return false, err
	}
	if err := awaitReady(p.gateways, 10*time.Second); err != nil {
		return false, err
	}
	var served, other atomic.Int64
	var sending sync.WaitGroup
	end := p.began.Add(pauseAfter + pauseAsked + 5*time.Second)
	for range 8 {
		sending.Go(func() {
			c := newClient()
			for time.Now().Before(end) {
				a := c.send(p.gateways[0], newAttempt(), request{
					method: http.MethodGet, host: pauseHost, path: "/lookup/2f", timeout: 1500 * time.Millisecond,
					header: map[string]string{"X-Key": pauseKey},
				})
				if a.err == nil && a.status == http.StatusOK {
					served.Add(1)
				} else {
					other.Add(1)
				}
				time.Sleep(8 * time.Second / pauseRate)
			}
		})
	}
	sending.Wait()
	mu.Lock()
	defer mu.Unlock()
	p.record("served %d, other ends %d; %d requests reached the replica in the pause that it had asked for", served.Load(), other.Load(), counted)
	if p.trouble && asked == 0 {
		return false, fmt.Errorf("no request reached the replica")
	}
	return counted > 2, nil
}
