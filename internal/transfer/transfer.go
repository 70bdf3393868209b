// Package transfer bounds the transfer of a response by its progress: the time
// until it begins, and the time without progress. A response as a whole has no
// limit: what a slow link can't transfer in time, it couldn't on the next try either.
//
// # Usage
//
//	t := transfer.Start(ctx, transfer.Limits{Response: time.Second, Stall: time.Second})
//	defer t.End()
//	resp, err := client.Do(request.WithContext(t.Context()))
//	body, err := io.ReadAll(t.Reader(resp.Body))
package transfer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"
)

// Causes for which a transfer is cancelled.
var (
	ErrNoResponse = errors.New("no response in time")
	ErrStalled    = errors.New("the response stalled")
)

const (
	// stepBytes is the most bytes that Reader reads before it records progress.
	stepBytes = 16 << 10
	// progressBytes is the least that counts as progress, so that a response which
	// trickles without end is cancelled.
	progressBytes = 1 << 10
)

// Limits are the time limits of a transfer.
type Limits struct {
	// Response bounds the time until the first byte.
	Response time.Duration
	// Stall bounds the time without progress once the response has begun.
	Stall time.Duration
}

// Transfer is the transfer of one response.
type Transfer struct {
	limits Limits
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu          sync.Mutex
	timer       *time.Timer
	bytes       int
	firstByteAt time.Time
	// sinceProgress is the number of bytes since progress was last recorded.
	sinceProgress int
}

// Start starts a transfer. The caller must call End.
func Start(ctx context.Context, l Limits) *Transfer {
	t := &Transfer{limits: l}
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	t.timer = time.AfterFunc(l.Response, t.expire)
	return t
}

// Context returns the context of the transfer. It is cancelled when a limit is
// exceeded or the transfer ends.
func (t *Transfer) Context() context.Context { return t.ctx }

func (t *Transfer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bytes == 0 {
		t.cancel(ErrNoResponse)
		return
	}
	t.cancel(ErrStalled)
}

// Receive records that bytes arrived. Messages without any are no progress.
func (t *Transfer) Receive(bytes int) {
	if bytes == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	first := t.bytes == 0
	if first {
		t.firstByteAt = time.Now()
	}
	t.bytes += bytes
	t.sinceProgress += bytes
	if !first && t.sinceProgress < progressBytes {
		return
	}
	t.sinceProgress = 0
	if t.timer.Stop() {
		t.timer.Reset(t.limits.Stall)
	}
}

// Reader returns a reader that records the bytes read from r.
func (t *Transfer) Reader(r io.Reader) io.Reader { return NewReader(r, t.Receive) }

// Cancel cancels the transfer for a cause.
func (t *Transfer) Cancel(cause error) { t.cancel(cause) }

// CancelIdle cancels the transfer for a cause unless the response has begun, and
// reports whether it did.
func (t *Transfer) CancelIdle(cause error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bytes > 0 {
		return false
	}
	t.cancel(cause)
	return true
}

// Begun reports whether the response has begun.
func (t *Transfer) Begun() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bytes > 0
}

// EndedBy reports whether the transfer was cancelled for a cause.
func (t *Transfer) EndedBy(cause error) bool { return errors.Is(t.Cause(), cause) }

// Cause returns why the transfer was cancelled, or nil.
func (t *Transfer) Cause() error { return context.Cause(t.ctx) }

// End releases the resources of the transfer. It returns the bytes that arrived,
// and the time since the first of them.
func (t *Transfer) End() (bytes int, duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	t.cancel(nil)
	if t.bytes == 0 {
		return 0, 0
	}
	return t.bytes, time.Since(t.firstByteAt)
}

// progressReader calls received with the number of bytes of each read. It reads in
// small steps, because the body of a chunked response fills the buffer that it is
// given before it returns.
type progressReader struct {
	io.Reader
	received func(bytes int)
}

// NewReader returns a reader that calls received with the number of bytes as they
// are read from r.
func NewReader(r io.Reader, received func(bytes int)) io.Reader { return progressReader{r, received} }

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p[:min(len(p), stepBytes)])
	if n > 0 {
		r.received(n)
	}
	return n, err
}
