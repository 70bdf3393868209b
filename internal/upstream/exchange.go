package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is a request to an upstream.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	// Body holds the parts of the body in order. They are sent without being copied, and
	// are not read any more once the exchange has been closed or cancelled.
	Body [][]byte
	// Match tells whether a response belongs to this request; if nil, every response
	// does. Responses that don't belong to it are skipped.
	Match func(*http.Response) Match
	// Valid reports whether the request may still be sent, once there is a connection
	// for it; nil if it may. Connecting takes time, in which the upstream may become
	// unavailable.
	Valid func() bool
	// AtMostOnce reports that the request may not run twice, so that it matters
	// whether a refusal can be believed.
	AtMostOnce bool
}

// Match is the relation of a response to a request.
type Match int

// The relations of a response to a request.
const (
	// MatchOther is a response to another request.
	MatchOther Match = iota
	// MatchUnidentified is a response that does not say to which request it belongs. It
	// belongs to this one only if it is the first response on its connection: a faulty
	// upstream may write an earlier response again on a connection that is in use.
	MatchUnidentified
	// MatchThis is a response that names this request.
	MatchThis
)

// Exchange is a request and its response.
type Exchange struct {
	// Response is nil if Err is set. The response is complete if its body can be
	// read to the end without an error.
	Response *http.Response
	Err      error
	// Sent reports that bytes of the request may have reached the upstream.
	Sent bool
	// Reused reports that the connection had been used before.
	Reused bool
	// Skipped is the number of responses that were skipped because they don't belong to
	// the request, or can't be shown to.
	Skipped int

	pool *Pool
	conn *conn
	stop func() bool
	// written is closed once the request has been written or has failed with writeErr; nil
	// if nothing was sent.
	written      chan struct{}
	writeErr     error
	bodyComplete bool
}

// ErrWithdrawn is the error of an exchange whose request was not sent, because it was
// no longer valid when there was a connection for it.
var ErrWithdrawn = errors.New("the request was withdrawn before it was sent")

var (
	// errUnrelatedResponse is returned if only responses to other requests arrived.
	errUnrelatedResponse = errors.New("the answer belongs to another request")
	// errHeadTooLarge is returned if a response head exceeds maxHeadSize.
	errHeadTooLarge = fmt.Errorf("the head of the answer is over %d bytes", maxHeadSize)
	// errInformational is returned for interim responses that don't end, and for a
	// change of the protocol.
	errInformational = errors.New("too many interim answers, or a change of protocol")
	// errEndedDuringRequest is returned if a connection ended before the upstream had received
	// the whole request.
	errEndedDuringRequest = fmt.Errorf("the connection ended before the request was received: %w", io.ErrUnexpectedEOF)
)

const (
	// maxUnrelatedResponses is the maximum number of responses skipped in an exchange.
	maxUnrelatedResponses = 2
	// maxInterimResponses is the maximum number of 1xx responses before a final one.
	maxInterimResponses = 8
	// maxHeadSize is the maximum size in bytes of a response head.
	maxHeadSize = 64 << 10
	// maxSkippedSize is the maximum size in bytes of the body of a skipped response.
	maxSkippedSize = 1 << 20
)

// Exchange sends a request and waits for the response headers. When ctx is done,
// the connection is closed, which tells the upstream to stop. The caller must
// close the exchange.
func (p *Pool) Exchange(ctx context.Context, r *Request) *Exchange {
	x := &Exchange{pool: p}
	c, err := p.get(ctx, r.AtMostOnce && p.unidentified.Load())
	if err != nil {
		x.Err = err
		return x
	}
	x.conn, x.Reused = c, c.used
	if r.Valid != nil && !r.Valid() {
		x.Err = ErrWithdrawn
		x.stop = func() bool { return true }
		return x
	}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	x.send(r)
	for {
		if x.Response, x.Err = readHead(c, r.Method); x.Err != nil {
			return x
		}
		if x.belongs(r) {
			x.Response.Body = &trackedBody{ReadCloser: x.Response.Body, x: x}
			return x
		}
		if x.Err = x.skip(); x.Err != nil {
			x.Response = nil
			return x
		}
	}
}

// belongs reports whether the response belongs to the request.
func (x *Exchange) belongs(r *Request) bool {
	if r.Match == nil {
		return true
	}
	switch r.Match(x.Response) {
	case MatchThis:
		return true
	case MatchUnidentified:
		x.pool.unidentified.Store(true)
		return !x.Reused && x.Skipped == 0
	}
	return false
}

// skip reads the body of a response that does not belong to the request.
func (x *Exchange) skip() error {
	if x.Skipped++; x.Skipped > maxUnrelatedResponses {
		return errUnrelatedResponse
	}
	n, err := io.Copy(io.Discard, io.LimitReader(x.Response.Body, maxSkippedSize+1))
	if err != nil || n > maxSkippedSize {
		return errors.Join(errUnrelatedResponse, err)
	}
	return nil
}

// send writes the request. It writes a long request in the background, because
// the response may arrive before the upstream has read the whole body.
func (x *Exchange) send(r *Request) {
	x.Sent = true
	x.written = make(chan struct{})
	head := r.encodeHead()
	if len(head)+r.bodySize() <= readBufferSize {
		// One write of a small request costs less than separate ones.
		_, x.writeErr = x.conn.Write(bytes.Join(append([][]byte{head}, r.Body...), nil))
		close(x.written)
		return
	}
	parts, c := append(net.Buffers{head}, r.Body...), x.conn.Conn
	go func() {
		defer close(x.written)
		_, x.writeErr = parts.WriteTo(c)
	}()
}

func (r *Request) bodySize() int {
	n := 0
	for _, p := range r.Body {
		n += len(p)
	}
	return n
}

func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(1024)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if n := r.bodySize(); n > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", n)
	}
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// readHead reads the head of the next final response.
func readHead(c *conn, method string) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		resp, err := readOneHead(c, method)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, errInformational
}

// readOneHead reads the head of the next response, which may be an interim one.
func readOneHead(c *conn, method string) (*http.Response, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	c.limited.left, c.limited.head = maxHeadSize, HeadScanner{}
	defer func() { c.limited.left = math.MaxInt64 }()
	if err := c.limited.head.Scan(buffered); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if refused := c.limited.head.Err(); refused != nil {
		return nil, refused
	}
	if err != nil {
		return nil, err
	}
	return resp, CheckHead(resp)
}

// trackedBody is a response body that records whether it was read to the end.
type trackedBody struct {
	io.ReadCloser
	x *Exchange
}

// Read reads from the body and marks the exchange's body as complete at EOF. An end that proves
// nothing is returned as io.ErrUnexpectedEOF.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if FramingOf(b.x.Response) == FramedByClose && !b.x.requestReceived() {
		return n, errEndedDuringRequest
	}
	b.x.bodyComplete = true
	return n, err
}

// requestReceived reports, once the upstream has ended its side of the connection, whether it
// received the whole request before. Otherwise it may have reset the connection: the error of a
// reset is returned once only, and if a write gets it, the next read returns io.EOF.
func (x *Exchange) requestReceived() bool {
	// A request that was received whole has been written, even if the goroutine that wrote it
	// has not returned yet. The deadline ends any other write.
	_ = x.conn.SetWriteDeadline(time.Now())
	<-x.written
	return x.writeErr == nil && acknowledged(x.conn.Conn)
}

// Close returns the connection to the pool if the response was complete and the
// connection can be reused; otherwise it closes the connection.
func (x *Exchange) Close() {
	if x.conn == nil {
		return
	}
	cancelled := !x.stop()
	switch {
	case cancelled:
		_ = x.conn.Close()
	case x.Err != nil || !x.bodyComplete:
		x.pool.closeFailed(x.conn)
	case x.Response.Close || x.conn.reader.Buffered() > 0 || !x.RequestWritten():
		_ = x.conn.Close()
	default:
		x.pool.putIdle(x.conn, idleTimeout(x.Response.Header))
	}
	x.awaitWrite()
	x.conn = nil
}

// Cancel closes the connection immediately, so that the upstream stops working
// on the request.
func (x *Exchange) Cancel() {
	if x.conn == nil {
		return
	}
	x.stop()
	_ = x.conn.Close()
	x.awaitWrite()
	x.conn = nil
}

// awaitWrite waits until the body is not read any more. Closing the connection ends a write.
func (x *Exchange) awaitWrite() {
	if x.written != nil {
		<-x.written
	}
}

// RequestWritten reports whether the whole request has been written without an
// error.
func (x *Exchange) RequestWritten() bool {
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return false
	}
}

// idleTimeout returns how long the connection may stay idle, taken from the
// Keep-Alive header.
func idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
