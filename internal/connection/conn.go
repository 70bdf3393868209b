package connection

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
)

// longAgo is a read deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// conn is a connection of a caller. While a request is served, reads only cost two atomic loads
// more than those of the connection that it wraps.
type conn struct {
	net.Conn
	tracker *Tracker
	// entry is guarded by the mutex of the tracker, and so is largeHead, which is set when a
	// head was over the limit.
	entry     *Entry
	largeHead bool
	// served is whether a head has been read and its request is not answered.
	served atomic.Bool
	// closing is set once the connection is to be closed; it is cleared if a whole head had
	// been read by then.
	closing atomic.Bool

	// The rest is used by the goroutine of the connection alone. headBytes is the size of the
	// head so far, and refused is set when the connection has been refused.
	headBytes int64
	refused   bool
	closeOnce sync.Once
}

// Read reads from the connection. It fails if the connection is to be closed, and after the
// answer to a head that is refused.
func (c *conn) Read(p []byte) (int, error) {
	if c.served.Load() {
		if c.closing.Load() {
			return 0, errClosing
		}
		return c.Conn.Read(p)
	}
	if c.refused {
		return 0, errClosing
	}
	// The server reads on, so what has been read so far is not a whole head.
	left := c.tracker.limits.Load().HeadBytes - c.headBytes
	if left <= 0 {
		c.refuseLargeHead(p)
		return 0, errClosing
	}
	if c.closing.Load() {
		c.refuseClosing()
		return 0, errClosing
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), left)])
	if n > 0 {
		c.tracker.received(c, p[:n])
	}
	if err != nil && c.closing.Load() {
		c.refuseClosing()
		return n, errClosing
	}
	return n, err
}

// refuseClosing answers a part of a head with a status that says that the request has not run.
// Without one, the caller gets no answer.
func (c *conn) refuseClosing() {
	c.refused = true
	if c.headBytes == 0 {
		return
	}
	c.tracker.countRefusal(result.HeadTooSlow)
	c.answer(slowHeadAnswer)
}

func (c *conn) refuseLargeHead(p []byte) {
	c.refused = true
	c.tracker.countRefusal(result.HeadTooLarge)
	c.answer(largeHeadAnswer)
	if !c.tracker.linger(c) {
		return
	}
	for dropped := 0; dropped < lingerBytes; {
		n, err := c.Conn.Read(p)
		if err != nil {
			return
		}
		dropped += n
	}
}

func (c *conn) answer(a []byte) {
	_ = c.SetWriteDeadline(time.Now().Add(answerTimeout))
	_, _ = c.Conn.Write(a)
	_ = c.CloseWrite()
}

// CloseWrite closes the writing side of a TCP connection.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// HasUnread reports whether bytes have arrived on a TCP connection that have not been read.
func (c *conn) HasUnread() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// SetLinger sets how a TCP connection with unsent data is closed.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// Close closes the connection and removes it from the tracker.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.closeOnce.Do(func() { c.tracker.closed(c) })
	return err
}
