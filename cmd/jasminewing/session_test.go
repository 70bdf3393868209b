package main

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// buildStandin builds the program cmd/standin and returns its path.
func buildStandin(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "standin")
	out, err := exec.Command("go", "build", "-o", path, "../standin").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return path
}

// startStandin starts a simulated service as a separate process and returns the
// addresses that it prints, by name.
func startStandin(t *testing.T, program string, want int, args ...string) (*proc, map[string]string) {
	t.Helper()
	p := &proc{t: t, command: exec.Command(program, append(args, "--listen", loopback)...), exited: make(chan struct{})}
	p.run()
	addresses := make(map[string]string)
	(&cluster{t: t}).await("addresses of "+args[0], func() bool {
		for _, l := range p.output() {
			if name, address, ok := strings.Cut(l, " "); ok {
				addresses[name] = address
			}
		}
		return len(addresses) >= want
	})
	return p, addresses
}

// Two gateways, three sidecars and the simulated upstreams, each a separate process,
// serve a sequence of requests. The golden file holds the replies and exit statuses.
func TestSession(t *testing.T) {
	t.Parallel()
	program := buildStandin(t)
	c := newCluster(t)
	_, engine1 := startStandin(t, program, 1, "engine")
	_, engine2 := startStandin(t, program, 1, "engine")
	_, booking := startStandin(t, program, 1, "booking")
	sidecars := []*proc{
		c.sidecar("draft_1", "north", engine1["listening"]),
		c.sidecar("draft_3", "south", engine2["listening"]),
		c.sidecar("booking_1", "north", booking["listening"]),
	}
	gateways := []*proc{c.gateway("gw_1", "north"), c.gateway("gw_2", "south")}
	c.awaitReady(append(gateways, sidecars...)...)

	var log strings.Builder
	requests := []request{
		{path: "/v1/chat/completions", body: `{"model":"draft","stream":true,"max_tokens":4,"messages":[]}`},
		{path: "/v1/chat/completions", class: "season_summary", body: `{"model":"draft","max_tokens":4,"messages":[]}`},
		{path: "/v1/completions", body: `{"model":"draft","max_tokens":4,"prompt":"Where?"}`},
		{path: "/services/pitch_booking/bookings", key: "pitch-12", body: `{"booking":"pitch-12"}`},
		{path: "/services/pitch_booking/bookings", key: "pitch-12", body: `{"booking":"pitch-13"}`},
		{path: "/v1/chat/completions", body: `{"model":"unknown"}`},
		{path: "/v1/chat/completions", body: `{"model":`},
		{path: "/v1/chat/completions", class: "no_such_class", body: `{"model":"draft"}`},
		{path: "/v1/chat/completions", bearer: "wrong", body: `{"model":"draft"}`},
		{path: "/v1/nothing", body: `{}`},
	}
	for _, r := range requests {
		for i, g := range gateways {
			writeTranscript(&log, fmt.Sprintf("gateway %d", i+1), r, g.send(r))
		}
	}
	for _, p := range append(gateways, sidecars...) {
		fmt.Fprintf(&log, "stop %s: status %d\n", p.vm.Name, p.stop())
	}
	golden.Assert(t, log.String(), "session.golden")
}
