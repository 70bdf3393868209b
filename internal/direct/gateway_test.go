package direct

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
)

func TestCalls(t *testing.T) {
	ok := responseText(200, "Signed: 1\r\n", "ok")
	full := responseText(503, "Signed: 1\r\nNot-Run: 1\r\n", "")
	foreign := "HTTP/1.1 404 X\r\nContent-Length: 9\r\nConnection: close\r\n\r\nnot found!"
	tests := []struct {
		name, path string
		scripts    []string
		want       string
		attempts   int
	}{
		{"whole", "/book/1", []string{ok}, "200 ok", 1},
		{"response to another request first", "/book/1", []string{strings.Replace(responseText(200, "Signed: 1\r\n", "no"), "ID", "6", 1) + ok}, "200 ok", 1},
		{"cut, may run once", "/book/1", []string{"!"}, "502 code 4008", 1},
		{"cut in its response, may run once", "/book/1", []string{"HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Length: 9\r\n\r\nok!"}, "502 code 4008", 1},
		{"not HTTP, may run once", "/book/1", []string{"garbage\r\n\r\n!"}, "502 code 4008", 1},
		{"cut, may run again", "/look/1", []string{"!", ok}, "200 ok", 2},
		{"failed, may run again", "/look/1", []string{responseText(500, "Signed: 1\r\n", "no"), ok}, "200 ok", 2},
		{"failed twice", "/look/1", []string{responseText(500, "Signed: 1\r\n", "no")}, "500 no", 2},
		{"failed, may run once", "/book/1", []string{responseText(500, "Signed: 1\r\n", "no")}, "500 no", 1},
		{"not run", "/book/1", []string{full}, "503 code 4006", 1},
		{"not run, two attempts", "/look/1", []string{full, ok}, "200 ok", 2},
		{"ran, then not run", "/look/1", []string{"!", full}, "502 code 4013", 2},
		{"503 that does not say not run", "/book/1", []string{responseText(503, "Signed: 1\r\n", "")}, "502 code 4007", 1},
		{"cut, may run once, two attempts allowed", "/claim/1", []string{"!", ok}, "502 code 4008", 1},
		{"failed, may run once, two attempts allowed", "/claim/1", []string{responseText(500, "Signed: 1\r\n", "no"), ok}, "500 no", 1},
		{"not run, may run once, two attempts allowed", "/claim/1", []string{full, ok}, "200 ok", 2},
		{"another upstream", "/book/1", []string{responseText(421, "Signed: 1\r\n", "")}, "503 code 4015", 1},
		{"success that is not the upstream's own", "/book/1", []string{responseText(200, "", "ok")}, "502 code 4007", 1},
		{"error that is not the upstream's own, may run once", "/book/1", []string{foreign, ok}, "502 code 4007", 1},
		{"error that is not the upstream's own, stream", "/draft/1", []string{foreign, ok}, "502 code 4007", 1},
		{"error that is not the upstream's own, may run again", "/look/1", []string{foreign, ok}, "200 ok", 2},
		{"error that is not the upstream's own, twice", "/look/1", []string{foreign}, "502 code 4007", 2},
		{"error that is not the upstream's own, not run", "/book/1", []string{strings.Replace(foreign, "Content", "Not-Run: 1\r\nContent", 1)}, "502 code 4007", 1},
		{"stream", "/draft/1", []string{streamStart(eventText(1), eventText(2)) + streamEnd}, "200 " + eventText(1) + eventText(2), 1},
		{"stream without length", "/draft/1", []string{"HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\n\r\n" + eventText(1) + "!"}, "200 " + eventText(1), 1},
		{"stream cut", "/draft/1", []string{streamStart(eventText(1), eventText(2)) + "!"}, "200 " + eventText(1) + eventText(2) + "!", 1},
		{"stream cut before its first event", "/draft/1", []string{streamStart() + "!"}, "502 code 4008", 1},
		{"stream cut, resumed", "/note/1", []string{streamStart(eventText(1), "id: 2\nda") + "!", streamStart(eventText(2)) + streamEnd}, "200 " + eventText(1) + eventText(2), 2},
		{"stream resumed at the wrong event", "/note/1", []string{streamStart(eventText(1)) + "!", streamStart(eventText(1)) + streamEnd}, "200 " + eventText(1) + "!", 2},
		{"stream cut twice", "/note/1", []string{streamStart(eventText(1)) + "!", streamStart(eventText(2)) + "!"}, "200 " + eventText(1) + eventText(2) + "!", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 3, tt.scripts...)
			assert.Equal(t, f.call(t, http.MethodPost, tt.path, "x"), tt.want)
			assert.Equal(t, f.attempts(), tt.attempts)
			if strings.Contains(tt.name, "resumed") {
				assert.DeepEqual(t, f.lastEventIDs, []string{"", "1"})
			}
		})
	}
}

// A request that is refused because engines keep room for more urgent ones has not been
// sent, and its refusal has a code and a counter of its own.
func TestRoomIsReservedForMoreUrgentRequests(t *testing.T) {
	f := newFixture(t, 1, responseText(200, "Signed: 1\r\n", "ok"))
	table := f.view.Table
	table.Services[0].Engine = &route.Engine{BatchSize: 5, MemoryTokens: 1_000_000}
	table.Routes[0].Priority = 2
	table.Index()
	f.gateway.ApplyView(f.view)
	for range 2 {
		urgent := placement.Request{Service: "desk", Objective: time.Second, Deadline: time.Now().Add(time.Minute)}
		_, err := f.gateway.Scheduler.Acquire(t.Context(), urgent)
		assert.NilError(t, err)
	}
	assert.Equal(t, f.call(t, http.MethodPost, "/book/1", ""), "503 code 3011")
	assert.Equal(t, f.attempts(), 0)
	var metrics strings.Builder
	f.gateway.WriteMetrics(&metrics)
	assert.Assert(t, strings.Contains(metrics.String(), `jasminewing_direct_refusals_total{code="3011",name="room_reserved"} 1`))
}

func TestRefusedBeforeFirstAttempt(t *testing.T) {
	tests := []struct {
		name, path, body string
		headers          []string
		change           func(f *fixture)
		want             string
	}{
		{"no id", "/book/1", "", []string{"Id", ""}, nil, "400 code 2007"},
		{"no route", "/none/1", "", nil, nil, "404 code 2008"},
		{"unknown key", "/book/1", "", []string{"Key", "other"}, nil, "401 code 2004"},
		{"body too large", "/book/1", strings.Repeat("x", 1001), nil, nil, "413 code 2001"},
		{"no table", "/book/1", "", nil, func(f *fixture) { f.view.Table = nil }, "503 code 4018"},
		{"stopping", "/book/1", "", nil, func(f *fixture) { f.gateway.RefuseNew(time.Now()) }, "503 code 6010"},
		{"no upstream", "/book/1", "", nil, func(f *fixture) { f.gateway.ApplyView(&route.View{Table: f.view.Table}) }, "503 code 4001"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, responseText(200, "Signed: 1\r\n", "ok"))
			if tt.change != nil {
				tt.change(f)
			}
			assert.Equal(t, f.call(t, http.MethodPost, tt.path, tt.body, tt.headers...), tt.want)
			assert.Equal(t, f.attempts(), 0)
		})
	}
}

// A request whose upstream sends nothing ends at the route's timeout, with the
// code for a request that may have run.
func TestTimeout(t *testing.T) {
	f := newFixture(t, 1, "")
	begin := time.Now()
	assert.Equal(t, f.call(t, http.MethodPost, "/short/1", "x"), "504 code 4019")
	took := time.Since(begin)
	assert.Assert(t, took >= 100*time.Millisecond && took < 600*time.Millisecond, "%s", took)
}

// An upstream that cannot be reached received nothing, so the request goes to
// another upstream even if it may run only once.
func TestUnreachedAttemptDoesNotCount(t *testing.T) {
	f := newFixture(t, 1, responseText(200, "Signed: 1\r\n", "ok"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_ = l.Close()
	f.view.Upstreams = append(f.view.Upstreams, route.Upstream{ID: "a", Service: "desk", Address: l.Addr().String(), Slots: 6})
	f.gateway.ApplyView(f.view)
	for range 3 {
		assert.Equal(t, f.call(t, http.MethodPost, "/book/1", "x"), "200 ok")
	}
}

// A request that may have run must not be reported as not run when no upstream
// is left for a retry.
func TestNoUpstreamLeftAfterAttempt(t *testing.T) {
	f := newFixture(t, 1, "!")
	assert.Equal(t, f.call(t, http.MethodPost, "/look/1", "x"), "502 code 4013")
	assert.Equal(t, f.attempts(), 1)
}

// The gateway closes the upstream connection when the caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	f := newFixture(t, 1, streamStart(eventText(1)))
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.address+"/draft/1", strings.NewReader("x"))
	assert.NilError(t, err)
	r.Host = "desk.example"
	r.Header.Set("Id", "7")
	r.Header.Set("Key", "k")
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	cancel()
	select {
	case <-f.closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream connection is still open 500 ms after the caller disconnected")
	}
}

// A request that is suspected of crashing upstreams is not sent to any upstream.
func TestSuspectRequestIsRefused(t *testing.T) {
	f := newFixture(t, 1, responseText(200, "Signed: 1\r\n", "ok"))
	c := &Call{Method: http.MethodPost, Target: "/book/1", Body: [][]byte{[]byte("x")}, account: &route.Account{Name: "market"}}
	f.gateway.Suspects = fakeSuspects{c.computeFingerprint(): true}
	assert.Equal(t, f.call(t, http.MethodPost, "/book/1", "x"), "422 code 4016")
	assert.Equal(t, f.call(t, http.MethodPost, "/book/1", "y"), "200 ok")
	assert.Equal(t, f.attempts(), 1)
}

// Callers that the gateway refuses because it has no table yet get different
// retry delays, so that they do not return all at once. The delays stay within a
// third of the caller's timeout, the longest that callers honour.
func TestRetryAfterWithoutTable(t *testing.T) {
	seen := map[time.Duration]bool{}
	for n := range 20 {
		c := &Call{ID: CallID(fmt.Sprint(n)), Timeout: 1500 * time.Millisecond}
		wait := placement.RetryAfter(c.timeoutOrDefault(), xxhash.Sum64String(string(c.ID)))
		assert.Assert(t, wait >= 150*time.Millisecond && wait <= c.Timeout/3, "%s", wait)
		seen[wait] = true
	}
	assert.Assert(t, len(seen) > 10)
}
