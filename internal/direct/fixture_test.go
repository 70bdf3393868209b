package direct

import (
	"bufio"
	"context"
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

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/catalog"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/upstream"
	"jasminewing.dev/jasminewing/internal/wire"
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

func (s fakeSuspects) Check(_ time.Time, o *wire.Offer) (suspect.Verdict, error) {
	if s[suspect.Fingerprint(o.Fingerprint)] {
		return suspect.Verdict{Refuse: true}, result.Errorf(result.Suspect, "upstreams ended while they ran it")
	}
	return suspect.Verdict{}, nil
}

func (fakeSuspects) MayRun(time.Time, *wire.Offer) bool                    { return true }
func (fakeSuspects) Died(time.Time, fleet.Incarnation, []*wire.Offer)      {}
func (fakeSuspects) CompletedAt(time.Time, fleet.Incarnation, *wire.Offer) {}
func (fakeSuspects) Refused(time.Time, fleet.Incarnation)                  {}
func (fakeSuspects) Answered(time.Time, fleet.Incarnation, time.Time)      {}
func (fakeSuspects) Stats(time.Time) suspect.Stats                         { return suspect.Stats{} }

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

// neverInactive keeps the gateway from moving a stream to another upstream because nothing
// arrives for some time.
func (f *fixture) neverInactive() {
	for i := range f.view.Table.Routes {
		r := &f.view.Table.Routes[i]
		r.Objective, r.GapObjective = 10*time.Second, 10*time.Second
	}
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
