package direct

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/connection"
)

// A caller whose body keeps others out must be refused as not run, and nothing of its request may
// reach an upstream. A caller that connects meanwhile must be served.
func TestSlowBodyGivesWay(t *testing.T) {
	f := newFixture(t, 1, responseText(200, "Signed: 1\r\n", "ok"))
	tracker := &connection.Tracker{Bounds: connection.Bounds{Memory: 100 << 10}}
	tracker.Init()
	s := &http.Server{Handler: f.gateway}
	tracker.Configure(s)
	l, err := connection.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = s.Serve(tracker.Listener(l)) }()
	t.Cleanup(func() { _ = s.Close() })

	slow, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer slow.Close()
	_, err = io.WriteString(slow, "POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nId: slow\r\nKey: k\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab")
	assert.NilError(t, err)
	answer := make(chan *http.Response, 1)
	go func() {
		r, _ := http.ReadResponse(bufio.NewReader(slow), nil)
		answer <- r
	}()

	// Without its head, the slow caller would not hold the only place.
	for held := false; !held; time.Sleep(time.Millisecond) {
		var b bytes.Buffer
		tracker.WriteMetrics(&b)
		held = strings.Contains(b.String(), `open{phase="body"} 1`)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	served := false
	for deadline := time.Now().Add(20 * time.Second); !served && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		r, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/book/1", strings.NewReader("x"))
		assert.NilError(t, err)
		r.Host = "desk.example"
		r.Header.Set("Id", "other")
		r.Header.Set("Key", "k")
		if resp, err := client.Do(r); err == nil {
			served = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
	}
	assert.Assert(t, served)
	r := <-answer
	assert.Assert(t, r != nil)
	assert.Equal(t, r.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, r.Header.Get("Code"), "3021")
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, len(f.lastEventIDs), 1)
}
