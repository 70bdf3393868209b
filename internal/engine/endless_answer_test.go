package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/transfer"
	"jasminewing.dev/jasminewing/internal/upstream"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// endlessEngine sends a beginning and then a part again and again, in memory, so that the
// bytes that the client has read are known.
type endlessEngine struct {
	begin, part string
	sent        atomic.Int64
}

func (e *endlessEngine) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go e.serve(server)
	return client, nil
}

func (e *endlessEngine) serve(c net.Conn) {
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	for text := e.begin; err == nil; text = e.part {
		var n int
		n, err = io.WriteString(c, text)
		e.sent.Add(int64(n))
	}
}

// discard is a Sink that counts what it receives.
type discard struct{ received int64 }

func (d *discard) Head(int, http.Header) error { return nil }

func (d *discard) Data(p []byte, _ table.Tokens) error {
	d.received += int64(len(p))
	return nil
}

// An engine that sends any part of an answer without end must not make the client read on.
func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	const ok, chunked, maxAnswer = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n\r\n", 2 << 20
	stream := ok + "Content-Type: text/event-stream\r\n" + chunked
	for _, tt := range []struct {
		name, begin, part string
		streamed          bool
		bound             int64
		want              result.Code
	}{
		{"line of a head", ok + "X: ", strings.Repeat("x", 1<<10), false, 2 * transfer.MaxHeadBytes, result.UpstreamBadStream},
		{"lines of a head", ok, "X:\r\n", false, 16 << 10, result.UpstreamBadStream},
		{"interim heads", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", false, 2 * transfer.MaxHeadBytes, result.UpstreamBadStream},
		{"lines after an interim head", "HTTP/1.1 100 Continue\r\n\r\n" + ok, "X:\r\n", false, 16 << 10, result.UpstreamBadStream},
		{"announced body", ok + "Content-Length: 999999999999\r\n\r\n", strings.Repeat("x", 1<<10), false, 16 << 10, result.AnswerTooLarge},
		{"body in chunks", ok + chunked, chunk(strings.Repeat("x", 1<<10)), false, maxAnswer + 64<<10, result.AnswerTooLarge},
		{"body without a frame", ok + "\r\n", strings.Repeat("x", 1<<10), false, 16 << 10, result.UpstreamCutOff},
		{"chunk extension", ok + chunked + "1;", strings.Repeat("x", 1<<10), false, 2 * transfer.MaxHeadBytes, result.UpstreamBadStream},
		{"chunk extensions", ok + chunked, "1;" + strings.Repeat("x", 1<<10) + "\r\nx\r\n", false, maxAnswer, result.UpstreamBadStream},
		{"trailer", ok + chunked + "0\r\n", "X: y\r\n", false, 2 * transfer.MaxHeadBytes, result.UpstreamBadStream},
		{"line of a trailer", ok + chunked + "0\r\nX: ", strings.Repeat("x", 1<<10), false, 2 * transfer.MaxHeadBytes, result.UpstreamBadStream},
		{"event", stream, chunk("data: " + strings.Repeat("x", 1<<10) + "\n"), true, 2 * maxEventBytes, result.UpstreamBadStream},
		{"events", stream, chunk("data: {}\n\n"), true, 2*maxAnswer + 64<<10, result.AnswerTooLarge},
		{"comments", stream, chunk(":\n\n"), true, 4 * maxAnswer, result.AnswerTooLarge},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := &endlessEngine{begin: tt.begin, part: tt.part}
			if e.begin == "" {
				e.begin = e.part
			}
			c := &Client{Address: "127.0.0.1:1", MaxAnswer: maxAnswer, Dial: e.dial}
			defer c.CloseIdle()
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			out := c.Do(ctx, Request{Method: http.MethodPost, Path: "/", Streamed: tt.streamed}, &discard{})
			t.Logf("%d bytes, %d %s", e.sent.Load(), out.Code, out.Detail)
			assert.Assert(t, !out.Complete && !out.NotRun)
			assert.Equal(t, out.Code, tt.want, "%s", out.Detail)
			assert.Assert(t, e.sent.Load() <= tt.bound, "%d bytes were read", e.sent.Load())
		})
	}
}

// A head of as many lines as allowed is read in whatever pieces, and lines of the body don't count.
func TestLongestHeadIsRead(t *testing.T) {
	const body = "\n\n\n\n\n"
	head := "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n" + strings.Repeat("X: y\r\n", upstream.MaxHeadLines-2) + "\r\n"
	text := "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + head + strings.Repeat(body, 200)
	for _, size := range []int{1, 2, 3, 7, 4 << 10} {
		c := &Client{Address: "127.0.0.1:1", Dial: func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() {
				defer server.Close()
				if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
					return
				}
				for rest := text; rest != ""; {
					n := min(size, len(rest))
					if _, err := io.WriteString(server, rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
				}
			}()
			return client, nil
		}}
		sink := &discard{}
		out := c.Do(t.Context(), Request{Method: http.MethodPost, Path: "/"}, sink)
		assert.Assert(t, out.Complete, "%d: %s", size, out.Detail)
		assert.Equal(t, sink.received, int64(1000))
		c.CloseIdle()
	}
}

// An event that arrives in many reads must not be copied by each.
func TestLargeEventIsNotCopiedByEachRead(t *testing.T) {
	s, part := &streamParser{}, []byte(strings.Repeat("x", readBytes))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range maxEventBytes / readBytes {
		_, err := s.parse(time.Time{}, part)
		assert.NilError(t, err)
	}
	runtime.ReadMemStats(&after)
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated < 8*maxEventBytes, "%d bytes for an event of %d", allocated, maxEventBytes)
}

// An engine whose health or load doesn't end must not make the sidecar read on.
func TestPollWithoutEndIsCutOff(t *testing.T) {
	for _, head := range []string{"Content-Length: 999999999999\r\n\r\n", "\r\n"} {
		for _, text := range []string{`{"status":"`, " "} {
			e := &endlessEngine{begin: "HTTP/1.1 200 OK\r\n" + head + text, part: strings.Repeat(" ", 1<<10)}
			c := &Client{Address: "127.0.0.1:1", Dial: e.dial}
			_, err := c.Health(t.Context())
			assert.Equal(t, result.CodeOf(err), result.UpstreamUnhealthy)
			_, err = c.Load(t.Context())
			assert.Equal(t, result.CodeOf(err), result.UpstreamUnhealthy)
			assert.Assert(t, e.sent.Load() < 4*maxPollBytes, "%d bytes", e.sent.Load())
			c.CloseIdle()
		}
	}
}
