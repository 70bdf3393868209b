package process

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// callerConnKey is the context key of the connection of a request.
type callerConnKey struct{}

// requestPhase is how far the current request of a connection has come.
type requestPhase int

const (
	// requestNone: no byte of a request has been read since the last answer.
	requestNone requestPhase = iota
	// requestUnanswered: a byte of a request has been read.
	requestUnanswered
	// requestHandled: the handler has returned. The server may still write the answer.
	requestHandled
	// requestAnswered: the server has written the answer, and may read the rest of the body.
	requestAnswered
)

// callerConn is a connection of a caller. At the end of the server, a connection without a
// request is not closed but its reads fail, so that either a read returns bytes and the
// request is answered, or the server closes the connection itself without having read any.
type callerConn struct {
	net.Conn
	listener *callerListener

	mu    sync.Mutex
	phase requestPhase
	// ending reports that the server ends, and finalRead that the read of the bytes that the
	// kernel held at that time has begun.
	ending, finalRead bool
	// readDeadline is the deadline that the server has set.
	readDeadline time.Time
	// reset reports that closing the connection is to reset it.
	reset bool
}

// Read reads from the connection and notes the begin of a request.
func (c *callerConn) Read(b []byte) (int, error) {
	// net/http reads a single byte beside the handler, to notice callers that disconnect. That
	// read may begin after the handler has returned.
	if len(b) > 1 {
		c.noteAnswered()
	}
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.prepareFinalRead() {
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.received()
	}
	return n, err
}

func (c *callerConn) prepareFinalRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending || c.phase != requestNone || c.finalRead {
		return false
	}
	c.finalRead = true
	_ = c.Conn.SetReadDeadline(time.Now().Add(finalReadTime))
	return true
}

func (c *callerConn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == requestNone {
		c.phase = requestUnanswered
		c.applyReadDeadline()
	}
}

// noteAnswered notes that the answer has been written. After the handler has returned, the
// server writes the rest of the answer before it reads again or sets a deadline of reads.
func (c *callerConn) noteAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == requestHandled {
		c.phase = requestAnswered
		c.applyReadDeadline()
	}
}

func (c *callerConn) setPhase(p requestPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != p {
		c.phase = p
		c.applyReadDeadline()
	}
}

func (c *callerConn) unanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == requestUnanswered || c.phase == requestHandled
}

func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.applyReadDeadline()
}

// SetReadDeadline sets the deadline of reads, which is earlier at the end of the server
// unless a request is unanswered.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.noteAnswered()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.ending {
		return c.Conn.SetReadDeadline(c.deadlineAtEnd())
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *callerConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

func (c *callerConn) applyReadDeadline() {
	if c.ending {
		_ = c.Conn.SetReadDeadline(c.deadlineAtEnd())
	}
}

func (c *callerConn) deadlineAtEnd() time.Time {
	switch c.phase {
	case requestNone:
		return longAgo
	case requestAnswered:
		linger := time.Now().Add(lingerTime)
		if c.readDeadline.IsZero() || linger.Before(c.readDeadline) {
			return linger
		}
	}
	return c.readDeadline
}

// Close closes the connection. What the caller has sent after its request is read first:
// otherwise the connection is reset, and the part of the answer that the kernel still holds is
// lost.
func (c *callerConn) Close() error {
	defer c.listener.remove(c)
	c.noteAnswered()
	// The listener locks its own mutex before those of connections.
	if !c.listener.isCut() && c.mayLinger() {
		c.dropUnread()
	}
	return c.Conn.Close()
}

func (c *callerConn) mayLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase != requestNone && !c.reset
}

// dropUnread ends the sending side and reads until the caller has closed the connection, for
// lingerTime at most, if bytes have arrived that have not been read.
func (c *callerConn) dropUnread() {
	u, ok := c.Conn.(interface{ HasUnread() bool })
	if !ok || !u.HasUnread() {
		return
	}
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// CloseWrite closes the sending side. The server calls it after an answer to a request whose
// body it has not read, so that the answer isn't lost.
func (c *callerConn) CloseWrite() error {
	c.noteAnswered()
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SetLinger sets what becomes of unsent bytes when the connection is closed.
func (c *callerConn) SetLinger(seconds int) error {
	c.mu.Lock()
	c.reset = seconds == 0
	c.mu.Unlock()
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}
