package connection

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Each request that has been read must get a whole answer, however many connections are closed
// for others at that moment.
func TestReadRequestsAreAnswered(t *testing.T) {
	const callers, each, room = 24, 60, 6
	var run, answered atomic.Int64
	tracker := &Tracker{Bounds: Bounds{Memory: room * (entryMemory + servedMemory)}}
	tracker.Init()
	tracker.SetLimits(Limits{HeadBytes: 4096, HeadTimeout: 20 * time.Millisecond, IdleTimeout: time.Millisecond})
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil || !RequestRead(r.Context()) {
			return
		}
		run.Add(1)
		_, _ = w.Write(b)
	})}
	tracker.Configure(s)
	l, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(tracker.Listener(l)) }()
	go func() {
		for t.Context().Err() == nil {
			tracker.sweep()
			time.Sleep(100 * time.Microsecond)
		}
	}()
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			for range each {
				answered.Add(int64(answersOn(l.Addr().String(), 3)))
			}
		})
	}
	wait.Wait()
	_ = s.Close()
	<-ended
	assert.Equal(t, answered.Load(), run.Load())
	assert.Assert(t, run.Load() > 0)
	t.Logf("%d of %d requests were read", run.Load(), callers*each*3)
}

// answersOn sends requests one after the other on a new connection, and returns how many got a
// whole answer.
func answersOn(address string, requests int) int {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for n := range requests {
		if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nabcde"); err != nil {
			return n
		}
		r, err := http.ReadResponse(reader, nil)
		if err != nil || r.StatusCode != http.StatusOK {
			return n
		}
		if b, err := io.ReadAll(r.Body); err != nil || string(b) != "abcde" {
			return n
		}
	}
	return requests
}
