package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/memory"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	// writeTimeout is the maximum time that a caller may take to accept one
	// chunk of its answer.
	writeTimeout = 30 * time.Second
	// maxWriteBytes is the maximum size of one write to the caller, in bytes.
	maxWriteBytes = 64 << 10
)

// answer writes the response to a caller. A streamed answer is forwarded as it
// arrives. Any other answer is buffered until it is complete, so that the
// request can be retried.
type answer struct {
	w        http.ResponseWriter
	id       dispatch.RequestID
	streamed bool
	// keyed reports that the caller sent an idempotency key. An earlier request
	// with the same key may have run, so a refusal must not claim that the
	// request was not run.
	keyed bool
	limit int64
	// memory is the account of what the answer holds; nil for an answer that holds nothing.
	memory  *memory.Account
	arrived time.Time
	detail  string
	// beforeHead may set headers of any answer, shortly before its head is written.
	beforeHead func(http.ResponseWriter)

	status  int
	headers []*wire.Header
	body    memory.Buffer
	sent    bool
	failed  bool
	// noRoom reports that the answer failed because the budget had no room for it.
	noRoom     bool
	firstByte  time.Time
	lastByte   time.Time
	observeGap func(time.Duration)
}

func (a *answer) setHead(status int, headers []*wire.Header) {
	a.status, a.headers = status, headers
}

func (a *answer) addData(p []byte) {
	a.recordTime()
	if !a.streamed {
		a.buffer(p)
		return
	}
	if !a.sent {
		a.sendHead()
	}
	a.forward(p)
}

// forward writes a part of a stream, which is held until the caller has taken it.
func (a *answer) forward(p []byte) {
	if a.memory == nil || a.failed {
		a.write(p)
		return
	}
	if a.memory.Grow(int64(len(p))) != nil {
		a.failed, a.noRoom = true, true
		return
	}
	defer a.memory.Shrink(int64(len(p)))
	a.write(p)
}

func (a *answer) recordTime() {
	now := time.Now()
	if a.firstByte.IsZero() {
		a.firstByte = now
	} else if a.observeGap != nil && a.streamed {
		a.observeGap(now.Sub(a.lastByte))
	}
	a.lastByte = now
}

func (a *answer) buffer(p []byte) {
	if a.failed {
		return
	}
	a.body.Account = a.memory
	if err := a.body.Fill(bytes.NewReader(p), -1, a.limit); err != nil {
		a.failed, a.noRoom = true, !errors.Is(err, memory.ErrTooLarge)
		a.body.Release()
	}
}

// discard drops the buffered answer of a request that is retried.
func (a *answer) discard() {
	a.status, a.headers = 0, nil
	a.body.Release()
	a.failed, a.noRoom = false, false
	a.firstByte = time.Time{}
}

// releaseMemory returns all memory of the answer at its end.
func (a *answer) releaseMemory() {
	a.body.Release()
	a.memory.Close()
}

func (a *answer) sendHead() {
	h := a.w.Header()
	for _, kv := range a.headers {
		if kv.Name == "Content-Length" || kv.Name == "X-Request-Id" {
			continue
		}
		h.Add(kv.Name, kv.Value)
	}
	h.Set("X-Request-Id", string(a.id))
	if !a.streamed {
		h.Set("Content-Length", strconv.FormatInt(a.body.Len(), 10))
	}
	a.writeHead(a.status)
}

func (a *answer) writeHead(status int) {
	if a.beforeHead != nil {
		a.beforeHead(a.w)
	}
	a.sent = true
	a.w.WriteHeader(status)
}

// write sets a new write deadline for each chunk, so that a slow caller that
// keeps reading receives the whole answer.
func (a *answer) write(p []byte) {
	for len(p) > 0 && !a.failed {
		n := min(len(p), maxWriteBytes)
		a.writeChunk(p[:n])
		p = p[n:]
	}
}

func (a *answer) writeChunk(p []byte) {
	a.extendWriteDeadline()
	if a.memory != nil {
		if a.memory.BeginWrite(len(p)) != nil {
			a.failed = true
			return
		}
		defer a.memory.EndWrite()
	}
	if _, err := a.w.Write(p); err != nil {
		a.failed = true
		return
	}
	if a.streamed {
		a.failed = http.NewResponseController(a.w).Flush() != nil
	}
}

// extendWriteDeadline sets the write deadline for the next write to the caller.
func (a *answer) extendWriteDeadline() {
	_ = http.NewResponseController(a.w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// outcome returns f, or the failure to buffer or send the answer. Before finish
// is called, an answer that is not streamed can only have failed by exceeding
// the limit or for want of memory, and a streamed one only by a write error or
// for want of memory.
func (a *answer) outcome(f dispatch.Finish) dispatch.Finish {
	switch {
	case f.Code != result.OK || !a.failed:
		return f
	case a.noRoom:
		return dispatch.Finish{Code: result.AnswerNoRoom}
	case a.streamed:
		return dispatch.Finish{Code: result.CallerGone}
	default:
		return dispatch.Finish{Code: result.AnswerTooLarge}
	}
}

// finish ends the answer. If the answer has started and cannot be completed,
// finish sends an error event on a stream and aborts the connection, so that no
// client mistakes the partial answer for a complete one.
func (a *answer) finish(f dispatch.Finish) {
	// net/http writes the last buffered bytes after the handler returns.
	a.extendWriteDeadline()
	switch {
	case f.Code == result.OK && !a.sent:
		a.sendHead()
		for _, part := range a.body.Bytes() {
			a.write(part)
		}
	case f.Code == result.OK:
	case a.sent:
		a.abort(f)
	default:
		a.sendError(f)
	}
}

func (a *answer) errorJSON(f dispatch.Finish) []byte {
	b, err := json.Marshal(f.Code.Answer(a.detail, f.NotRun && !a.keyed, string(a.id)))
	if err != nil {
		return []byte(`{"error":{"type":"internal","code":6999}}`)
	}
	return b
}

func (a *answer) sendError(f dispatch.Finish) {
	info := f.Code.Info()
	h := a.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Request-Id", string(a.id))
	if info.Retry {
		h.Set("Retry-After", retryAfterSeconds(f.RetryAfter))
	}
	setUnreadDeadline(a.w)
	status := info.Status
	if status == http.StatusOK {
		status = http.StatusInternalServerError
	}
	a.writeHead(status)
	a.streamed, a.failed = false, false
	a.write(a.errorJSON(f))
}

func retryAfterSeconds(d time.Duration) string {
	seconds := int((d + time.Second - 1) / time.Second)
	return strconv.Itoa(max(seconds, 1))
}

func (a *answer) abort(f dispatch.Finish) {
	if a.streamed {
		a.failed = a.failed && !a.noRoom
		a.write([]byte(fmt.Sprintf("data: %s\n\n", a.errorJSON(f))))
	}
	panic(http.ErrAbortHandler)
}
