package main

import (
	"fmt"
	"time"
)

// tableOf returns the configuration: a route for each kind, two services and one tenant.
func tableOf(version int) map[string]any {
	route := func(name, path, kind, service string, timeoutMS, targetMS, priority, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": "crate.example", "pathPrefix": path, "kind": kind, "timeoutMs": timeoutMS, "targetLatencyMs": targetMS,
			"priority": priority, "service": service, "maxAttempts": attempts, "public": false,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	engine := map[string]any{
		"slots": 128, "kvCacheTokens": 554538, "kvTokenBytes": 35136, "linkMbps": 130000.0, "moves": true, "backups": true, "stride": 3,
		"most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handlingS": 5.0, "models": []any{map[string]any{"name": "m"}},
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("manifest-draft", "/manifest/", "streaming", "servers", 12000, 2500, 2, 1, map[string]any{"sticky": true, "resumable": false, "targetGapMs": 800}),
			route("archive-check", "/archive/", "streaming", "servers", 8000, 800, 1, 2, map[string]any{"sticky": true, "resumable": true, "targetGapMs": 300}),
			route("crate-label", "/label/", "streaming", "servers", 15000, 500, 0, 1, map[string]any{"sticky": true, "resumable": false, "targetGapMs": 200}),
			route("lot-booking", "/booking/", "non_idempotent", "desk", 800, 300, 2, 1, nil),
			route("crate-lookup", "/lookup/", "idempotent", "desk", 800, 300, 2, 2, nil),
		},
		"services": []any{
			map[string]any{"name": "servers", "healthPath": "/health", "maxConnections": 620, "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": 6.9, "inferenceEngine": engine},
			map[string]any{"name": "desk", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{clientKey}, "priority": 1}},
	}
}

// deployment is a small deployment like acru-moves.
type deployment struct {
	store    *store
	record   *record
	engines  []*replica
	desks    []*replica
	gateways []*gateway
	dir      string
}

// newDeployment starts the store and the replicas, and then the gateways.
func newDeployment(dir string, gateways int, prepare func(*replica)) (*deployment, error) {
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	d := &deployment{store: s, record: newRecord(), dir: dir}
	s.put("op/config", tableOf(7))
	zones := []string{"sabarmati", "naroda", "vatva", "sarkhej"}
	for n := range 18 {
		r := &replica{id: fmt.Sprintf("i-e%d", n+1), service: "servers", zone: zones[n%len(zones)], engine: true, record: d.record}
		prepare(r)
		if err := startReplica(r, s); err != nil {
			return nil, err
		}
		d.engines = append(d.engines, r)
	}
	for n := range 4 {
		r := &replica{id: fmt.Sprintf("i-d%d", n+1), service: "desk", zone: zones[n], record: d.record}
		prepare(r)
		if err := startReplica(r, s); err != nil {
			return nil, err
		}
		d.desks = append(d.desks, r)
	}
	var seeds []string
	for n := range gateways {
		g, err := newGateway(dir, fmt.Sprintf("frontend-%d", n+1), zones[n%len(zones)], fmt.Sprintf("127.0.1.%d", n+1), s.address)
		if err != nil {
			return nil, err
		}
		d.gateways = append(d.gateways, g)
		if n < 3 {
			seeds = append(seeds, g.peers)
		}
	}
	for n, g := range d.gateways {
		if err := g.writeSettings(fmt.Sprintf("127.0.1.%d", n+1), s.address, seeds); err != nil {
			return nil, err
		}
		if err := g.start(); err != nil {
			return nil, err
		}
	}
	for _, g := range d.gateways {
		if !g.waitReady(10 * time.Second) {
			return d, fmt.Errorf("%s is not ready after 10 s", g.name)
		}
	}
	return d, nil
}

// end ends all processes.
func (d *deployment) end() {
	for _, g := range d.gateways {
		g.kill()
	}
}
