package engine

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

// watchedConn records that the peer has closed or reset the connection.
// net/http reports this with several errors, some of which cannot be told from
// those of invalid responses.
type watchedConn struct {
	net.Conn
	closedByPeer atomic.Bool
}

// Read implements net.Conn and records a close by the peer.
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
