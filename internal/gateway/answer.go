package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	// writeTimeout bounds how long a caller may take to accept a part of its answer.
	writeTimeout = 30 * time.Second
	// maxWriteBytes is the most bytes of a part.
	maxWriteBytes = 64 << 10
)

// answer writes to a caller. A streamed answer goes out as it comes; any other
// is kept until it is whole, so that it can be had anew.
type answer struct {
	w        http.ResponseWriter
	id       dispatch.RequestID
	streamed bool
	// keyed says that the caller gave an idempotency key: an earlier request
	// with it may have run, so no refusal says that it was not run.
	keyed   bool
	limit   int64
	arrived time.Time
	detail  string

	status     int
	headers    []*wire.Header
	body       bytes.Buffer
	sent       bool
	failed     bool
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
	if int64(a.body.Len()+len(p)) > a.limit {
		a.failed = true
		return
	}
	a.body.Write(p)
}

// discard forgets what was kept of an answer that will be had anew.
func (a *answer) discard() {
	a.status, a.headers = 0, nil
	a.body.Reset()
	a.failed = false
	a.firstByte = time.Time{}
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
		h.Set("Content-Length", strconv.Itoa(a.body.Len()))
	}
	a.sent = true
	a.w.WriteHeader(a.status)
}

// write gives each part its time, so that a slow caller that reads on gets all.
func (a *answer) write(p []byte) {
	for len(p) > 0 && !a.failed {
		n := min(len(p), maxWriteBytes)
		a.writeChunk(p[:n])
		p = p[n:]
	}
}

func (a *answer) writeChunk(p []byte) {
	a.extendWriteDeadline()
	if _, err := a.w.Write(p); err != nil {
		a.failed = true
		return
	}
	if a.streamed {
		a.failed = http.NewResponseController(a.w).Flush() != nil
	}
}

// extendWriteDeadline gives the caller its time for what is written next.
func (a *answer) extendWriteDeadline() {
	_ = http.NewResponseController(a.w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// outcome gives how a request ended with what was kept or sent of its answer.
// Before it is concluded, only keeping can have failed on an answer that is not
// streamed, and only sending on one that is.
func (a *answer) outcome(f dispatch.Finish) dispatch.Finish {
	switch {
	case f.Code != result.OK || !a.failed:
		return f
	case a.streamed:
		return dispatch.Finish{Code: result.CallerGone}
	default:
		return dispatch.Finish{Code: result.AnswerTooLarge}
	}
}

// finish ends the answer. An answer that was begun and cannot be finished is
// ended with an error that no client can take for an end.
func (a *answer) finish(f dispatch.Finish) {
	// net/http writes the end of what was sent after the handler returns.
	a.extendWriteDeadline()
	switch {
	case f.Code == result.OK && !a.sent:
		a.sendHead()
		a.write(a.body.Bytes())
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
	a.sent = true
	setUnreadDeadline(a.w)
	status := info.Status
	if status == http.StatusOK {
		status = http.StatusInternalServerError
	}
	a.w.WriteHeader(status)
	a.streamed = false
	a.write(a.errorJSON(f))
}

func retryAfterSeconds(d time.Duration) string {
	seconds := int((d + time.Second - 1) / time.Second)
	return strconv.Itoa(max(seconds, 1))
}

func (a *answer) abort(f dispatch.Finish) {
	if a.streamed {
		a.write([]byte(fmt.Sprintf("data: %s\n\n", a.errorJSON(f))))
	}
	panic(http.ErrAbortHandler)
}
