package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serve accepts one connection per script. The n-th request on a connection gets
// the n-th text of its script. closed receives a value each time the server closes
// a connection.
func serve(t *testing.T, scripts ...[]string) (address string, closed chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	closed = make(chan struct{}, len(scripts))
	go func() {
		for _, script := range scripts {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { closed <- struct{}{} }()
				defer c.Close()
				respond(c, script)
			}()
		}
	}()
	return l.Addr().String(), closed
}

func respond(c net.Conn, script []string) {
	b := bufio.NewReader(c)
	for _, text := range script {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: 1\r\n\r\nok"

func post(ctx context.Context, p *Pool) *Exchange {
	return p.Exchange(ctx, &Request{
		Method: "POST", Target: "/a/b?c=d", Host: "maps.example", Body: [][]byte{[]byte("x")},
		Match: func(r *http.Response) Match {
			switch r.Header.Get("X-Id") {
			case "1":
				return MatchThis
			case "":
				return MatchUnidentified
			}
			return MatchOther
		},
	})
}

func TestExchange(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: 0\r\n\r\nno"
	tests := []struct {
		name string
		// script holds the responses on the first connection.
		script   []string
		wantErr  bool
		wantBody string
	}{
		{"complete", []string{okResponse}, false, "ok"},
		{"late response to another request first", []string{late + okResponse}, false, "ok"},
		{"cut in the head", []string{"HTTP/1.1 200"}, true, ""},
		{"no response", []string{""}, true, ""},
		{"not HTTP", []string{"ERR broken\r\n\r\n"}, true, ""},
		{"cut in the body", []string{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Id: 1\r\n\r\nok"}, true, "ok"},
		{"cut between chunks", []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 1\r\n\r\n2\r\nok\r\n"}, true, "ok"},
		{"no length", []string{"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nok"}, false, "ok"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address, _ := serve(t, tt.script)
			p := &Pool{Address: address}
			defer p.Close()
			x := post(t.Context(), p)
			defer x.Close()
			assert.Assert(t, x.Sent)
			err := x.Err
			got := ""
			if err == nil {
				var b []byte
				b, err = io.ReadAll(x.Response.Body)
				got = string(b)
			}
			assert.Equal(t, err != nil, tt.wantErr, "%v", err)
			assert.Equal(t, got, tt.wantBody)
		})
	}
}

// mustExchange sends a request and reads the whole response.
func mustExchange(t *testing.T, p *Pool) *Exchange {
	t.Helper()
	x := post(t.Context(), p)
	assert.NilError(t, x.Err)
	_, err := io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	x.Close()
	return x
}

func TestConnectionIsReused(t *testing.T) {
	address, _ := serve(t, []string{okResponse, okResponse})
	opened := 0
	p := &Pool{Address: address, OnConnect: func() { opened++ }}
	defer p.Close()
	mustExchange(t, p)
	assert.Assert(t, mustExchange(t, p).Reused)
	assert.Equal(t, opened, 1)
}

// A connection with unread bytes that belong to no request is not reused.
func TestConnectionWithExtraResponseIsNotReused(t *testing.T) {
	address, _ := serve(t, []string{okResponse + okResponse}, []string{okResponse})
	p := &Pool{Address: address}
	defer p.Close()
	mustExchange(t, p)
	assert.Assert(t, !mustExchange(t, p).Reused)
}

// A connection that the upstream closed while idle is not reused. A request sent
// on it would fail in the same way as a request that may have run.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	address, closed := serve(t, []string{okResponse}, []string{okResponse})
	p := &Pool{Address: address}
	defer p.Close()
	mustExchange(t, p)
	<-closed
	assert.Assert(t, !mustExchange(t, p).Reused)
}

func TestNothingIsSentToUnreachableUpstream(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	_ = l.Close()
	p := &Pool{Address: l.Addr().String()}
	x := post(t.Context(), p)
	assert.Assert(t, x.Err != nil && !x.Sent)
}

// When the context is cancelled, the upstream sees the connection close.
func TestCancelClosesConnection(t *testing.T) {
	far, near := net.Pipe()
	p := &Pool{Dial: func(context.Context, string) (net.Conn, error) { return near, nil }}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		_, _ = http.ReadRequest(bufio.NewReader(far))
		cancel()
	}()
	x := post(ctx, p)
	defer x.Close()
	assert.Assert(t, x.Err != nil && x.Sent)
	_ = far.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := io.Copy(io.Discard, far)
	assert.NilError(t, err)
}

func TestIdleTimeout(t *testing.T) {
	tests := []struct {
		header string
		want   time.Duration
	}{
		{"", defaultIdleTimeout},
		{"timeout=5", 4500 * time.Millisecond},
		{"max=3, timeout=1", 500 * time.Millisecond},
		{"timeout=x", defaultIdleTimeout},
		{"timeout=0", -idleMargin},
	}
	for _, tt := range tests {
		h := http.Header{}
		h.Set("Keep-Alive", tt.header)
		assert.Equal(t, idleTimeout(h), tt.want, tt.header)
	}
}

// An upstream may respond early and stop reading. Closing the exchange before its
// request has been written must close the connection, not return it to the pool.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	far, near := net.Pipe()
	defer far.Close()
	p := &Pool{Dial: func(context.Context, string) (net.Conn, error) { return near, nil }}
	go func() {
		_, _ = far.Read(make([]byte, 16))
		_, _ = io.WriteString(far, okResponse)
	}()
	x := p.Exchange(t.Context(), &Request{Method: "POST", Target: "/a", Body: [][]byte{make([]byte, 64<<10)}})
	assert.NilError(t, x.Err)
	_, err := io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	written := x.written
	x.Close()
	<-written
	assert.Assert(t, x.writeErr != nil, "the connection is still open")
	assert.Equal(t, len(p.idle), 0, "a connection with a partly written request is in the pool")
}

// A response without an ID is believed where no other request can have caused it: as
// the first one on its connection. Requests that may run once then go to this upstream
// on unused connections, so that its refusals stay believable.
func TestResponseWithoutIDIsBelievedOnNewConnection(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
	address, _ := serve(t, []string{okResponse, refusal + okResponse, okResponse}, []string{refusal}, []string{okResponse})
	p := &Pool{Address: address}
	defer p.Close()
	mustExchange(t, p)
	x := mustExchange(t, p)
	assert.Assert(t, x.Reused && x.Skipped == 1 && x.Response.StatusCode == http.StatusOK)

	once := &Request{Method: "POST", Target: "/a", AtMostOnce: true, Match: func(*http.Response) Match { return MatchUnidentified }}
	x = p.Exchange(t.Context(), once)
	assert.NilError(t, x.Err)
	assert.Assert(t, !x.Reused && x.Response.StatusCode == http.StatusServiceUnavailable)
	x.Cancel()
	assert.Assert(t, mustExchange(t, p).Reused, "requests that may run again use kept connections")
}

// An upstream that sends a head or interim responses without end is cut off.
func TestEndlessHeadIsCutOff(t *testing.T) {
	tests := []struct{ name, text string }{
		{"one header", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX: " + strings.Repeat("x", maxHeadSize)},
		{"many headers", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + strings.Repeat("X: y\r\n", maxHeadSize/6)},
		{"status line", "HTTP/1.1 200 " + strings.Repeat("x", maxHeadSize)},
		{"no line end", strings.Repeat("x", maxHeadSize+1)},
		{"interim responses", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxInterimResponses+1)},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\nX-Id: 1\r\n\r\n"},
		{"skipped responses", strings.Repeat("HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 0\r\n\r\n", maxUnrelatedResponses+1)},
		{"skipped body", "HTTP/1.1 200 OK\r\nX-Id: 0\r\n\r\n" + strings.Repeat("x", maxSkippedSize+1)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			far, near := net.Pipe()
			defer far.Close()
			p := &Pool{Dial: func(context.Context, string) (net.Conn, error) { return near, nil }}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
					_, _ = io.WriteString(far, tt.text)
				}
				// The connection stays open, so only a limit ends the exchange.
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			x := post(ctx, p)
			defer x.Close()
			assert.Assert(t, x.Err != nil)
			assert.NilError(t, ctx.Err(), "cut off by its time only")
		})
	}
}

// A head of short lines takes many times the memory of its text, so that its lines are bounded too.
func TestHeadOfTooManyLinesIsCutOff(t *testing.T) {
	for _, tt := range []struct {
		name   string
		lines  int
		cutOff bool
	}{{"most lines", MaxHeadLines, false}, {"too many lines", 4 * MaxHeadLines, true}} {
		t.Run(tt.name, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n"
			for n := strings.Count(head, "\n"); n < tt.lines-1; n++ {
				head += fmt.Sprintf("X%d: an ordinary line\r\n", n)
			}
			assert.Assert(t, len(head) < maxHeadSize)
			address, _ := serve(t, []string{head + "\r\n\n\n\n\n\n"})
			p := &Pool{Address: address}
			defer p.Close()
			x := post(t.Context(), p)
			defer x.Close()
			if tt.cutOff {
				assert.ErrorIs(t, x.Err, errHeadTooLong)
				return
			}
			assert.NilError(t, x.Err)
			body, err := io.ReadAll(x.Response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "\n\n\n\n\n")
		})
	}
}

// A head that is cut at any byte, or lacks any of its lines, is no complete response.
func TestResponseCutInItsHeadIsNotComplete(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\n"
	for n := range len(head) + 2 {
		address, _ := serve(t, []string{(head + "ok")[:n]})
		p := &Pool{Address: address}
		x := post(t.Context(), p)
		err := x.Err
		if err == nil {
			_, err = io.ReadAll(x.Response.Body)
		}
		assert.Assert(t, err != nil, "%q", (head + "ok")[:n])
		x.Close()
		p.Close()
	}
}

// A request that is no longer valid when there is a connection is not sent.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	address, closed := serve(t, []string{okResponse})
	p := &Pool{Address: address}
	defer p.Close()
	x := p.Exchange(t.Context(), &Request{Method: "POST", Target: "/a", Valid: func() bool { return false }})
	assert.ErrorIs(t, x.Err, ErrWithdrawn)
	assert.Assert(t, !x.Sent)
	x.Cancel()
	<-closed
}
