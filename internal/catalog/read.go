package catalog

import (
	"context"
	"errors"
	"sync"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
)

var (
	errNoResponse  = errors.New("no response in time")
	errStalled     = errors.New("the response stalled")
	errInterrupted = errors.New("interrupted")
	errSuperseded  = errors.New("another gateway sent newer state")
)

// read is one read of the store or of another gateway. It is cancelled when the
// response doesn't begin in time, or when no further byte arrives for
// stallTimeout.
type read struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	section Section
	kind    string
	// after is the revision that was known when the read started.
	after Revision

	mu          sync.Mutex
	timer       *time.Timer
	bytes       int
	firstByteAt time.Time
}

// completedRead is the size of a response, and the time from its first byte to its
// last.
type completedRead struct {
	bytes    int
	duration time.Duration
}

// startRead starts a read whose response must begin within the given time. The
// caller must call end.
func startRead(ctx context.Context, s Section, kind string, responseTimeout time.Duration) *read {
	r := &read{section: s, kind: kind}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	r.timer = time.AfterFunc(responseTimeout, r.expire)
	return r
}

func (r *read) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bytes == 0 {
		r.cancel(errNoResponse)
		return
	}
	r.cancel(errStalled)
}

// receive records that bytes of the response arrived.
func (r *read) receive(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bytes == 0 {
		r.firstByteAt = time.Now()
	}
	r.bytes += bytes
	if r.timer.Stop() {
		r.timer.Reset(stallTimeout)
	}
}

// interruptUnlessReceiving cancels the read unless its response has begun.
func (r *read) interruptUnlessReceiving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bytes == 0 {
		r.cancel(errInterrupted)
	}
}

// supersede cancels the read if it started before a revision became known: its
// response may contain that large change again.
func (r *read) supersede(known Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.after >= known:
	case r.bytes == 0:
		r.cancel(errInterrupted)
	default:
		r.cancel(errSuperseded)
	}
}

// endedBy reports whether the read was cancelled for a cause.
func (r *read) endedBy(cause error) bool { return errors.Is(context.Cause(r.ctx), cause) }

// end releases the resources of the read, and returns what it received.
func (r *read) end() completedRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timer.Stop()
	r.cancel(nil)
	if r.bytes == 0 {
		return completedRead{}
	}
	return completedRead{r.bytes, time.Since(r.firstByteAt)}
}

// endRead ends a read of the store, counts it, and logs it if it was cut off.
func (t *Task) endRead(ctx context.Context, r *read, err error) completedRead {
	cause := context.Cause(r.ctx)
	done := r.end()
	t.bytesReceived.Add(uint64(done.bytes))
	switch {
	case err == nil:
		t.mu.Lock()
		t.followers[r.section].lastRead = done
		t.mu.Unlock()
	case done.bytes > 0 && ctx.Err() == nil && !r.endedBy(errSuperseded):
		t.readsCut.Add(1)
		t.Log.WriteThrottled(event.ReadCut, r.section.String(), "read", r.kind, "bytes", done.bytes, "after_ms", done.duration.Milliseconds(),
			"error", err, "cause", cause)
	}
	return done
}
