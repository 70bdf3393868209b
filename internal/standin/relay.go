package standin

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"

	"golang.org/x/sync/errgroup"

	"jasminewing.dev/jasminewing/internal/fleet"
)

// Relay is a TCP proxy that injects network failures. It forwards connections
// to one address, and can reset them or hold back their data.
type Relay struct {
	Target fleet.Address

	mu        sync.Mutex
	conns     map[*proxiedConn]bool
	resetting bool
	// resumed is closed unless Drop is in effect.
	resumed chan struct{}
}

// proxiedConn is a connection from a client together with the connection to
// the target.
type proxiedConn struct {
	client, server *net.TCPConn
	closed         chan struct{}
	once           sync.Once
}

// close closes both connections. If reset is true, it resets them.
func (l *proxiedConn) close(reset bool) {
	l.once.Do(func() {
		for _, c := range []*net.TCPConn{l.client, l.server} {
			if reset {
				_ = c.SetLinger(0)
			}
			_ = c.Close()
		}
		close(l.closed)
	})
}

// Serve forwards the connections that the listener accepts until ctx ends.
// Then it closes the listener and all connections.
func (r *Relay) Serve(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		_ = l.Close()
		r.each(func(k *proxiedConn) { k.close(false) })
		return nil
	})
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if ctx.Err() != nil {
				return context.Canceled
			}
			if err != nil {
				return fmt.Errorf("accept at relay: %w", err)
			}
			g.Go(func() error {
				r.forward(ctx, c.(*net.TCPConn))
				return nil
			})
		}
	})
	if err := g.Wait(); ctx.Err() == nil {
		return err
	}
	return nil
}

// Reset resets every current and new connection until Restore is called.
func (r *Relay) Reset() {
	r.mu.Lock()
	r.resetting = true
	r.mu.Unlock()
	r.each(func(k *proxiedConn) { k.close(true) })
}

// ResetOnce resets every current connection. New connections are forwarded.
func (r *Relay) ResetOnce() { r.each(func(k *proxiedConn) { k.close(true) }) }

// Drop stops forwarding data in both directions, on current and new
// connections, until Restore is called. It closes no connection.
func (r *Relay) Drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	select {
	case <-r.resumed:
		r.resumed = make(chan struct{})
	default:
	}
}

// Restore ends the effect of Reset and Drop. A connection that Drop held
// continues where it stopped, as after a short network partition.
func (r *Relay) Restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	r.resetting = false
	select {
	case <-r.resumed:
	default:
		close(r.resumed)
	}
}

func (r *Relay) init() {
	if r.resumed != nil {
		return
	}
	r.conns = make(map[*proxiedConn]bool)
	r.resumed = make(chan struct{})
	close(r.resumed)
}

// resumedChan returns a channel that is closed when data may be forwarded.
func (r *Relay) resumedChan() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	return r.resumed
}

func (r *Relay) each(f func(*proxiedConn)) {
	r.mu.Lock()
	conns := make([]*proxiedConn, 0, len(r.conns))
	for k := range r.conns {
		conns = append(conns, k)
	}
	r.mu.Unlock()
	for _, k := range conns {
		f(k)
	}
}

// add registers a connection. It returns false if connections are being reset
// or ctx has ended.
func (r *Relay) add(ctx context.Context, k *proxiedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	if r.resetting || ctx.Err() != nil {
		return false
	}
	r.conns[k] = true
	return true
}

func (r *Relay) remove(k *proxiedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, k)
}

func (r *Relay) forward(ctx context.Context, client *net.TCPConn) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", string(r.Target))
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	k := &proxiedConn{client: client, server: c.(*net.TCPConn), closed: make(chan struct{})}
	if !r.add(ctx, k) {
		k.close(true)
		return
	}
	defer r.remove(k)
	var g sync.WaitGroup
	g.Go(func() { r.copy(k, k.server, k.client) })
	g.Go(func() { r.copy(k, k.client, k.server) })
	g.Wait()
}

// copy forwards one direction of a connection. While Drop is in effect, it
// holds back the data and the end of stream that it has read.
func (r *Relay) copy(k *proxiedConn, to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-r.resumedChan():
		case <-k.closed:
			return
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				k.close(true)
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			k.close(true)
			return
		}
	}
}
