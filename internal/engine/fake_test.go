package engine

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
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/table"
)

// rawServer answers with raw bytes and closes connections as Answer decides.
type rawServer struct {
	// Answer writes the answer to the n-th request, counted from 1, and returns
	// whether the connection stays open.
	Answer func(n int, r *http.Request, w net.Conn) (keep bool)

	mu       sync.Mutex
	received int
	group    sync.WaitGroup
	listener net.Listener
	conns    []net.Conn
}

func (s *rawServer) start(t *testing.T) fleet.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.listener = l
	s.group.Go(s.accept)
	t.Cleanup(s.stop)
	return fleet.Address(l.Addr().String())
}

func (s *rawServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		s.group.Go(func() { s.serve(c) })
	}
}

func (s *rawServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		s.mu.Lock()
		s.received++
		n := s.received
		s.mu.Unlock()
		if !s.Answer(n, q, c) {
			return
		}
	}
}

func (s *rawServer) stop() {
	s.listener.Close()
	s.mu.Lock()
	for _, c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

func (s *rawServer) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

// recorder is a Sink that records what it receives.
type recorder struct {
	status int
	header http.Header
	data   strings.Builder
	fail   error
	onData func()
}

func (r *recorder) Head(status int, h http.Header) error {
	r.status, r.header = status, h
	return nil
}

func (r *recorder) Data(p []byte, _ table.Tokens) error {
	r.data.Write(p)
	if r.onData != nil {
		r.onData()
	}
	return r.fail
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
