package engine

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

// watchedConn notes that the far end has closed or reset the connection, which
// net/http reports in several ways that cannot all be told from bad answers.
type watchedConn struct {
	net.Conn
	closedByPeer atomic.Bool
}

// Read notes the far end's close.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && isPeerClose(err) {
		c.closedByPeer.Store(true)
	}
	return n, err
}

func isPeerClose(err error) bool {
	for _, e := range []error{io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
