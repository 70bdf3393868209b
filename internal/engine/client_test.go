package engine

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
)

// A request that is not idempotent must be sent only once. The server drops the
// connection on the second request, which net/http would take for a lost idle
// connection and retry.
func TestSentOnce(t *testing.T) {
	tests := []struct{ method, body string }{
		{"POST", `{"booking":"b1"}`},
		{"POST", ""},
		{"DELETE", ""},
		{"GET", ""},
	}
	for _, tt := range tests {
		t.Run(tt.method+tt.body, func(t *testing.T) {
			s := &rawServer{Answer: func(n int, _ *http.Request, w net.Conn) bool {
				if n == 1 {
					io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
				return n == 1
			}}
			c := &Client{Address: s.start(t)}
			defer c.CloseIdle()
			r := Request{Method: tt.method, Path: "/book", Body: []byte(tt.body), Header: http.Header{"Idempotency-Key": {"k1"}}}
			assert.Assert(t, c.Do(t.Context(), r, &recorder{}).Complete)
			out := c.Do(t.Context(), r, &recorder{})
			assert.Equal(t, s.requests(), 2)
			assert.Equal(t, out.Code, result.UpstreamCutOff)
			assert.Assert(t, !out.NotRun && out.Died)
		})
	}
}

func TestRedirectIsNotFollowed(t *testing.T) {
	s := &rawServer{Answer: func(_ int, _ *http.Request, w net.Conn) bool {
		io.WriteString(w, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /book2\r\nContent-Length: 0\r\n\r\n")
		return true
	}}
	c := &Client{Address: s.start(t)}
	got := &recorder{}
	out := c.Do(t.Context(), Request{Method: "POST", Path: "/book", Body: []byte("x")}, got)
	assert.Assert(t, out.Complete)
	assert.Equal(t, got.status, 307)
	assert.Equal(t, s.requests(), 1)
}

// An upstream that closes each connection after its answer must not be reported as dead:
// every request has a connection of its own. One that closes it without an answer is.
func TestClosedConnAfterAnswerIsNotUpstreamDeath(t *testing.T) {
	conns := map[net.Conn]bool{}
	s := &rawServer{Answer: func(n int, _ *http.Request, w net.Conn) bool {
		assert.Check(t, !conns[w], "request %d came on a connection that was used before", n)
		conns[w] = true
		if n <= 3 {
			body := `{"status":"ok","instance":"one"}`
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		return false
	}}
	c := &Client{Address: s.start(t)}
	defer c.CloseIdle()
	r := Request{Method: "POST", Path: "/v1/completions", Body: []byte("{}")}
	_, err := c.Health(t.Context())
	assert.NilError(t, err)
	for range 2 {
		out := c.Do(t.Context(), r, &recorder{})
		assert.Assert(t, out.Complete && !out.Died)
	}
	out := c.Do(t.Context(), r, &recorder{})
	assert.Equal(t, out.Code, result.UpstreamCutOff)
	assert.Assert(t, out.Died, "a lost connection must count as the death of the upstream")
}

// The golden file lists for each raw response what the sink received and the
// outcome.
func TestAnswers(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		sse    = ok + "Content-Type: text/event-stream\r\n"
		chunks = "Transfer-Encoding: chunked\r\n\r\n"
		token  = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
		done   = "data: [DONE]\n\n"
		end    = "0\r\n\r\n"
	)
	tests := []struct {
		name, raw string
		streamed  bool
		resume    int
	}{
		{name: "body with length", raw: ok + "Content-Length: 40\r\n\r\n" + `{"usage":{"completion_tokens":7},"x":""}`},
		{name: "body in chunks", raw: ok + chunks + chunk("hello") + end},
		{name: "body cut before its length", raw: ok + "Content-Length: 40\r\n\r\nhello"},
		{name: "body cut at a chunk boundary", raw: ok + chunks + chunk("hello")},
		{name: "body cut inside the last chunk", raw: ok + chunks + chunk("hello") + "0\r\n"},
		{name: "body ended by close", raw: ok + "\r\nhello"},
		{name: "body of HTTP/1.0", raw: "HTTP/1.0 200 OK\r\n\r\nhello"},
		{name: "no response", raw: ""},
		{name: "incomplete head", raw: "HTTP/1.1 20"},
		{name: "not HTTP", raw: "220 mail.example ESMTP\r\n\r\n"},
		{name: "too large by length", raw: ok + "Content-Length: 500\r\n\r\n" + strings.Repeat("x", 500)},
		{name: "too large in chunks", raw: ok + chunks + chunk(strings.Repeat("x", 300)) + end},
		{name: "bad request", raw: "HTTP/1.1 400 Bad Request\r\nContent-Length: 3\r\n\r\nbad", streamed: true},
		{name: "failure", raw: "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nsecret"},
		{name: "refusal", raw: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n"},
		{name: "unavailable", raw: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
		{name: "stream", streamed: true, raw: sse + chunks + chunk(": hi\n\n"+token) + chunk(token[:9]) + chunk(token[9:]+done) + end},
		{name: "stream with usage", streamed: true, raw: sse + chunks + chunk(token+"data: {\"choices\":[],\"usage\":{\"completion_tokens\":5}}\r\n\r\n"+done) + end},
		{name: "stream with a length", streamed: true, raw: sse + "Content-Length: 14\r\n\r\n" + done},
		{name: "stream without [DONE]", streamed: true, raw: sse + chunks + chunk(token) + end},
		{name: "stream cut after [DONE]", streamed: true, raw: sse + chunks + chunk(token+done)},
		{name: "stream cut inside an event", streamed: true, raw: sse + chunks + chunk(token+token[:20])},
		{name: "stream that was not requested", raw: sse + chunks + chunk(token) + end},
		{name: "stream ended by close", streamed: true, raw: sse + "\r\n" + token + done},
		{name: "stream with broken JSON", streamed: true, raw: sse + chunks + chunk(token+"data: {\"choices\":\n\n"+done) + end},
		{name: "stream with an invalid line", streamed: true, raw: sse + chunks + chunk(token+"<html>\n\n") + end},
		{name: "stream with an error", streamed: true, raw: sse + chunks + chunk(token+"data: {\"error\":{\"message\":\"oom\"}}\n\n"+done) + end},
		{name: "stream with data after [DONE]", streamed: true, raw: sse + chunks + chunk(token+done) + chunk(token) + end},
		{name: "JSON instead of the requested stream", streamed: true, raw: ok + "Content-Length: 2\r\n\r\n{}"},
		{name: "resumed", streamed: true, resume: 3, raw: sse + "Resume-Offset: 3\r\n" + chunks + chunk(token+done) + end},
		{name: "resume offset ignored", streamed: true, resume: 3, raw: sse + chunks + chunk(token+done) + end},
	}
	var b strings.Builder
	for _, tt := range tests {
		s := &rawServer{Answer: func(_ int, _ *http.Request, w net.Conn) bool {
			io.WriteString(w, tt.raw)
			return false
		}}
		c := &Client{Address: s.start(t), MaxAnswer: 290}
		got := &recorder{}
		out := c.Do(t.Context(), Request{Method: "POST", Path: "/", Body: []byte("{}"), Streamed: tt.streamed, ResumeOffset: tokens(tt.resume)}, got)
		fmt.Fprintf(&b, "%s\n  sink: head %d, %q\n  outcome: complete=%t code=%s status=%d tokens=%d not_run=%t died=%t\n",
			tt.name, got.status, got.data.String(), out.Complete, out.Code, out.Status, out.Tokens, out.NotRun, out.Died)
		assert.Equal(t, out.Complete, out.Code == result.OK)
	}
	golden.Assert(t, b.String(), "answers.golden")
}

func TestHeaders(t *testing.T) {
	var got http.Header
	var path string
	s := &rawServer{Answer: func(_ int, r *http.Request, w net.Conn) bool {
		got, path = r.Header, r.URL.String()
		io.WriteString(w, "HTTP/1.1 200 OK\r\nConnection: X-Mine\r\nX-Mine: 1\r\nKeep-Alive: timeout=5\r\nX-Kept: 1\r\nContent-Length: 0\r\n\r\n")
		return false
	}}
	c := &Client{Address: s.start(t)}
	sink := &recorder{}
	h := http.Header{
		"Authorization": {"Bearer secret"}, "Connection": {"close, x-hop", "te"}, "X-Hop": {"1"}, "Te": {"trailers"},
		"Upgrade": {"h2c"}, "Proxy-Authorization": {"secret"}, "X-Request-Id": {"forged"}, "Resume-Offset": {"9"},
		"Accept-Encoding": {"gzip"}, "Transfer-Encoding": {"chunked"}, "Content-Type": {"application/json"},
	}
	out := c.Do(t.Context(), Request{Method: "POST", Path: "//other/x?q=1", Header: h, Body: []byte("{}"), RequestID: "r1"}, sink)
	assert.Assert(t, out.Complete, out.Detail)
	assert.Equal(t, path, "//other/x?q=1")
	assert.DeepEqual(t, got, http.Header{
		"Connection": {"close"}, "Content-Length": {"2"}, "Content-Type": {"application/json"}, "User-Agent": {"Go-http-client/1.1"}, "X-Request-Id": {"r1"},
	})
	assert.DeepEqual(t, sink.header, http.Header{"X-Kept": {"1"}, "Content-Length": {"0"}})
	out = c.Do(t.Context(), Request{Method: "GET", Path: "http://other/"}, sink)
	assert.Assert(t, out.NotRun && out.Code == result.BadHeader)
}

func TestUnreached(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	a := fleet.Address(l.Addr().String())
	assert.NilError(t, l.Close())
	c := &Client{Address: a}
	out := c.Do(t.Context(), Request{Method: "POST", Path: "/", Body: []byte("{}")}, &recorder{})
	assert.Equal(t, out.Code, result.UpstreamUnreached)
	assert.Assert(t, out.NotRun && !out.Died)
	_, err = c.Health(t.Context())
	assert.Equal(t, result.CodeOf(err), result.UpstreamUnreached)
}

// If the caller closes its connection during a stream, the client must close
// the connection to the upstream.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan error, 1)
	s := &rawServer{Answer: func(_ int, _ *http.Request, w net.Conn) bool {
		io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk("a"))
		_, err := w.Read(make([]byte, 1))
		closed <- err
		return false
	}}
	c := &Client{Address: s.start(t)}
	ctx, cancel := context.WithCancel(t.Context())
	out := c.Do(ctx, Request{Method: "POST", Path: "/", Body: []byte("{}"), Idempotent: true}, &recorder{onData: cancel})
	assert.Equal(t, out.Code, result.CallerGone)
	assert.Assert(t, !out.NotRun && !out.Died)
	assert.Assert(t, <-closed != nil)
}

func TestSilenceTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Client{Address: "pipe:1", Timeout: 3 * time.Second}
		var asked net.Conn
		c.Dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			asked = far
			go io.Copy(io.Discard, far)
			go func() {
				time.Sleep(2 * time.Second)
				io.WriteString(far, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk("a"))
			}()
			return near, nil
		}
		start := time.Now()
		slow := &recorder{onData: func() { time.Sleep(10 * time.Second) }}
		out := c.Do(t.Context(), Request{Method: "POST", Path: "/", Body: []byte("{}")}, slow)
		assert.Equal(t, out.Code, result.UpstreamTimeout)
		assert.Equal(t, slow.data.String(), "a")
		assert.Equal(t, time.Since(start), 15*time.Second)
		assert.Equal(t, out.FirstToken, 2*time.Second)
		asked.Close()
	})
}

func TestPolls(t *testing.T) {
	answers := map[string]string{
		"/health": "HTTP/1.1 200 OK\r\nContent-Length: 37\r\n\r\n{\"status\":\"draining\",\"instance\":\"e1\"}",
		"/load":   "HTTP/1.1 200 OK\r\nContent-Length: 25\r\n\r\n{\"running\":2,\"waiting\":1}",
		"/orders": "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
	}
	s := &rawServer{Answer: func(_ int, r *http.Request, w net.Conn) bool {
		io.WriteString(w, answers[r.URL.Path])
		return false
	}}
	c := &Client{Address: s.start(t)}
	h, err := c.Health(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, h, Health{Draining: true, Instance: "e1"})
	l, err := c.Load(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, l, Load{Running: 2, Waiting: 1})
	assert.Equal(t, result.CodeOf(c.Order(t.Context(), Order{Order: "load", Fencing: 3})), result.UpstreamRefused)
}

// The body of a request that is not idempotent cannot be rewound. This protects
// against a resend by net/http in addition to the fresh connection.
func TestBodyCannotBeRewound(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		h, err := Request{Method: "POST", Path: "/", Body: []byte("{}"), Idempotent: idempotent}.build(t.Context(), "127.0.0.1:1")
		assert.NilError(t, err)
		assert.Equal(t, h.GetBody != nil, idempotent)
		assert.Equal(t, h.ContentLength, int64(2))
	}
}
