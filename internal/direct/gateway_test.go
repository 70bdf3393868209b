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

	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/pkg/result"
)

// testProtocol is a protocol of callers and upstreams with short names.
type testProtocol struct{}

func (testProtocol) Read(r *http.Request) (*Call, error) {
	if r.Header.Get("Id") == "" {
		return nil, result.Errorf(result.BadHeader, "no id")
	}
	patience, _ := time.ParseDuration(r.Header.Get("Patience"))
	return &Call{
		ID: CallID(r.Header.Get("Id")), Method: r.Method, Host: r.Host, Path: r.URL.Path, Target: r.RequestURI,
		Key: r.Header.Get("Key"), Patience: patience, Header: PassedOn(r.Header),
	}, nil
}

func (testProtocol) Refuse(h http.Header, _ *Call, code result.Code, after time.Duration) int {
	h.Set("Code", strconv.Itoa(int(code)))
	if after > 0 {
		h.Set("Retry-After", after.String())
	}
	return code.Info().Status
}

func (testProtocol) Header(c *Call, s Sending) http.Header {
	h := c.Header.Clone()
	h.Set("After", s.After)
	h.Set("Account", string(s.Account))
	h.Set("Left", s.Left.String())
	return h
}

func (testProtocol) Belongs(c *Call, r *http.Response) bool {
	return r.Header.Get("Id") == string(c.ID)
}

func (testProtocol) Reply(_ *Call, r *http.Response) Reply {
	return Reply{
		NotRun: r.Header.Get("Not-Run") != "", Misdirected: r.StatusCode == http.StatusMisdirectedRequest,
		Genuine: r.Header.Get("Signed") != "",
	}
}

type stillCatalog struct{ view *route.View }

func (c stillCatalog) View() *route.View { return c.view }

// noSuspects suspects nobody, or those that it holds.
type noSuspects map[suspect.Fingerprint]bool

func (s noSuspects) Refused(_ time.Time, f suspect.Fingerprint) bool       { return s[f] }
func (s noSuspects) Died(time.Time, route.UpstreamID, suspect.Fingerprint) {}

// world is a gateway with scripted upstreams.
type world struct {
	gateway *Gateway
	address string
	view    *route.View

	mu sync.Mutex
	// seen are the After headers of the requests that upstreams read.
	seen   []string
	closed chan struct{}
}

// newWorld starts a gateway and upstreams; the n-th request that any of them
// reads is answered with the n-th script. A script that ends in "!" is cut off.
func newWorld(t *testing.T, upstreams int, scripts ...string) *world {
	t.Helper()
	w := &world{closed: make(chan struct{}, 16)}
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
		{Name: "short", Prefix: "/short/", Timeout: 100 * time.Millisecond, MaxAttempts: 1},
	} {
		r.Host, r.Objective = "desk.example", 200*time.Millisecond
		r.TrafficSplit = []route.WeightedService{{Service: "desk", Weight: 1}}
		table.Routes = append(table.Routes, r)
	}
	table.Index()
	w.view = &route.View{Revision: 1, Table: table}
	for n := range upstreams {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go w.serve(l, scripts)
		w.view.Upstreams = append(w.view.Upstreams, route.Upstream{
			ID: route.UpstreamID(fmt.Sprintf("u%d", n)), Service: "desk", Address: l.Addr().String(), Slots: 6,
		})
	}
	desk := &placement.Scheduler{RetryBudget: placement.RetryBudget{Bounds: placement.RetryBounds{Ratio: 1, Extra: 1000, Window: time.Second}}}
	w.gateway = &Gateway{
		Callers: testProtocol{}, Upstreams: testProtocol{}, Catalog: stillCatalog{w.view}, Desk: desk, Suspects: noSuspects{},
	}
	w.gateway.Init()
	w.gateway.Published(w.view)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = desk.Run(ctx) }()
	s := httptest.NewServer(w.gateway)
	t.Cleanup(s.Close)
	w.address = s.URL
	return w
}

func (w *world) serve(l net.Listener, scripts []string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go w.answer(c, scripts)
	}
}

func (w *world) answer(c net.Conn, scripts []string) {
	defer func() { w.closed <- struct{}{} }()
	defer c.Close()
	b := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.mu.Lock()
		w.seen = append(w.seen, r.Header.Get("After"))
		text := scripts[min(len(w.seen), len(scripts))-1]
		w.mu.Unlock()
		whole, cut := strings.CutSuffix(text, "!")
		_, _ = io.WriteString(c, strings.ReplaceAll(whole, "ID", r.Header.Get("Id")))
		if cut {
			return
		}
	}
}

func (w *world) sends() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.seen)
}

// call sends a request and gives its status, code and body; an error of the
// body is shown as "!".
func (w *world) call(t *testing.T, method, path, body string, headers ...string) string {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, w.address+path, strings.NewReader(body))
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

// answerOf words an upstream's answer.
func answerOf(status int, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: ID\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
}

// streamOf words the begin of a chunked stream; an end must be added.
func streamOf(parts ...string) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, p := range parts {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(p), p)
	}
	return b.String()
}

const streamEnd = "0\r\n\r\n"

func eventOf(n int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", n) }

func TestCalls(t *testing.T) {
	ok := answerOf(200, "Signed: 1\r\n", "ok")
	full := answerOf(503, "Signed: 1\r\nNot-Run: 1\r\n", "")
	tests := []struct {
		name, path string
		scripts    []string
		want       string
		sends      int
	}{
		{"whole", "/book/1", []string{ok}, "200 ok", 1},
		{"an answer of another first", "/book/1", []string{strings.Replace(answerOf(200, "Signed: 1\r\n", "no"), "ID", "6", 1) + ok}, "200 ok", 1},
		{"cut, may run once", "/book/1", []string{"!"}, "502 code 4008", 1},
		{"cut in its answer, may run once", "/book/1", []string{"HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Length: 9\r\n\r\nok!"}, "502 code 4008", 1},
		{"no protocol, may run once", "/book/1", []string{"garbage\r\n\r\n!"}, "502 code 4008", 1},
		{"cut, may run again", "/look/1", []string{"!", ok}, "200 ok", 2},
		{"failed, may run again", "/look/1", []string{answerOf(500, "Signed: 1\r\n", "no"), ok}, "200 ok", 2},
		{"failed twice", "/look/1", []string{answerOf(500, "Signed: 1\r\n", "no")}, "500 no", 2},
		{"failed, may run once", "/book/1", []string{answerOf(500, "Signed: 1\r\n", "no")}, "500 no", 1},
		{"not run", "/book/1", []string{full}, "503 code 4006", 1},
		{"not run, two sends", "/look/1", []string{full, ok}, "200 ok", 2},
		{"ran, then not run", "/look/1", []string{"!", full}, "502 code 4013", 2},
		{"busy without the promise", "/book/1", []string{answerOf(503, "Signed: 1\r\n", "")}, "502 code 4007", 1},
		{"cut, may run once, two sends allowed", "/claim/1", []string{"!", ok}, "502 code 4008", 1},
		{"failed, may run once, two sends allowed", "/claim/1", []string{answerOf(500, "Signed: 1\r\n", "no"), ok}, "500 no", 1},
		{"not run, may run once, two sends allowed", "/claim/1", []string{full, ok}, "200 ok", 2},
		{"another upstream", "/book/1", []string{answerOf(421, "Signed: 1\r\n", "")}, "503 code 4015", 1},
		{"success that is not the upstream's own", "/book/1", []string{answerOf(200, "", "ok")}, "502 code 4007", 1},
		{"stream", "/draft/1", []string{streamOf(eventOf(1), eventOf(2)) + streamEnd}, "200 " + eventOf(1) + eventOf(2), 1},
		{"stream without length", "/draft/1", []string{"HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\n\r\n" + eventOf(1) + "!"}, "200 " + eventOf(1), 1},
		{"stream cut", "/draft/1", []string{streamOf(eventOf(1), eventOf(2)) + "!"}, "200 " + eventOf(1) + eventOf(2) + "!", 1},
		{"stream cut before its first event", "/draft/1", []string{streamOf() + "!"}, "502 code 4008", 1},
		{"stream cut, resumed", "/note/1", []string{streamOf(eventOf(1), "id: 2\nda") + "!", streamOf(eventOf(2)) + streamEnd}, "200 " + eventOf(1) + eventOf(2), 2},
		{"stream resumed at the wrong event", "/note/1", []string{streamOf(eventOf(1)) + "!", streamOf(eventOf(1)) + streamEnd}, "200 " + eventOf(1) + "!", 2},
		{"stream cut twice", "/note/1", []string{streamOf(eventOf(1)) + "!", streamOf(eventOf(2)) + "!"}, "200 " + eventOf(1) + eventOf(2) + "!", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, 3, tt.scripts...)
			assert.Equal(t, w.call(t, http.MethodPost, tt.path, "x"), tt.want)
			assert.Equal(t, w.sends(), tt.sends)
			if strings.Contains(tt.name, "resumed") {
				assert.DeepEqual(t, w.seen, []string{"", "1"})
			}
		})
	}
}

func TestRefusedBeforeASend(t *testing.T) {
	tests := []struct {
		name, path, body string
		headers          []string
		change           func(w *world)
		want             string
	}{
		{"no id", "/book/1", "", []string{"Id", ""}, nil, "400 code 2007"},
		{"no route", "/none/1", "", nil, nil, "404 code 2008"},
		{"unknown key", "/book/1", "", []string{"Key", "other"}, nil, "401 code 2004"},
		{"body too large", "/book/1", strings.Repeat("x", 1001), nil, nil, "413 code 2001"},
		{"no table", "/book/1", "", nil, func(w *world) { w.view.Table = nil }, "503 code 4018"},
		{"stopping", "/book/1", "", nil, func(w *world) { w.gateway.RefuseNew() }, "503 code 6010"},
		{"no upstream", "/book/1", "", nil, func(w *world) { w.gateway.Published(&route.View{Table: w.view.Table}) }, "503 code 4001"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := newWorld(t, 1, answerOf(200, "Signed: 1\r\n", "ok"))
			if tt.change != nil {
				tt.change(w)
			}
			assert.Equal(t, w.call(t, http.MethodPost, tt.path, tt.body, tt.headers...), tt.want)
			assert.Equal(t, w.sends(), 0)
		})
	}
}

// A request whose upstream says nothing ends at its route's time, as one that
// may have run.
func TestTimeout(t *testing.T) {
	w := newWorld(t, 1, "")
	begin := time.Now()
	assert.Equal(t, w.call(t, http.MethodPost, "/short/1", "x"), "504 code 4019")
	took := time.Since(begin)
	assert.Assert(t, took >= 100*time.Millisecond && took < 600*time.Millisecond, "%s", took)
}

// An upstream that cannot be reached got nothing: the request goes to another,
// also if it may run once.
func TestUnreachedUpstreamIsNoSend(t *testing.T) {
	w := newWorld(t, 1, answerOf(200, "Signed: 1\r\n", "ok"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_ = l.Close()
	w.view.Upstreams = append(w.view.Upstreams, route.Upstream{ID: "a", Service: "desk", Address: l.Addr().String(), Slots: 6})
	w.gateway.Published(w.view)
	for range 3 {
		assert.Equal(t, w.call(t, http.MethodPost, "/book/1", "x"), "200 ok")
	}
}

// A request that may have run is not refused as one that did not, though
// nobody is left to send it to.
func TestNobodyLeftAfterASend(t *testing.T) {
	w := newWorld(t, 1, "!")
	assert.Equal(t, w.call(t, http.MethodPost, "/look/1", "x"), "502 code 4013")
	assert.Equal(t, w.sends(), 1)
}

// Once its caller has left, the upstream's connection closes.
func TestCallerLeaves(t *testing.T) {
	w := newWorld(t, 1, streamOf(eventOf(1)))
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, w.address+"/draft/1", strings.NewReader("x"))
	assert.NilError(t, err)
	r.Host = "desk.example"
	r.Header.Set("Id", "7")
	r.Header.Set("Key", "k")
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	cancel()
	select {
	case <-w.closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the upstream's connection is open half a second later")
	}
}

// What an upstream ended under again and again is sent nowhere.
func TestSuspectIsRefused(t *testing.T) {
	w := newWorld(t, 1, answerOf(200, "Signed: 1\r\n", "ok"))
	c := &Call{Method: http.MethodPost, Target: "/book/1", Body: []byte("x"), account: &route.Account{Name: "market"}}
	w.gateway.Suspects = noSuspects{c.fingerprint(): true}
	assert.Equal(t, w.call(t, http.MethodPost, "/book/1", "x"), "422 code 4016")
	assert.Equal(t, w.call(t, http.MethodPost, "/book/1", "y"), "200 ok")
	assert.Equal(t, w.sends(), 1)
}

func TestEvents(t *testing.T) {
	tests := []struct {
		name  string
		parts []string
		want  []string
		last  string
		rest  string
	}{
		{"one a part", []string{eventOf(1), eventOf(2)}, []string{eventOf(1), eventOf(2)}, "2", ""},
		{"split", []string{"id: 1\nda", "ta: x\n", "\nid: 2"}, []string{eventOf(1)}, "1", "id: 2"},
		{"together", []string{eventOf(1) + eventOf(2) + "id"}, []string{eventOf(1) + eventOf(2)}, "2", "id"},
		{"carriage returns", []string{"id:9\r\ndata: x\r\n\r\n"}, []string{"id:9\r\ndata: x\r\n\r\n"}, "9", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := &events{source: &parts{tt.parts}}
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
			assert.Equal(t, e.last, tt.last)
			assert.Equal(t, string(e.pending), tt.rest)
		})
	}
}

// parts gives one text a read.
type parts struct{ left []string }

func (p *parts) Read(b []byte) (int, error) {
	if len(p.left) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.left[0])
	p.left = p.left[1:]
	return n, nil
}

// Callers that come before there is a table return at different times, within
// the third of their patience that they heed.
func TestReturnUnready(t *testing.T) {
	seen := map[time.Duration]bool{}
	for n := range 20 {
		c := &Call{ID: CallID(fmt.Sprint(n)), Patience: 1500 * time.Millisecond}
		wait := placement.RetryAfter(c.patience(), xxhash.Sum64String(string(c.ID)))
		assert.Assert(t, wait >= 150*time.Millisecond && wait <= c.Patience/3, "%s", wait)
		seen[wait] = true
	}
	assert.Assert(t, len(seen) > 10)
}
