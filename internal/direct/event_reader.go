package direct

import (
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"

	"jasminewing.dev/jasminewing/internal/upstream"
)

// streamBufferSize is the size in bytes of the buffer for reading a stream.
const streamBufferSize = 8 << 10

// maxEventSize is the maximum size in bytes of a stream event. A longer event is
// forwarded in parts, and the stream can't be resumed until a later event has ended.
const maxEventSize = 256 << 10

// maxWithoutEvent is the maximum number of bytes that end no event since the last event: comments
// and blank lines. Honest upstreams send them to keep a connection open, a few bytes a second. An
// event may have maxEventBytes, as much as an answer that is read whole.
const (
	maxWithoutEvent = 256 << 10
	maxEventBytes   = maxResponseSize
)

// eventStreamType is the media type of streams of server-sent events.
const eventStreamType = "text/event-stream"

// eventReader reads a stream of server-sent events and returns whole events only,
// so that a stream that breaks within an event can be resumed after the previous
// event.
type eventReader struct {
	source io.Reader
	// sequence holds the ID of the last event returned.
	sequence eventSequence
	// eventOwed reports that an earlier stream, which this one continues, broke off inside
	// an event.
	eventOwed bool
	// returnedEvent reports that an event, or a part of one, has been returned.
	returnedEvent bool

	// reserve is called before the reader holds more than so many bytes; nil if there is no
	// limit.
	reserve func(total int) error

	scanner eventScanner
	// sinceEvent is the number of bytes read since the last event ended.
	sinceEvent int
	buffer     []byte
	pending    []byte
}

// next returns the whole events read so far, byte for byte. After an error,
// pending holds the bytes after the last whole event. The error is a *sequenceError
// if the event after those returned does not follow them.
func (e *eventReader) next() ([]byte, error) {
	if e.buffer == nil {
		e.buffer = make([]byte, streamBufferSize)
	}
	for {
		if err := e.reserveRead(); err != nil {
			return nil, err
		}
		n, err := e.source.Read(e.buffer)
		events := e.scanner.events
		end := e.scanner.scan(e.buffer[:n])
		if end >= 0 {
			end += len(e.pending)
		}
		e.pending = append(e.pending, e.buffer[:n]...)
		if e.withoutEvent(n, events) {
			return nil, errNoEvent
		}
		whole, bad := e.take(end)
		if bad != nil {
			err = bad
		}
		if len(whole) > 0 || err != nil {
			return whole, err
		}
	}
}

// withoutEvent records that n bytes were read, before which so many events had ended. It reports
// whether the stream has sent more than it may without ending an event.
func (e *eventReader) withoutEvent(n, events int) bool {
	if e.scanner.events > events {
		e.sinceEvent = 0
		return false
	}
	e.sinceEvent += n
	if e.scanner.inEvent {
		return e.sinceEvent > maxEventBytes
	}
	return e.sinceEvent > maxWithoutEvent
}

// errNoEvent is returned if a stream sends bytes without end and no event.
var errNoEvent = errors.New("the stream goes on without an event, or inside one")

// reserveRead reserves the memory for the next read. What is pending may double as it grows.
func (e *eventReader) reserveRead() error {
	if e.reserve == nil {
		return nil
	}
	return e.reserve(streamBufferSize + 2*(len(e.pending)+streamBufferSize))
}

// take removes the bytes before end from pending and returns them, up to the first
// event that is out of sequence. If end is negative, it returns a part of an event
// that is longer than maxEventSize.
func (e *eventReader) take(end int) ([]byte, error) {
	if end < 0 {
		return e.takePart()
	}
	whole := e.pending[:end:end]
	e.pending = append([]byte(nil), e.pending[end:]...)
	e.returnedEvent = e.returnedEvent || e.scanner.events > 0
	n, err := e.sequence.accept(whole)
	return whole[:n], err
}

func (e *eventReader) takePart() ([]byte, error) {
	switch {
	case len(e.pending) < maxEventSize:
		return nil, nil
	case e.sequence.continued:
		return nil, errLargeFirstEvent
	}
	part := e.pending
	e.pending, e.returnedEvent = nil, true
	e.sequence.skipPart()
	return part, nil
}

// errLargeFirstEvent is returned if a continued stream begins with an event that is
// forwarded in parts. Its ID can't be checked before it is forwarded.
var errLargeFirstEvent = fmt.Errorf("the first event is over %d bytes", maxEventSize)

// brokenOff reports whether a stream that has ended without an error lacks its end.
func (e *eventReader) brokenOff(f upstream.Framing) bool {
	return e.scanner.brokenOff(f) || e.owesEvent()
}

// owesEvent reports whether the stream, or one that it continues, has begun an event that
// has not ended.
func (e *eventReader) owesEvent() bool {
	return e.scanner.inEvent || e.eventOwed && e.scanner.events == 0
}

// isStreamBrokenOff reports whether a response that says it is a stream of server-sent
// events has a body that lacks its end.
func isStreamBrokenOff(r *http.Response, f upstream.Framing, body [][]byte) bool {
	if t, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || t != eventStreamType {
		return false
	}
	var s eventScanner
	for _, part := range body {
		s.scan(part)
	}
	return s.brokenOff(f)
}

// isEventStream reports whether a response is a stream of server-sent events. It is
// on a streamed route if it does not say otherwise.
func isEventStream(r *http.Response) bool {
	t, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	return r.StatusCode == http.StatusOK && (err != nil || t == eventStreamType)
}
