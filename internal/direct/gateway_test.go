package direct

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/catalog"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/upstream"
	"jasminewing.dev/jasminewing/pkg/result"
)

// testProtocol implements CallerProtocol and UpstreamProtocol with short header
// names.
type testProtocol struct{}

func (testProtocol) Read(r *http.Request) (*Call, error) {
	if r.Header.Get("Id") == "" {
		return nil, result.Errorf(result.BadHeader, "no id")
	}
	timeout, _ := time.ParseDuration(r.Header.Get("Patience"))
	return &Call{
		ID: CallID(r.Header.Get("Id")), Method: r.Method, Host: r.Host, Path: r.URL.Path, Target: r.RequestURI,
		Key: r.Header.Get("Key"), Timeout: timeout, Header: ForwardedHeaders(r.Header),
	}, nil
}

func (testProtocol) SetErrorHeaders(h http.Header, _ *Call, code result.Code, after time.Duration) int {
	h.Set("Code", strconv.Itoa(int(code)))
	if after > 0 {
		h.Set("Retry-After", after.String())
	}
	return code.Info().Status
}

func (testProtocol) Header(c *Call, p AttemptParams) http.Header {
	h := c.Header.Clone()
	h.Set("After", p.LastEventID)
	h.Set("Account", string(p.Account))
	h.Set("Left", p.Timeout.String())
	return h
}

func (testProtocol) Match(c *Call, r *http.Response) upstream.Match {
	switch echo := r.Header.Get("Id"); {
	case echo == string(c.ID):
		return upstream.MatchThis
	case echo == "" && r.StatusCode >= http.StatusBadRequest:
		return upstream.MatchUnidentified
	}
	return upstream.MatchOther
}

func (testProtocol) ParseResponse(_ *Call, r *http.Response) ResponseInfo {
	return ResponseInfo{
		NotRun: r.Header.Get("Not-Run") != "", Misdirected: r.StatusCode == http.StatusMisdirectedRequest,
		Genuine: r.Header.Get("Signed") != "",
	}
}

type staticCatalog struct{ view *route.View }

func (c staticCatalog) View() *route.View  { return c.view }
func (staticCatalog) Stats() catalog.Stats { return catalog.Stats{} }

// fakeSuspects refuses the requests whose fingerprints it holds.
type fakeSuspects map[suspect.Fingerprint]bool

func (s fakeSuspects) Refused(_ time.Time, f suspect.Fingerprint) bool       { return s[f] }
func (s fakeSuspects) Died(time.Time, route.UpstreamID, suspect.Fingerprint) {}

// fixture is a gateway under test with scripted upstreams.
type fixture struct {
	gateway *Gateway
	address string
	view    *route.View

	mu sync.Mutex
	// lastEventIDs holds the After header of each request that an upstream read.
	lastEventIDs []string
	closed       chan struct{}
}

// newFixture starts a gateway and upstreams. The n-th request that any upstream
// reads gets the n-th script as its response, later ones the last script. After a
// script that ends in "!" the upstream closes the connection.
func newFixture(t *testing.T, upstreams int, scripts ...string) *fixture {
	t.Helper()
	f := &fixture{closed: make(chan struct{}, 16)}
	table := &route.Table{
		Version:  1,
		Limits:   route.Limits{BodyBytes: 1000},
		Services: []route.Service{{Name: "desk"}},
		Accounts: []route.Account{{Name: "market", Keys: []string{"k"}}},
	}
	for _, r := range []route.Route{
		{Name: "book", Prefix: "/book/", RetryPolicy: route.RetryNever, MaxAttempts: 1},
		{Name: "claim", Prefix: "/claim/", RetryPolicy: route.RetryNever, MaxAttempts: 2},
		{Name: "look", Prefix: "/look/", RetryPolicy: route.RetryFromStart, MaxAttempts: 2},
		{Name: "draft", Prefix: "/draft/", RetryPolicy: route.RetryNever, Streamed: true, MaxAttempts: 1},
		{Name: "note", Prefix: "/note/", RetryPolicy: route.RetryResume, Streamed: true, MaxAttempts: 2},
		{Name: "letter", Prefix: "/letter/", RetryPolicy: route.RetryResume, Streamed: true, MaxAttempts: 4},
		{Name: "short", Prefix: "/short/", Timeout: 100 * time.Millisecond, MaxAttempts: 1},
	} {
		r.Host, r.Objective = "desk.example", 200*time.Millisecond
		r.TrafficSplit = []route.WeightedService{{Service: "desk", Weight: 1}}
		table.Routes = append(table.Routes, r)
	}
	table.Index()
	f.view = &route.View{Revision: 1, Table: table}
	for n := range upstreams {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go f.serve(l, scripts)
		f.view.Upstreams = append(f.view.Upstreams, route.Upstream{
			ID: route.UpstreamID(fmt.Sprintf("u%d", n)), Service: "desk", Address: l.Addr().String(), Slots: 6,
		})
	}
	scheduler := &placement.Scheduler{RetryBudget: placement.RetryBudget{Bounds: placement.RetryBounds{Ratio: 1, Extra: 1000, Window: time.Second}}}
	f.gateway = &Gateway{
		Callers: testProtocol{}, Upstreams: testProtocol{}, Catalog: staticCatalog{f.view}, Scheduler: scheduler, Suspects: fakeSuspects{},
	}
	f.gateway.Init()
	f.gateway.ApplyView(f.view)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = scheduler.Run(ctx) }()
	s := httptest.NewServer(f.gateway)
	t.Cleanup(s.Close)
	f.address = s.URL
	return f
}

func (f *fixture) serve(l net.Listener, scripts []string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go f.respond(c, scripts)
	}
}

func (f *fixture) respond(c net.Conn, scripts []string) {
	defer func() { f.closed <- struct{}{} }()
	defer c.Close()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		f.mu.Lock()
		f.lastEventIDs = append(f.lastEventIDs, r.Header.Get("After"))
		text := scripts[min(len(f.lastEventIDs), len(scripts))-1]
		f.mu.Unlock()
		whole, cut := strings.CutSuffix(text, "!")
		_, _ = io.WriteString(c, strings.ReplaceAll(whole, "ID", r.Header.Get("Id")))
		if cut {
			return
		}
	}
}

// addUpstream adds an upstream that the test serves itself.
func (f *fixture) addUpstream(id, address string) {
	f.view.Upstreams = append(f.view.Upstreams, route.Upstream{ID: route.UpstreamID(id), Service: "desk", Address: address, Slots: 6})
	f.gateway.ApplyView(f.view)
}

func (f *fixture) attempts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.lastEventIDs)
}

// call sends a request and returns its status, then the code or else the body;
// "!" marks an error while reading the body.
func (f *fixture) call(t *testing.T, method, path, body string, headers ...string) string {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, f.address+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Host = "desk.example"
	r.Header.Set("Id", "7")
	r.Header.Set("Key", "k")
	for n := 0; n < len(headers); n += 2 {
		r.Header.Set(headers[n], headers[n+1])
	}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	text := strconv.Itoa(resp.StatusCode)
	if code := resp.Header.Get("Code"); code != "" {
		text += " code " + code
		got = nil
	}
	if len(got) > 0 {
		text += " " + string(got)
	}
	if err != nil {
		text += "!"
	}
	return text
}

// responseText returns an upstream's response in wire format.
func responseText(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: ID\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

// streamStart returns the start of a chunked stream; the test appends streamEnd
// or "!".
func streamStart(parts ...string) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, p := range parts {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(p), p)
	}
	return b.String()
}

const streamEnd = "0\r\n\r\n"

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n) }

func TestCalls(t *testing.T) {
	ok := responseText(200, "Signed: 1\r\n", "ok")
	full := responseText(503, "Signed: 1\r\nNot-Run: 1\r\n", "")
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
		{"stopping", "/book/1", "", nil, func(f *fixture) { f.gateway.RefuseNew() }, "503 code 6010"},
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
	c := &Call{Method: http.MethodPost, Target: "/book/1", Body: []byte("x"), account: &route.Account{Name: "market"}}
	f.gateway.Suspects = fakeSuspects{c.computeFingerprint(): true}
	assert.Equal(t, f.call(t, http.MethodPost, "/book/1", "x"), "422 code 4016")
	assert.Equal(t, f.call(t, http.MethodPost, "/book/1", "y"), "200 ok")
	assert.Equal(t, f.attempts(), 1)
}

func TestEventReader(t *testing.T) {
	tests := []struct {
		name  string
		parts []string
		want  []string
		last  string
		rest  string
	}{
		{"one event per chunk", []string{eventText(1), eventText(2)}, []string{eventText(1), eventText(2)}, "2", ""},
		{"event split over chunks", []string{"id: 1\nda", "ta: x\n", "\nid: 2"}, []string{eventText(1)}, "1", "id: 2"},
		{"several events in one chunk", []string{eventText(1) + eventText(2) + "id"}, []string{eventText(1) + eventText(2)}, "2", "id"},
		{"CRLF", []string{"id:9\r\ndata: x\r\n\r\n"}, []string{"id:9\r\ndata: x\r\n\r\n"}, "9", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &eventReader{source: &chunkReader{tt.parts}}
			var got []string
			for {
				whole, err := e.next()
				if len(whole) > 0 {
					got = append(got, string(whole))
				}
				if errors.Is(err, io.EOF) {
					break
				}
				assert.NilError(t, err)
			}
			assert.DeepEqual(t, got, tt.want)
			assert.Equal(t, e.sequence.lastID, tt.last)
			assert.Equal(t, string(e.pending), tt.rest)
		})
	}
}

// chunkReader returns one chunk per read.
type chunkReader struct{ left []string }

func (p *chunkReader) Read(b []byte) (int, error) {
	if len(p.left) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.left[0])
	p.left = p.left[1:]
	return n, nil
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
