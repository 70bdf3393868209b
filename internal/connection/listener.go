package connection

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	// receiveBuffer and sendBuffer are what the kernel holds for a connection in each
	// direction, in bytes. The kernel's own limits are several megabytes. With 32 KB, a
	// connection with a round trip of 20 ms transfers 1.6 MB/s.
	receiveBuffer = 32 << 10
	sendBuffer    = 32 << 10
	// closingWait limits how long a new connection waits for others to be closed.
	closingWait = 100 * time.Millisecond
	// descriptorRetry is how long to wait before accepting again when the process has no
	// descriptors left.
	descriptorRetry = 10 * time.Millisecond
)

// Listen opens a TCP listener for callers. The connections inherit its bounded buffers.
func Listen(address string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer))
		})
		return errors.Join(err, failed)
	}}
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

// Listener returns a listener whose connections are tracked.
func (t *Tracker) Listener(l net.Listener) net.Listener { return &listener{Listener: l, tracker: t} }

type listener struct {
	net.Listener
	tracker *Tracker
}

// SetDeadline sets the deadline of Accept, if the listener inside has one.
func (l *listener) SetDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return fmt.Errorf("set deadline: %T has no deadlines", l.Listener)
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		switch {
		case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			l.tracker.freeDescriptor()
			continue
		case err != nil:
			return nil, err
		}
		if c := l.tracker.open(n); c != nil {
			return c, nil
		}
		_ = n.Close()
	}
}

// open adds a connection that has been accepted, or returns nil if there is no room for it.
// Connections that are to be closed use descriptors until their goroutines have closed them,
// so it waits if there are many.
func (t *Tracker) open(n net.Conn) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	for until := time.Now().Add(closingWait); t.core.Closing() >= closingDescriptors; {
		left := time.Until(until)
		if left <= 0 {
			t.metrics.closed[ReasonRefused].Inc()
			return nil
		}
		t.mu.Unlock()
		t.waitFreed(left)
		t.mu.Lock()
	}
	now := time.Now()
	if t.Upstreams != nil {
		t.core.Upstreams = t.Upstreams()
	}
	c := &conn{Conn: n, tracker: t}
	if c.entry = t.core.Open(now, c); c.entry == nil {
		t.metrics.closed[ReasonRefused].Inc()
		t.report(now)
		return nil
	}
	t.metrics.opened.Inc()
	t.makeRoom(now)
	return c
}

// freeDescriptor closes a connection because the process has no descriptors left, although by
// its own count it has, and waits until a connection is closed.
func (t *Tracker) freeDescriptor() {
	t.mu.Lock()
	now := time.Now()
	if e := t.core.ForceExcess(now); e != nil {
		t.interrupt(e)
	}
	t.report(now)
	t.mu.Unlock()
	t.waitFreed(descriptorRetry)
}

func (t *Tracker) waitFreed(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-t.freed:
	case <-timer.C:
	}
}
