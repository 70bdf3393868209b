package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"
	uploadSize   = 1 << 20
	// receiveBuffer is the size in bytes of an earlyUpstream's receive buffer. It is small, so
	// that the end of an upload that the upstream doesn't read stays with the sender.
	receiveBuffer = 16 << 10
)

// connectionEnd is how an earlyUpstream ends its connection.
type connectionEnd string

const (
	endByReset connectionEnd = "reset"
	// endByClose sends a FIN if the upstream has read all that has arrived, and a reset otherwise.
	endByClose connectionEnd = "close"
	// endByHalfClose sends a FIN and keeps the connection open for the upload.
	endByHalfClose connectionEnd = "half close"
	// keptOpen does not end the connection.
	keptOpen connectionEnd = "kept open"
)

// earlyUpstream answers before it has read the whole request.
type earlyUpstream struct {
	// reads is the number of bytes of the body that it reads before it answers.
	reads  int64
	answer string
	end    connectionEnd
}

// start returns the address of the upstream.
func (u earlyUpstream) start(t *testing.T) string {
	t.Helper()
	control := func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}
	l, err := (&net.ListenConfig{Control: control}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go u.serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func (u earlyUpstream) serve(c *net.TCPConn) {
	// The smallest buffer leaves the bytes that are not read with the connection.
	r, err := http.ReadRequest(bufio.NewReaderSize(c, 16))
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, r.Body, u.reads)
	_, _ = io.WriteString(c, u.answer)
	switch u.end {
	case endByReset:
		_ = c.SetLinger(0)
		_ = c.Close()
	case endByClose:
		_ = c.Close()
	case endByHalfClose:
		_ = c.CloseWrite()
	}
}

// upload sends a request with a body of so many bytes, and returns what was read of the answer.
func upload(t *testing.T, p *Pool, size int) (string, error) {
	t.Helper()
	x := p.Exchange(t.Context(), &Request{Method: "POST", Target: "/a", Host: "maps.example", Body: [][]byte{make([]byte, size)}})
	defer x.Cancel()
	assert.Assert(t, x.Sent)
	if x.Err != nil {
		return "", x.Err
	}
	body, err := io.ReadAll(x.Response.Body)
	return string(body), err
}

// writeBeforeRead is a connection whose reads, after the first one, wait until a write has failed.
// The error of a reset is then returned by the write, and the next read ends without one.
type writeBeforeRead struct {
	net.Conn
	failed   chan struct{}
	once     sync.Once
	haveRead bool
}

func (c *writeBeforeRead) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

func (c *writeBeforeRead) Read(p []byte) (int, error) {
	if c.haveRead {
		<-c.failed
	}
	c.haveRead = true
	return c.Conn.Read(p)
}

// Guards against a part of an answer that is taken for a complete one, because the write of the
// request got the error of the reset and the read of the answer an ordinary end.
func TestAnswerIsNotCompleteIfWriteGetsErrorOfReset(t *testing.T) {
	for _, part := range []string{"", "part", "id: 1\ndata: x\n\n"} {
		address := earlyUpstream{answer: unframedHead + part, end: endByReset}.start(t)
		p := &Pool{Address: address, Dial: func(ctx context.Context, address string) (net.Conn, error) {
			c, err := dialTCP(ctx, address)
			return &writeBeforeRead{Conn: c, failed: make(chan struct{})}, err
		}}
		got, err := upload(t, p, uploadSize)
		assert.Assert(t, err != nil, "%q was taken for a complete answer", got)
	}
}

// Guards against the end of a connection that is taken for the end of an answer although the
// upstream has not got the whole request.
func TestAnswerThatEndsDuringUploadIsNotComplete(t *testing.T) {
	answers := []string{
		unframedHead + "part",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\npart",
		"HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\npart",
		"HTTP/1.1 404 Not Found\r\nX-Id: 1\r\n\r\npart",
	}
	for _, end := range []connectionEnd{endByReset, endByClose, endByHalfClose} {
		for _, reads := range []int64{0, 1, receiveBuffer, uploadSize / 2, uploadSize - 8*receiveBuffer, uploadSize - 2*receiveBuffer} {
			t.Run(fmt.Sprintf("%s after %d bytes", end, reads), func(t *testing.T) {
				for _, answer := range answers {
					p := &Pool{Address: earlyUpstream{reads: reads, answer: answer, end: end}.start(t)}
					for range 10 {
						got, err := upload(t, p, uploadSize)
						assert.Assert(t, err != nil, "%q was taken for the complete answer %q", got, answer)
					}
				}
			})
		}
	}
}

// Guards against the same if the whole request fits into the buffers of the connection, so that
// writing it succeeds. A small request is in the upstream's buffer when a half close arrives, and
// can't be told from one that was read.
func TestAnswerIsNotCompleteIfWrittenRequestWasNotReceived(t *testing.T) {
	tests := []struct {
		size int
		ends []connectionEnd
	}{
		{8 * receiveBuffer, []connectionEnd{endByReset, endByClose, endByHalfClose}},
		{2 << 10, []connectionEnd{endByReset, endByClose}},
	}
	for _, tt := range tests {
		for _, end := range tt.ends {
			p := &Pool{Address: earlyUpstream{reads: int64(tt.size) / 2, answer: unframedHead + "part", end: end}.start(t)}
			for range 50 {
				got, err := upload(t, p, tt.size)
				assert.Check(t, err != nil, "%d bytes, %s: %q was taken for a complete answer", tt.size, end, got)
			}
		}
	}
}

// An answer with neither a length nor chunks is complete if the upstream has read the whole
// request before it ends the connection.
func TestUnframedAnswerAfterWholeUploadIsComplete(t *testing.T) {
	for _, size := range []int{1, readBufferSize, receiveBuffer, 4*receiveBuffer + 1, uploadSize} {
		for _, head := range []string{unframedHead, "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\n", "HTTP/1.1 404 Not Found\r\nX-Id: 1\r\nConnection: close\r\n\r\n"} {
			for _, end := range []connectionEnd{endByClose, endByHalfClose} {
				p := &Pool{Address: earlyUpstream{reads: int64(size), answer: head + "whole", end: end}.start(t)}
				for range 20 {
					got, err := upload(t, p, size)
					assert.NilError(t, err, "%d bytes, %s, %q", size, end, head)
					assert.Equal(t, got, "whole")
				}
			}
		}
	}
}

// An answer with a length or chunks is complete however much of the request was read.
func TestFramedAnswerDuringUploadIsComplete(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 413 Content Too Large\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.0 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		for _, reads := range []int64{0, uploadSize / 2} {
			for _, end := range []connectionEnd{endByReset, endByClose, endByHalfClose, keptOpen} {
				p := &Pool{Address: earlyUpstream{reads: reads, answer: head, end: end}.start(t)}
				for range 10 {
					got, err := upload(t, p, uploadSize)
					assert.NilError(t, err, "%s after %d bytes, %q", end, reads, head)
					assert.Equal(t, got, "whole")
				}
			}
		}
	}
}

// A half-closed connection on which nobody reads the request must not keep the caller waiting.
func TestEndDuringUploadIsReportedAtOnce(t *testing.T) {
	p := &Pool{Address: earlyUpstream{answer: unframedHead + "part", end: endByHalfClose}.start(t)}
	began := time.Now()
	_, err := upload(t, p, uploadSize)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	assert.Assert(t, time.Since(began) < userTimeout, "took %s", time.Since(began))
}
