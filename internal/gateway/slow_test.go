package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/table"
)

const testKey = "demo-key-market"

// staticFleet is a Fleet whose view never changes.
type staticFleet struct{ view fleet.View }

func (f *staticFleet) View() *fleet.View { return &f.view }

func (f *staticFleet) Changed() <-chan struct{}                                         { return nil }
func (f *staticFleet) ObserveVersions(table.Revision, fleet.ListVersion, fleet.Address) {}
func (f *staticFleet) Renew(context.Context) error                                      { return nil }

// demoGateway returns a gateway with the demo's table and no sidecars.
func demoGateway(t *testing.T) *Gateway {
	t.Helper()
	var sections []table.Section
	for _, name := range table.Sections() {
		data, err := os.ReadFile(filepath.Join("../demo/table", name+".csv"))
		assert.NilError(t, err)
		sections = append(sections, table.Section{Name: name, Data: data, Revision: 1})
	}
	tab, faults := table.Parse(sections)
	assert.Equal(t, len(faults), 0)
	g := &Gateway{
		Name: "gw_1", Fleet: &staticFleet{fleet.View{Table: tab, Ready: true}},
		MaxBody: 64 << 10, MaxAnswer: 16 << 20, MaxWaiting: 8,
	}
	g.Init()
	return g
}

// pipeListener is a listener for in-memory connections, whose deadlines follow
// the clock of the synctest bubble.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener { return &pipeListener{make(chan net.Conn), make(chan struct{})} }

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	close(p.closed)
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial() net.Conn {
	caller, server := net.Pipe()
	p.conns <- server
	return caller
}

// serveInMemory serves h in a synctest bubble until end is called. No handler
// may still be running when end returns.
func serveInMemory(h http.Handler) (dial func() net.Conn, end func()) {
	l := newPipeListener()
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(l)
	}()
	return l.dial, func() {
		_ = s.Close()
		<-ended
		synctest.Wait()
	}
}

// sendSlowly sends one byte per second until the peer closes the connection.
func sendSlowly(c net.Conn) {
	for {
		if _, err := c.Write([]byte("x")); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// A caller that does not send its whole body must get an answer within a
// bounded time, whatever the reason for the refusal, and its connection must be
// closed.
func TestSlowBody(t *testing.T) {
	tests := []struct {
		name, head string
		sends      bool
		want       int
		code       string
	}{
		{"good key, slow body", "POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer " + testKey, true, 400, "2011"},
		{"good key, no body", "POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer " + testKey, false, 400, "2011"},
		{"wrong key, no body", "POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer wrong", false, 401, "2004"},
		{"wrong key, slow body", "POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer wrong", true, 401, "2004"},
		{"unknown path", "POST /v1/nothing HTTP/1.1", false, 404, "2008"},
		{"models", "GET /v1/models HTTP/1.1\r\nAuthorization: Bearer " + testKey, false, 200, "draft"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sending sync.WaitGroup
				defer sending.Wait()
				dial, end := serveInMemory(demoGateway(t).Handler())
				defer end()
				c := dial()
				defer c.Close()
				start := time.Now()
				_ = c.SetDeadline(start.Add(5 * time.Minute))
				_, err := io.WriteString(c, tt.head+"\r\nHost: x\r\nContent-Length: 1000\r\n\r\n")
				assert.NilError(t, err)
				if tt.sends {
					sending.Go(func() { sendSlowly(c) })
				}
				r := bufio.NewReader(c)
				resp, err := http.ReadResponse(r, nil)
				assert.NilError(t, err)
				body, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, tt.want, "%s", body)
				assert.Assert(t, strings.Contains(string(body), tt.code), "%s", body)
				bound := bodyTimeout + 2*unreadTimeout
				if tt.want != http.StatusBadRequest && tt.want != http.StatusOK {
					bound = 2 * unreadTimeout
				}
				assert.Assert(t, time.Since(start) <= bound, "answered after %s", time.Since(start))
				_, err = r.ReadByte()
				assert.Equal(t, err, io.EOF, "the connection was not closed")
				assert.Assert(t, time.Since(start) <= 2*bodyTimeout, "closed after %s", time.Since(start))
			})
		})
	}
}

// The deadlines of one request must not affect a later request on the same
// connection after an idle period.
func TestConnectionReuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := demoGateway(t)
		dial, end := serveInMemory(g.Handler())
		defer end()
		c := dial()
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(time.Hour))
		r := bufio.NewReader(c)
		for _, path := range []string{"/v1/nothing", "/v1/models", "/v1/models"} {
			_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", path, testKey)
			assert.NilError(t, err)
			resp, err := http.ReadResponse(r, nil)
			assert.NilError(t, err, path)
			_, err = io.Copy(io.Discard, resp.Body)
			assert.NilError(t, err, path)
			time.Sleep(writeTimeout + time.Second)
		}
	})
}
