package process

import (
	"errors"
	"fmt"
	"net"
	"syscall"
)

// callerSocketBuffer is the size in bytes of the kernel's buffers of a caller's connection,
// which the kernel doubles. They count towards the memory of the VM; without a size the
// kernel lets each grow to several megabytes.
const callerSocketBuffer = 64 << 10

// boundSocketBuffers bounds the kernel's buffers of the connections that a listener accepts.
// They inherit the sizes of the listener.
func boundSocketBuffers(l net.Listener) error {
	s, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return fmt.Errorf("bound socket buffers: %w", err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, callerSocketBuffer),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, callerSocketBuffer),
		)
	})
	if err = errors.Join(err, failed); err != nil {
		return fmt.Errorf("bound socket buffers: %w", err)
	}
	return nil
}
