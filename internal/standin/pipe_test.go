package standin

import (
	"context"
	"net"
	"net/http"
	"testing"

	"jasminewing.dev/jasminewing/internal/engine"
)

// pipeListener is an in-memory listener, so that a server can run in the fake
// time of synctest.
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

// startServer serves a handler until the test ends and returns a client for
// it.
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
