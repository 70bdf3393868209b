package standin

import (
	"context"
	"net"
	"net/http"
	"testing"

	"jasminewing.dev/jasminewing/internal/engine"
)

// pipeListener is a listener in memory, so that a server runs in fake time.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p pipeListener) Close() error   { close(p); return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	p <- server
	return client, nil
}

// startServer runs a handler until the test's bubble ends, and gives a client.
func startServer(t *testing.T, h http.Handler) *engine.Client {
	t.Helper()
	p := make(pipeListener)
	s := &http.Server{Handler: h}
	go s.Serve(p)
	c := &engine.Client{Address: "standin:1", Dial: p.dial}
	t.Cleanup(func() {
		c.CloseIdle()
		s.Close()
	})
	return c
}
