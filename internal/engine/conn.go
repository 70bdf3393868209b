package engine

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"jasminewing.dev/jasminewing/internal/upstream"
)

// watchedConn carries one request. It records that the peer has closed or reset
// the connection, which net/http reports with several errors, some of which cannot
// be told from those of invalid responses. It also scans each head.
type watchedConn struct {
	net.Conn
	closedByPeer atomic.Bool
	head         upstream.HeadScanner
}

// Read implements net.Conn and records a close by the peer.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && isPeerClose(err) {
		c.closedByPeer.Store(true)
	}
	if refused := c.head.Scan(p[:n]); refused != nil {
		return 0, refused
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
