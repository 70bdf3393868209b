// Package upstream sends requests to upstreams over pooled connections.
//
// It sends each request once and never retries. Exchange reports whether any
// bytes of the request may have reached the upstream, which decides whether the
// request may be retried. A connection is reused only if the previous response
// was complete, no unread data is left on it and the upstream has not closed it.
//
// A response with neither a length nor chunks ends with its connection. That end is
// believed only if the upstream has received the whole request, because it may otherwise
// have reset the connection. Malformed heads that net/http accepts are refused.
//
// A response that does not say to which request it belongs is believed only as the
// first one on its connection. An upstream that sends such responses gets requests
// that may run once on unused connections, so that its refusals stay believable.
//
// # Usage
//
//	p := &upstream.Pool{Address: "10.1.0.3:8080"}
//	x := p.Exchange(ctx, &upstream.Request{Method: "POST", Target: "/a", Header: h, Body: b})
//	defer x.Close()
//	if x.Err != nil && !x.Sent {
//		// safe to retry on another upstream
//	}
//	io.Copy(w, x.Response.Body)
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// connectTimeout limits how long connecting may take. Data centres of a
	// region are milliseconds apart, so an upstream that takes longer is down or
	// unreachable.
	connectTimeout = 400 * time.Millisecond
	// userTimeout is the TCP user timeout. It closes a connection whose data is
	// not acknowledged, so that an unreachable upstream is detected.
	userTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// specifies no keep-alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the upstream's keep-alive timeout. It allows for
	// a request that is in transit when the timeout expires.
	idleMargin = 500 * time.Millisecond
	// maxIdle is the maximum number of idle connections to one upstream.
	maxIdle = 16
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4 << 10
)

// Pool is a pool of connections to one upstream. It is safe for concurrent use.
type Pool struct {
	Address string
	// Dial opens a connection; if nil, the pool dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnConnect is called after each new connection is opened, and OnClose after it is closed;
	// they may be nil.
	OnConnect, OnClose func()

	mu     sync.Mutex
	idle   []*conn
	closed bool
	// lastFailure is when a connection last failed. Connections opened before it
	// may have failed too and are not reused.
	lastFailure time.Time

	// unidentified reports that the upstream has sent a response that does not say to
	// which request it belongs.
	unidentified atomic.Bool
}

// conn is a connection, owned by at most one exchange at a time.
type conn struct {
	net.Conn
	limited   *limitedReader
	reader    *bufio.Reader
	opened    time.Time
	idleUntil time.Time
	used      bool
	onClose   func()
	closeOnce sync.Once
}

// Close closes the connection.
func (c *conn) Close() error {
	err := c.Conn.Close()
	if c.onClose != nil {
		c.closeOnce.Do(c.onClose)
	}
	return err
}

// limitedReader reads at most left bytes, and scans the head of a response. Unlike io.LimitedReader
// it fails after its limit.
type limitedReader struct {
	source io.Reader
	left   int64
	head   HeadScanner
}

// Read reads from the source, up to the limit, and fails if the head is to be refused.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.source.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	if refused := l.head.Scan(p[:n]); refused != nil {
		return 0, refused
	}
	return n, err
}

// Close closes the idle connections. Connections in use are closed when their
// exchange ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// CloseExpired closes the connections that have been idle for too long. Otherwise they would use
// descriptors until the pool is used again, because the one used last is reused first.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		expired := !now.Before(c.idleUntil)
		if expired {
			_ = c.Close()
		}
		return expired
	})
}

// get returns a usable idle connection or opens a new one. If unused is set, the
// connection has not been used before.
func (p *Pool) get(ctx context.Context, unused bool) (*conn, error) {
	if unused {
		return p.connect(ctx)
	}
	for {
		c := p.popIdle()
		if c == nil {
			return p.connect(ctx)
		}
		if time.Now().Before(c.idleUntil) && openAndEmpty(c.Conn) {
			return c, nil
		}
		_ = c.Close()
	}
}

// Check returns nil if the upstream runs: an idle connection to it is open, or a new one can be
// opened, which is closed again. Otherwise it returns the error of opening one.
func (p *Pool) Check(ctx context.Context) error {
	if p.hasOpenIdle() {
		return nil
	}
	c, err := p.connect(ctx)
	if err != nil {
		return err
	}
	return c.Close()
}

func (p *Pool) hasOpenIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, func(c *conn) bool { return openAndEmpty(c.Conn) })
}

func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	c, err := dial(ctx, p.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to upstream: %w", err)
	}
	if p.OnConnect != nil {
		p.OnConnect()
	}
	l := &limitedReader{source: c}
	return &conn{Conn: c, limited: l, reader: bufio.NewReaderSize(l, readBufferSize), opened: time.Now(), onClose: p.OnClose}, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setOptions(raw)
		},
	}
	return d.DialContext(ctx, "tcp4", address)
}

// putIdle returns a connection to the pool after a complete response, or closes
// it if it may not be reused.
func (p *Pool) putIdle(c *conn, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || idle <= 0 || len(p.idle) >= maxIdle || c.opened.Before(p.lastFailure) {
		_ = c.Close()
		return
	}
	c.used = true
	c.idleUntil = time.Now().Add(idle)
	p.idle = append(p.idle, c)
}

// closeFailed closes a failed connection and all idle connections, which may
// have failed too.
func (p *Pool) closeFailed(c *conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFailure = time.Now()
	for _, other := range p.idle {
		_ = other.Close()
	}
	p.idle = nil
}
