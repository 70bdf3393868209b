package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// repeatingUpstream runs all requests. On a connection that is in use again, it writes
// an earlier refusal once more before the answer.
type repeatingUpstream struct {
	refusal string
	// maxRepeats is how often the refusal is written.
	maxRepeats int

	mu       sync.Mutex
	runs     map[string]int
	repeated int
}

func (u *repeatingUpstream) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go u.serveConn(c)
	}
}

func (u *repeatingUpstream) serveConn(c net.Conn) {
	defer c.Close()
	b := bufio.NewReader(c)
	for onConn := 0; ; onConn++ {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Id")
		u.mu.Lock()
		u.runs[id]++
		repeat := onConn > 0 && u.repeated < u.maxRepeats
		if repeat {
			u.repeated++
		}
		u.mu.Unlock()
		if repeat {
			_, _ = io.WriteString(c, u.refusal)
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(responseText(200, "Signed: 1\r\n", "ID"), "ID", id))
	}
}

// Guards against an earlier refusal, written again on a kept connection, that is taken
// for the answer to a request which runs: the request must not run at a second
// upstream, and its caller must not be told that it did not run.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	tests := []struct{ name, refusal string }{
		{"refused", "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"too many requests", "HTTP/1.1 429 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"bad request", "HTTP/1.1 400 X\r\nNot-Run: 1\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nno"},
		{"another upstream", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"},
		{"server error", "HTTP/1.1 500 X\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nno"},
		{"no content", "HTTP/1.1 204 X\r\nSigned: 1\r\n\r\n"},
		{"not modified", "HTTP/1.1 304 X\r\nSigned: 1\r\n\r\n"},
		{"informational", "HTTP/1.1 103 X\r\nNot-Run: 1\r\n\r\n"},
		{"of another request", "HTTP/1.1 503 X\r\nId: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const requests = 6
			f := newFixture(t, 0)
			var upstreams []*repeatingUpstream
			for n := range 2 {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				t.Cleanup(func() { _ = l.Close() })
				u := &repeatingUpstream{refusal: tt.refusal, maxRepeats: 2, runs: map[string]int{}}
				go u.serve(l)
				upstreams = append(upstreams, u)
				f.addUpstream(fmt.Sprintf("r%d", n), l.Addr().String())
			}
			for n := range requests {
				id := fmt.Sprintf("%02d", n)
				assert.Equal(t, f.call(t, http.MethodPost, "/claim/"+id, "x", "Id", id, "Patience", "1s"), "200 "+id)
			}
			runs, repeated := map[string]int{}, 0
			for _, u := range upstreams {
				u.mu.Lock()
				for id, count := range u.runs {
					runs[id] += count
				}
				repeated += u.repeated
				u.mu.Unlock()
			}
			assert.Equal(t, len(runs), requests)
			for id, count := range runs {
				assert.Equal(t, count, 1, "request %s", id)
			}
			assert.Assert(t, repeated > 0, "no refusal was written again")
		})
	}
}

// A refusal without an ID on a kept connection says nothing about a request that may
// run once. Nothing else comes here, so that its caller gets an unknown outcome.
func TestRefusalWithoutIDOnKeptConnectionLeavesOutcomeUnknown(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	ok := responseText(200, "Signed: 1\r\n", "ok")
	f := newFixture(t, 1, ok, refusal, refusal)
	assert.Equal(t, f.call(t, http.MethodPost, "/book/1", "x"), "200 ok")
	assert.Equal(t, f.call(t, http.MethodPost, "/book/1", "x", "Patience", "100ms"), "504 code 4019")
	assert.Equal(t, f.call(t, http.MethodPost, "/book/1", "x"), "503 code 4006")
}
