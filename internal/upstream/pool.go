// Package upstream sends requests to upstreams over connections that it keeps.
//
// A request goes out once: nothing here repeats it. Exchange tells whether any
// of its bytes may have reached the upstream, which is what decides whether it
// may be sent again. A kept connection is used again only if the answer before
// it ended whole, nothing is left unread on it and the far end has not closed
// it.
//
// # Usage
//
//	p := &upstream.Pool{Address: "10.1.0.3:8080"}
//	x := p.Exchange(ctx, &upstream.Request{Method: "POST", Target: "/a", Header: h, Body: b})
//	defer x.Close()
//	if x.Err != nil && !x.Sent {
//		// safe to send elsewhere
//	}
//	io.Copy(w, x.Response.Body)
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// connectTimeout bounds making a connection. Data centres of a region are
	// milliseconds apart; what takes this long is down or cut off.
	connectTimeout = 400 * time.Millisecond
	// userTimeout ends a connection whose bytes are not acknowledged, so that one
	// that has gone silent shows.
	userTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept if the upstream names no time.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is taken off the time that the upstream names, for a request
	// that is on its way when the time is up.
	idleMargin = 500 * time.Millisecond
	// maxIdle is the most idle connections kept to one upstream.
	maxIdle = 16
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 4 << 10
)

// Pool keeps the connections to one upstream. It is safe for concurrent use.
type Pool struct {
	Address string
	// Dial makes a connection; nil for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnConnect is called for each new connection; it may be nil.
	OnConnect func()

	mu     sync.Mutex
	idle   []*conn
	closed bool
	// lastFailure is the time of the last failure of a connection: older idle ones
	// may have failed with it.
	lastFailure time.Time
}

// conn is one connection. One exchange owns it at a time.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	opened    time.Time
	idleUntil time.Time
	used      bool
}

// Close closes the idle connections; those in use close when their exchange
// ends.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// get gives a kept connection or a new one.
func (p *Pool) get(ctx context.Context) (*conn, error) {
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
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferSize), opened: time.Now()}, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return setUserTimeout(raw, userTimeout)
		},
	}
	return d.DialContext(ctx, "tcp4", address)
}

// putIdle takes back a connection whose answer ended whole.
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

// closeFailed closes a connection that failed, and the idle ones that are as old.
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
