package direct

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"

	"jasminewing.dev/jasminewing/internal/memory"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/upstream"
	"jasminewing.dev/jasminewing/pkg/result"
)

// forwardStream forwards a stream to the caller in whole events.
func (a *attempt) forwardStream(ctx context.Context) (placement.Outcome, bool, error) {
	resp := a.exchange.Response
	a.answer = &answerEnd{framing: upstream.FramingOf(resp), how: endedCut}
	e := &eventReader{source: resp.Body, eventOwed: a.eventOwed, sequence: eventSequence{
		firstID: a.firstEventID, lastID: a.lastEventID, continued: a.eventForwarded,
	}}
	held := eventMemory{account: a.memory}
	e.reserve = held.reserve
	defer held.release()
	for {
		whole, err := e.next()
		if len(whole) > 0 {
			if !a.silence.partReceived() {
				return a.endFailed(ctx, placement.Silent, "another upstream continues the stream", result.UpstreamCutOff)
			}
			a.responsePartReceived()
			if !a.writePart(resp, whole) {
				a.recordResult(placement.Left, "write to the caller failed")
				return placement.Left, false, result.Errorf(result.CallerGone, "write to the caller failed")
			}
			a.firstEventID, a.lastEventID, a.parts = e.sequence.firstID, e.sequence.lastID, a.parts+1
			a.eventForwarded = a.eventForwarded || e.returnedEvent
			a.responsePartSent()
		}
		a.eventOwed = e.owesEvent()
		a.answer.unfinished = len(e.pending)
		switch {
		case errors.Is(err, io.EOF) && e.brokenOff(a.answer.framing):
			a.answer.how = endedInsideEvent
			return a.endFailed(ctx, placement.Broken, "the stream ended inside an event or before any", result.UpstreamCutOff)
		case errors.Is(err, io.EOF):
			a.answer.how = endedWhole
			a.writePart(resp, e.pending)
			a.recordResult(placement.Served, "")
			return placement.Served, false, nil
		case isMemoryError(err):
			return a.endFailed(ctx, placement.Left, err.Error(), result.AnswerNoRoom)
		case sentBadStream(err):
			a.answer.how = endedOutOfSequence
			return a.endFailed(ctx, placement.Failed, err.Error(), result.UpstreamBadStream)
		case err != nil:
			return a.endFailed(ctx, placement.Broken, err.Error(), result.UpstreamCutOff)
		}
	}
}

// eventMemory is what a stream reserves for the events that it keeps.
type eventMemory struct {
	account *memory.Account
	held    int
}

// keptEventMemory is the size in bytes up to which a stream keeps memory that it does not
// need at present.
const keptEventMemory = 64 << 10

// reserve makes the memory at least total bytes, and frees what is far more than that.
func (m *eventMemory) reserve(total int) error {
	if total > m.held {
		if err := m.account.Grow(int64(total - m.held)); err != nil {
			return err
		}
		m.held = total
	}
	if m.held > max(total, keptEventMemory) {
		m.account.Shrink(int64(m.held - total))
		m.held = total
	}
	return nil
}

func (m *eventMemory) release() { m.account.Shrink(int64(m.held)) }

// sentBadStream reports whether a stream failed because of what the upstream sent, and
// not because it ended.
func sentBadStream(err error) bool {
	var outOfSequence *sequenceError
	return errors.As(err, &outOfSequence) || errors.Is(err, errLargeFirstEvent) || errors.Is(err, errNoEvent)
}

// writePart writes a part of a stream to the caller and flushes it. It reports
// whether the write succeeded.
func (a *attempt) writePart(resp *http.Response, part []byte) bool {
	if !a.headersSent {
		a.headersSent = true
		maps.Copy(a.w.Header(), ForwardedHeaders(resp.Header))
		a.gateway.askToClose(a.w.Header())
		a.w.WriteHeader(resp.StatusCode)
	}
	if len(part) == 0 {
		return true
	}
	return a.write(part, true) == nil
}
