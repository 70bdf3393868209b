package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	testTimeout = 20 * time.Second
	testSecret  = Secret("a-secret-for-this-test")
)

// echoWork is a Work server that responds to each message with the size of its
// body.
type echoWork struct{ runs, ended atomic.Int64 }

func (e *echoWork) Run(s DRPCWork_RunStream) error {
	e.runs.Add(1)
	defer e.ended.Add(1)
	for {
		m, err := s.Recv()
		if err != nil {
			return err
		}
		chunk := &Chunk{Tokens: uint32(len(m.GetBody().GetData()))}
		if err := s.Send(&SidecarMessage{Kind: &SidecarMessage_Chunk{Chunk: chunk}}); err != nil {
			return err
		}
	}
}

func (e *echoWork) Watch(*WatchRequest, DRPCWork_WatchStream) error { return nil }

// refusals records the result codes of refused connections.
type refusals struct {
	mu    sync.Mutex
	codes []result.Code
}

func (r *refusals) record(_ string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.codes = append(r.codes, result.CodeOf(err))
}

func (r *refusals) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.codes)
}

// serveTCP starts a server on a loopback port. The returned shutdown function
// stops it and fails the test if goroutines leak.
func serveTCP(t *testing.T) (address string, work *echoWork, refused *refusals, shutdown func()) {
	t.Helper()
	before := runtime.NumGoroutine()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	work, refused = &echoWork{}, &refusals{}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	s := &Server{Secret: testSecret, Work: work, OnRefused: refused.record}
	go func() { ended <- s.Serve(ctx, l) }()
	return l.Addr().String(), work, refused, func() {
		cancel()
		assert.NilError(t, <-ended)
		waitFor(t, "goroutines to end", func() bool { return runtime.NumGoroutine() <= before })
	}
}

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	end := time.NewTimer(testTimeout)
	defer end.Stop()
	poll := time.NewTicker(time.Millisecond)
	defer poll.Stop()
	for !holds() {
		select {
		case <-poll.C:
		case <-end.C:
			t.Fatalf("timed out after %s waiting for %s", testTimeout, what)
		}
	}
}

func bodyOf(n int) *GatewayMessage {
	return &GatewayMessage{Kind: &GatewayMessage_Body{Body: &Body{Data: make([]byte, n)}}}
}

// sendBody sends a body of n bytes and returns the size that the server
// received.
func sendBody(d *Dialer, address string, n int) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s, err := NewDRPCWorkClient(d.To(address)).Run(ctx)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	if err := s.Send(bodyOf(n)); err != nil {
		return 0, err
	}
	m, err := s.Recv()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return 0, ctx.Err()
	}
	return int(m.GetChunk().GetTokens()), err
}

// A peer without the right secret must not reach any service, and rejecting it
// must not affect other peers.
func TestSecret(t *testing.T) {
	address, work, refused, end := serveTCP(t)
	defer end()
	for _, secret := range []Secret{"", "another-secret-than-that", testSecret + "x", testSecret[:5]} {
		d := &Dialer{Secret: secret}
		_, err := sendBody(d, address, 10)
		assert.Assert(t, err != nil && !errors.Is(err, context.DeadlineExceeded), "%q: %v", secret, err)
		assert.NilError(t, d.Close())
	}
	waitFor(t, "refusals", func() bool { return refused.count() == 4 })
	for _, c := range refused.codes {
		assert.Equal(t, c, result.BadSecret)
	}
	assert.Equal(t, work.runs.Load(), int64(0))

	d := &Dialer{Secret: testSecret}
	n, err := sendBody(d, address, 10)
	assert.NilError(t, err)
	assert.Equal(t, n, 10)
	assert.NilError(t, d.Close())
}

// A message over the limit, or malformed data, must end its connection without
// a hang. A message just below the limit must pass, and the server must keep
// serving other connections.
func TestOversizedFrames(t *testing.T) {
	address, work, _, end := serveTCP(t)
	defer end()
	d := &Dialer{Secret: testSecret}
	n, err := sendBody(d, address, MaxMessageBytes-BodyPartBytes)
	assert.NilError(t, err)
	assert.Equal(t, n, MaxMessageBytes-BodyPartBytes)
	for _, size := range []int{MaxMessageBytes + 1, 4 * MaxMessageBytes} {
		_, err = sendBody(d, address, size)
		assert.Assert(t, err != nil && !errors.Is(err, context.DeadlineExceeded), "%d bytes: %v", size, err)
	}
	// 0xff bytes form a varint that never ends, 0x00 bytes form a frame with a
	// message id that is already used, and 0x02 starts a frame larger than the
	// limit.
	large := "\x02\x01\x01\xff\xff\xff\x7f" + strings.Repeat("x", 2*MaxMessageBytes)
	for _, sent := range []string{strings.Repeat("\xff", 100), strings.Repeat("\x00", 100), large} {
		c, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		_, _ = c.Write(append(testSecret.preamble(), sent...))
		_ = c.(*net.TCPConn).CloseWrite()
		_, err = io.Copy(io.Discard, c)
		assert.Assert(t, !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err), "%q: %v", sent[:1], err)
		assert.NilError(t, c.Close())
	}
	n, err = sendBody(d, address, 10)
	assert.NilError(t, err)
	assert.Equal(t, n, 10)
	assert.NilError(t, d.Close())
	waitFor(t, "runs to end", func() bool { return work.ended.Load() == work.runs.Load() })
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// memoryListener is a listener whose connections are in-memory pipes.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// A peer that sends its preamble slowly, or never completes it, must be
// rejected within preambleTimeout and must not delay other peers.
func TestSlowPreamble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		refused, work := &refusals{}, &echoWork{}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		s := &Server{Secret: testSecret, Work: work, OnRefused: refused.record}
		go func() { ended <- s.Serve(ctx, l) }()
		start := time.Now()
		var slow sync.WaitGroup
		for _, pause := range []time.Duration{time.Hour, 100 * time.Millisecond} {
			c, server := net.Pipe()
			l.conns <- server
			slow.Go(func() {
				for _, b := range testSecret.preamble() {
					if _, err := c.Write([]byte{b}); err != nil {
						return
					}
					time.Sleep(pause)
				}
			})
		}
		waitFor(t, "refusals", func() bool { return refused.count() == 2 })
		assert.Assert(t, time.Since(start) <= preambleTimeout+time.Millisecond, "%s", time.Since(start))
		assert.Equal(t, work.runs.Load(), int64(0))
		cancel()
		assert.NilError(t, <-ended)
		slow.Wait()
	})
}
