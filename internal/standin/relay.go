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

// Relay is a stretch of network that can fail: it forwards TCP connections to
// one address, and can reset them or swallow what they carry.
type Relay struct {
	To fleet.Address

	mu      sync.Mutex
	links   map[*link]bool
	refused bool
	// open is closed while bytes pass.
	open chan struct{}
}

// link is one connection with its other half.
type link struct {
	near, far *net.TCPConn
	ended     chan struct{}
	once      sync.Once
}

// close ends both halves, as a reset where hard is set.
func (l *link) close(hard bool) {
	l.once.Do(func() {
		for _, c := range []*net.TCPConn{l.near, l.far} {
			if hard {
				_ = c.SetLinger(0)
			}
			_ = c.Close()
		}
		close(l.ended)
	})
}

// Serve forwards what the listener accepts until ctx ends, and closes all.
func (r *Relay) Serve(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		_ = l.Close()
		r.each(func(k *link) { k.close(false) })
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

// Reset resets every connection, and those that come, until Restore.
func (r *Relay) Reset() {
	r.mu.Lock()
	r.refused = true
	r.mu.Unlock()
	r.each(func(k *link) { k.close(true) })
}

// ResetOnce resets every connection of now; new ones are forwarded.
func (r *Relay) ResetOnce() { r.each(func(k *link) { k.close(true) }) }

// Drop swallows what comes, both ways and also on new connections, without
// closing any, until Restore.
func (r *Relay) Drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	select {
	case <-r.open:
		r.open = make(chan struct{})
	default:
	}
}

// Restore forwards again. A connection that lost nothing goes on where it
// stopped, as after a short partition.
func (r *Relay) Restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	r.refused = false
	select {
	case <-r.open:
	default:
		close(r.open)
	}
}

func (r *Relay) init() {
	if r.open != nil {
		return
	}
	r.links = make(map[*link]bool)
	r.open = make(chan struct{})
	close(r.open)
}

func (r *Relay) passing() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	return r.open
}

func (r *Relay) each(f func(*link)) {
	r.mu.Lock()
	links := make([]*link, 0, len(r.links))
	for k := range r.links {
		links = append(links, k)
	}
	r.mu.Unlock()
	for _, k := range links {
		f(k)
	}
}

// add keeps a link, unless connections are reset now or ctx has ended.
func (r *Relay) add(ctx context.Context, k *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init()
	if r.refused || ctx.Err() != nil {
		return false
	}
	r.links[k] = true
	return true
}

func (r *Relay) remove(k *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, k)
}

func (r *Relay) forward(ctx context.Context, near *net.TCPConn) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", string(r.To))
	if err != nil {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	k := &link{near: near, far: c.(*net.TCPConn), ended: make(chan struct{})}
	if !r.add(ctx, k) {
		k.close(true)
		return
	}
	defer r.remove(k)
	var g sync.WaitGroup
	g.Go(func() { r.copy(k, k.far, k.near) })
	g.Go(func() { r.copy(k, k.near, k.far) })
	g.Wait()
}

// copy carries one direction. While bytes are dropped it holds back what it
// has read, and an end as well.
func (r *Relay) copy(k *link, to, from *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-r.passing():
		case <-k.ended:
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
