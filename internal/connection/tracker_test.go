package connection

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/pkg/result"
)

// pipeListener accepts in-memory connections, whose deadlines follow the time of the synctest
// bubble.
type pipeListener struct {
	accepted chan net.Conn
	// failures are returned by Accept.
	failures chan error
	closed   chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case err := <-l.failures:
		return nil, err
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// fixture is a server with a tracker in a synctest bubble.
type fixture struct {
	*testing.T
	tracker  *Tracker
	listener *pipeListener
	refusals map[result.Code]int
	log      *bytes.Buffer
}

var usualLimits = Limits{HeadBytes: 16384, HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// withServer runs a test against a server in a synctest bubble.
func withServer(t *testing.T, b Bounds, h http.HandlerFunc, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{T: t, refusals: map[result.Code]int{}, log: &bytes.Buffer{}, listener: &pipeListener{make(chan net.Conn), make(chan error), make(chan struct{})}}
		f.tracker = &Tracker{Bounds: b, CountRefusal: func(c result.Code) { f.refusals[c]++ }}
		f.tracker.Log = &event.Log{Logger: log.New(f.log)}
		f.tracker.Init()
		f.tracker.SetLimits(usualLimits)
		s := &http.Server{Handler: h}
		f.tracker.Configure(s)
		ended := make(chan error, 2)
		go func() { ended <- s.Serve(f.tracker.Listener(f.listener)) }()
		go func() { ended <- f.tracker.Run(t.Context()) }()
		test(f)
		_ = s.Close()
		<-ended
	})
}

// dial opens a connection.
func (f *fixture) dial() net.Conn {
	f.Helper()
	c, server := net.Pipe()
	f.listener.accepted <- server
	assert.NilError(f, c.SetDeadline(time.Now().Add(time.Hour)))
	synctest.Wait()
	return c
}

func (f *fixture) send(c net.Conn, text string) {
	f.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(f, err)
	synctest.Wait()
}

// request sends a request and returns the status of its answer.
func (f *fixture) request(c net.Conn, text string) int {
	f.Helper()
	f.send(c, text)
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(f, err)
	_, err = io.Copy(io.Discard, r.Body)
	assert.NilError(f, err)
	synctest.Wait()
	return r.StatusCode
}

// untilClosed returns what is received until the connection is closed, and how long that
// takes.
func (f *fixture) untilClosed(c net.Conn) (string, time.Duration) {
	f.Helper()
	began := time.Now()
	b, err := io.ReadAll(c)
	assert.NilError(f, err)
	synctest.Wait()
	return string(b), time.Since(began)
}

func (f *fixture) assertMetric(line string) {
	f.Helper()
	var b bytes.Buffer
	f.tracker.WriteMetrics(&b)
	assert.Assert(f, strings.Contains(b.String(), line+"\n"), "%s is not in\n%s", line, b.String())
}

func assertDuration(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Assert(t, got >= want && got <= want+2*sweepInterval, "got %s, want %s", got, want)
}

func answerOK(http.ResponseWriter, *http.Request) {}

const get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// Connections that send nothing, or a part of a head, must be closed at the time-outs of the
// table.
func TestTimeouts(t *testing.T) {
	const part = "GET / HTTP/1.1\r\nHost: x\r\nX-A: "
	tests := []struct {
		name, before, sent string
		want               string
		after              time.Duration
		metric             string
	}{
		{"silent", "", "", "", 15 * time.Second, "idle"},
		{"part of a head", "", part, "HTTP/1.1 408 Request Timeout\r\n", 3 * time.Second, "slow_head"},
		{"idle", get, "", "", 15 * time.Second, "idle"},
		{"part of a second head", get, part, "HTTP/1.1 408 Request Timeout\r\n", 3 * time.Second, "slow_head"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withServer(t, Bounds{}, answerOK, func(f *fixture) {
				c := f.dial()
				if tt.before != "" {
					assert.Equal(t, f.request(c, tt.before), 200)
				}
				f.send(c, tt.sent)
				got, took := f.untilClosed(c)
				assertDuration(t, took, tt.after)
				assert.Assert(t, strings.HasPrefix(got, tt.want), got)
				assert.Equal(t, got == "", tt.want == "")
				assert.Equal(t, f.refusals[result.HeadTooSlow] == 1, tt.want != "")
				f.assertMetric(fmt.Sprintf("jasminewing_direct_caller_connections_closed_total{reason=%q} 1", tt.metric))
			})
		})
	}
}

// Ordinary clients reuse connections that have been idle for up to four fifths of the time-out.
// A head that trickles must be cut off, but not one that arrives within its time.
func TestOrdinaryClients(t *testing.T) {
	withServer(t, Bounds{}, answerOK, func(f *fixture) {
		c := f.dial()
		for range 5 {
			time.Sleep(12 * time.Second)
			f.send(c, "GET / HTTP/1.1\r\n")
			time.Sleep(2900 * time.Millisecond)
			assert.Equal(t, f.request(c, "Host: x\r\n\r\n"), 200)
		}
		for range 4 {
			f.send(c, "G")
			time.Sleep(700 * time.Millisecond)
		}
		got, took := f.untilClosed(c)
		assertDuration(t, took, 200*time.Millisecond)
		assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 408 "), got)
	})
}

// A change of the table must apply to connections that are open, and without a table the
// defaults apply.
func TestChangeOfLimits(t *testing.T) {
	withServer(t, Bounds{}, answerOK, func(f *fixture) {
		f.tracker.SetLimits(Limits{})
		c := f.dial()
		assert.Equal(t, f.request(c, get), 200)
		time.Sleep(59 * time.Second)
		assert.Equal(t, f.request(c, get), 200)
		f.send(c, "GET / HTTP/1.1\r\nX-A: "+strings.Repeat("a", 60_000))
		time.Sleep(4900 * time.Millisecond)
		assert.Equal(t, f.request(c, "\r\nHost: x\r\n\r\n"), 200)
		f.tracker.SetLimits(usualLimits)
		_, took := f.untilClosed(c)
		assertDuration(t, took, 15*time.Second)
	})
}

// A head over the limit must get 431, and one of the largest size allowed must be served.
func TestLargeHead(t *testing.T) {
	head := func(size int) string {
		const rest = "GET / HTTP/1.1\r\nHost: x\r\nX-A: \r\n\r\n"
		return strings.Replace(rest, "X-A: ", "X-A: "+strings.Repeat("a", size-len(rest)), 1)
	}
	withServer(t, Bounds{}, answerOK, func(f *fixture) {
		c := f.dial()
		assert.Equal(t, f.request(c, head(16384)), 200)
		assert.Equal(t, f.request(c, head(16384)), 200)
		go func() { _, _ = io.WriteString(c, head(16385)) }()
		got, took := f.untilClosed(c)
		assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 431 Request Header Fields Too Large\r\n"), got)
		assert.Assert(t, took <= lingerTime, "%s", took)
		assert.Equal(t, f.refusals[result.HeadTooLarge], 1)
		f.assertMetric(`jasminewing_direct_caller_connections_closed_total{reason="large_head"} 1`)
		f.assertMetric(`jasminewing_direct_caller_connections_open{phase="head"} 0`)
	})
}

// At the bound, the connection that has been idle longest must make room. If all others are
// serving requests, the new one must be closed, and the requests must be answered.
func TestRoom(t *testing.T) {
	release := make(chan struct{})
	wait := func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" && RequestRead(r.Context()) {
			<-release
		}
	}
	withServer(t, Bounds{Memory: 3*entryMemory + 2*servedMemory + 10<<10}, wait, func(f *fixture) {
		release = make(chan struct{})
		idle := f.dial()
		assert.Equal(t, f.request(idle, get), 200)
		var served []net.Conn
		for range 2 {
			c := f.dial()
			f.send(c, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
			served = append(served, c)
		}
		newer := f.dial()
		got, took := f.untilClosed(idle)
		assert.Equal(t, got, "")
		assert.Equal(t, took, time.Duration(0))
		f.send(newer, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
		got, took = f.untilClosed(f.dial())
		assert.Equal(t, got, "")
		assert.Equal(t, took, time.Duration(0))
		f.assertMetric(`jasminewing_direct_caller_connections_closed_total{reason="room"} 1`)
		f.assertMetric(`jasminewing_direct_caller_connections_closed_total{reason="refused"} 1`)
		f.assertMetric(`jasminewing_direct_caller_connections_open{phase="served"} 3`)
		close(release)
		for _, c := range append(served, newer) {
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			assert.Equal(t, r.StatusCode, 200)
		}
	})
}

// A caller whose request was refused before its body was read must not hold its connection by
// never ending the body.
func TestRefusedBodyWithoutEnd(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) }
	withServer(t, Bounds{}, refuse, func(f *fixture) {
		c := f.dial()
		f.send(c, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc")
		got, took := f.untilClosed(c)
		assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 401 "), got)
		assert.Assert(t, took <= refusalTime+time.Second, "%s", took)
	})
}

// A process that has no descriptors left, although it counts enough, must close idle connections
// and go on accepting. Each change between too few and enough must be logged once.
func TestOutOfDescriptors(t *testing.T) {
	withServer(t, Bounds{Descriptors: 4100}, answerOK, func(f *fixture) {
		first, second := f.dial(), f.dial()
		assert.Equal(t, f.request(first, get), 200)
		time.Sleep(time.Second)
		assert.Equal(t, f.request(second, get), 200)
		f.listener.failures <- &net.OpError{Op: "accept", Err: syscall.EMFILE}
		got, took := f.untilClosed(first)
		assert.Equal(t, got, "")
		assert.Equal(t, took, time.Duration(0))
		assert.Equal(t, f.request(f.dial(), get), 200)
		f.listener.failures <- &net.OpError{Op: "accept", Err: syscall.ENFILE}
		_, took = f.untilClosed(second)
		assert.Equal(t, took, time.Duration(0))
		f.assertLogged(event.ConnectionsShort, 1)
		f.assertLogged(event.ConnectionsEnough, 0)
		time.Sleep(shortageTime + 2*sweepInterval)
		f.assertLogged(event.ConnectionsShort, 1)
		f.assertLogged(event.ConnectionsEnough, 1)
		f.assertMetric(`jasminewing_direct_caller_connections_closed_total{reason="room"} 2`)
		assert.Assert(t, strings.Contains(f.log.String(), "bound=descriptors"), f.log)
	})
}

// assertLogged checks how often an event has been logged.
func (f *fixture) assertLogged(n event.Number, want int) {
	f.Helper()
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	assert.Equal(f, strings.Count(f.log.String(), fmt.Sprintf("event=%d ", n)), want)
}

// Bodies that take too long must not keep new callers out. Their requests must be refused, and
// one whose body has been read must be answered.
func TestSlowBodiesMakeRoom(t *testing.T) {
	release := make(chan struct{})
	handle := func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		if kept := RequestRead(r.Context()); !kept || err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Path == "/wait" {
			<-release
		}
	}
	withServer(t, Bounds{Memory: 2*(entryMemory+servedMemory) + 10<<10}, handle, func(f *fixture) {
		release = make(chan struct{})
		served, slow := f.dial(), f.dial()
		f.send(served, "POST /wait HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
		f.send(slow, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc")
		got, _ := f.untilClosed(f.dial())
		assert.Equal(t, got, "")
		time.Sleep(slowBody)
		newer := f.dial()
		got, took := f.untilClosed(slow)
		assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 503 "), got)
		assert.Assert(t, took <= lingerTime, "%s", took)
		assert.Equal(t, f.request(newer, get), 200)
		close(release)
		r, err := http.ReadResponse(bufio.NewReader(served), nil)
		assert.NilError(t, err)
		assert.Equal(t, r.StatusCode, 200)
	})
}
