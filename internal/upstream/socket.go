package upstream

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is the Linux constant TCP_USER_TIMEOUT, which package syscall
// does not define.
const tcpUserTimeout = 18

// socketBuffer is the size in bytes of the kernel's buffers of a connection, which the kernel
// doubles. They count towards the memory of the VM; without a size the kernel lets each grow
// to several megabytes. At a round trip of 1 ms a connection still carries 64 MB a second.
const socketBuffer = 64 << 10

// setOptions sets the options of a new connection.
func setOptions(raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout/time.Millisecond)),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBuffer),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBuffer),
		)
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

// acknowledged reports whether the peer has acknowledged all that was written to a connection and
// has not reset it. It is true for connections that are not sockets or don't tell.
func acknowledged(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	unacknowledged, pending := 0, 0
	err = raw.Control(func(fd uintptr) {
		unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		pending, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	})
	return err == nil && unacknowledged == 0 && pending == 0
}
