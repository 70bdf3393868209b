package direct

import (
	"bytes"
	"io"
	"strconv"
	"strings"

	"jasminewing.dev/jasminewing/internal/upstream"
)

// streamBufferSize is the size in bytes of the buffer for reading a stream.
const streamBufferSize = 8 << 10

// maxEventSize is the maximum size in bytes of a stream event. A longer event is
// forwarded in parts, and the stream can't be resumed until a later event has ended.
const maxEventSize = 256 << 10

// eventReader reads a stream of server-sent events and returns whole events only,
// so that a stream that breaks within an event can be resumed after the previous
// event.
type eventReader struct {
	source io.Reader
	// lastEventID is the last event ID returned; empty if there is none, or if a part
	// of an event was returned since.
	lastEventID string
	// returnedEvent reports that an event, or a part of one, has been returned.
	returnedEvent bool

	scanner eventScanner
	buffer  []byte
	pending []byte
}

// next returns the whole events read so far, byte for byte. After an error,
// pending holds the bytes after the last whole event.
func (e *eventReader) next() ([]byte, error) {
	if e.buffer == nil {
		e.buffer = make([]byte, streamBufferSize)
	}
	for {
		n, err := e.source.Read(e.buffer)
		end := e.scanner.scan(e.buffer[:n])
		if end >= 0 {
			end += len(e.pending)
		}
		e.pending = append(e.pending, e.buffer[:n]...)
		if whole := e.take(end); len(whole) > 0 || err != nil {
			return whole, err
		}
	}
}

// take removes the bytes before end from pending and returns them. If end is
// negative, it returns a part of an event that is longer than maxEventSize.
func (e *eventReader) take(end int) []byte {
	if end < 0 {
		if len(e.pending) < maxEventSize {
			return nil
		}
		part := e.pending
		e.pending, e.lastEventID, e.returnedEvent = nil, "", true
		return part
	}
	whole := e.pending[:end:end]
	e.pending = append([]byte(nil), e.pending[end:]...)
	e.returnedEvent = e.returnedEvent || e.scanner.events > 0
	if _, last, found := eventIDs(whole); found {
		e.lastEventID = last
	}
	return whole
}

// brokenOff reports whether a stream that has ended without an error lacks its end.
// Upstreams end a stream after a whole event. A stream that ends with its connection
// has at least one event, because nothing else tells its end from that of an upstream
// that crashed before the first.
func (e *eventReader) brokenOff(f upstream.Framing) bool {
	return e.scanner.insideEvent() || f == upstream.FramedByClose && e.scanner.events == 0
}

// eventIDs returns the first and the last event ID in whole, if there is any.
func eventIDs(whole []byte) (first, last string, found bool) {
	for line := range eventLines(whole) {
		name, value, isField := bytes.Cut(line, []byte(":"))
		if !isField || string(name) != "id" {
			continue
		}
		last = strings.TrimSpace(string(value))
		if !found {
			first, found = last, true
		}
	}
	return first, last, found
}

// isNextEvent reports whether the event ID first directly follows the event ID
// after. It reports true if after is not a number.
func isNextEvent(after, first string) bool {
	a, err := strconv.ParseInt(after, 10, 64)
	if err != nil {
		return true
	}
	f, err := strconv.ParseInt(first, 10, 64)
	return err == nil && f == a+1
}
