package upstream

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux constant TCP_USER_TIMEOUT, which package syscall
// does not define.
const tcpUserTimeout = 18

func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d/time.Millisecond))
	})
	return errors.Join(err, failed)
}

// openAndEmpty reports whether an idle connection is open and has no data to
// read. Data that an upstream sends on an idle connection belongs to no request.
func openAndEmpty(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
