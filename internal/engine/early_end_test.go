package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
)

// startEarlyEngine starts an engine that reads so many bytes of a request's body, answers and ends
// the connection.
func startEarlyEngine(t *testing.T, reads int64, answer string, end func(c *net.TCPConn)) fleet.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go func() {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, r.Body, reads)
				_, _ = io.WriteString(c, answer)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return fleet.Address(l.Addr().String())
}

// Guards against a part of an answer that is taken for a complete one, because the engine ended
// the connection while the request was still being sent.
func TestAnswerThatEndsDuringUploadIsNotComplete(t *testing.T) {
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	body := make([]byte, 1<<20)
	ends := map[string]func(c *net.TCPConn){
		"reset":      func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
		"close":      func(c *net.TCPConn) { _ = c.Close() },
		"half close": func(c *net.TCPConn) { _ = c.CloseWrite() },
	}
	tests := []struct {
		name, answer string
		streamed     bool
	}{
		{"plain", "HTTP/1.1 200 OK\r\n\r\npart", false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\npart", false},
		{"connection to be closed", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", false},
		{"stream", stream + "\r\ndata: {}\n\n", true},
		{"stream with its last event", stream + "\r\ndata: [DONE]\n\n", true},
		{"chunks without the last one", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("part"), false},
	}
	for _, tt := range tests {
		for name, end := range ends {
			t.Run(tt.name+", "+name, func(t *testing.T) {
				for _, reads := range []int64{0, 100, int64(len(body)) / 2} {
					c := &Client{Address: startEarlyEngine(t, reads, tt.answer, end)}
					for range 10 {
						out := c.Do(t.Context(), Request{Method: "POST", Path: "/", Body: body, Streamed: tt.streamed}, &recorder{})
						assert.Assert(t, !out.Complete && !out.NotRun, fmt.Sprint(out))
					}
					c.CloseIdle()
				}
			})
		}
	}
}

// An answer that has its length is complete even if the engine doesn't read the rest of a request.
func TestEarlyAnswerWithLengthIsComplete(t *testing.T) {
	const answer = "HTTP/1.1 413 Content Too Large\r\nContent-Length: 5\r\n\r\nwhole"
	for _, end := range []func(c *net.TCPConn){func(*net.TCPConn) {}, func(c *net.TCPConn) { _ = c.CloseWrite() }} {
		c := &Client{Address: startEarlyEngine(t, 100, answer, end)}
		for range 10 {
			got := &recorder{}
			out := c.Do(t.Context(), Request{Method: "POST", Path: "/", Body: make([]byte, 1<<20)}, got)
			assert.Assert(t, out.Complete, out.Detail)
			assert.Equal(t, got.data.String(), "whole")
		}
		c.CloseIdle()
	}
}
