package standin

import (
	"context"
	"net"
	"net/http"
	"testing"

	"jasminewing.dev/jasminewing/internal/engine"
)

// pipes is a listener in memory, so that a server runs in fake time.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p pipes) Close() error   { close(p); return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipes) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p <- far
	return near, nil
}

// serve runs a handler until the test's bubble ends, and gives a client.
func serve(t *testing.T, h http.Handler) *engine.Client {
	t.Helper()
	p := make(pipes)
	s := &http.Server{Handler: h}
	go s.Serve(p)
	c := &engine.Client{Address: "standin:1", Dial: p.dial}
	t.Cleanup(func() {
		c.CloseIdle()
		s.Close()
	})
	return c
}
