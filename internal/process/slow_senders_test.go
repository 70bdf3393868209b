package process

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/admin"
	"jasminewing.dev/jasminewing/pkg/result"
)

// singleConnListener accepts one in-memory connection, whose deadlines follow the
// time of the synctest bubble.
type singleConnListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *singleConnListener) Close() error {
	close(l.closed)
	return nil
}

func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// A client that sends its headers slowly, or its body slowly on the admin
// listener, must be disconnected within a bounded time.
func TestSlowSenders(t *testing.T) {
	const head = "POST /v1/table/check HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n"
	refuse := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		admin.Refuse(w, result.Errorf(result.BadBody, "read: %v", err))
	})
	tests := []struct {
		name, sent string
		server     func(http.Handler) *http.Server
		bound      time.Duration
	}{
		{"callers, nothing", "", newServer, readHeaderTimeout},
		{"callers, incomplete head", head, newServer, readHeaderTimeout},
		{"admin, incomplete head", head, newAdminServer, readHeaderTimeout},
		{"admin, no body", head + "\r\n", newAdminServer, adminTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &singleConnListener{make(chan net.Conn), make(chan struct{})}
				s := tt.server(refuse)
				ended := make(chan error, 1)
				go func() { ended <- s.Serve(l) }()
				c, server := net.Pipe()
				l.conns <- server
				start := time.Now()
				_ = c.SetDeadline(start.Add(time.Hour))
				_, err := io.WriteString(c, tt.sent)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, bufio.NewReader(c))
				assert.NilError(t, err)
				assert.Assert(t, time.Since(start) <= tt.bound+time.Second, "closed after %s", time.Since(start))
				_ = s.Close()
				<-ended
			})
		})
	}
}
