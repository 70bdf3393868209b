package standin_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/standin"
)

// startEchoRelay starts a relay in front of an echo server and returns the
// relay and a function that connects to it.
func startEchoRelay(t *testing.T) (r *standin.Relay, dial func() (net.Conn, error)) {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r = &standin.Relay{Target: fleet.Address(server.Addr().String())}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- r.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-served)
		_ = server.Close()
	})
	return r, func() (net.Conn, error) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			return nil, err
		}
		t.Cleanup(func() { _ = c.Close() })
		return c, c.SetDeadline(time.Now().Add(10 * time.Second))
	}
}

func echo(c net.Conn, line string) (string, error) {
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", err
	}
	return bufio.NewReader(c).ReadString('\n')
}

func TestRelay(t *testing.T) {
	r, dial := startEchoRelay(t)
	c, err := dial()
	assert.NilError(t, err)
	got, err := echo(c, "one")
	assert.NilError(t, err)
	assert.Equal(t, got, "one\n")

	r.Drop()
	_, err = io.WriteString(c, "two\n")
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err.(net.Error).Timeout(), "read did not time out: data was forwarded or the connection was closed while dropping: %v", err)

	r.Restore()
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	got, err = bufio.NewReader(c).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, got, "two\n")

	r.Reset()
	_, err = echo(c, "three")
	assert.Assert(t, err != nil, "the connection still works after Reset")
	// The reset may arrive while the connection is being established.
	if c, err = dial(); err == nil {
		_, err = echo(c, "four")
	}
	assert.Assert(t, err != nil, "a new connection was forwarded after Reset")
	r.Restore()
	c, err = dial()
	assert.NilError(t, err)
	got, err = echo(c, "five")
	assert.NilError(t, err)
	assert.Equal(t, got, "five\n")
}
