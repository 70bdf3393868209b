package direct

import (
	"bytes"
	"io"
	"strconv"
	"strings"
)

// streamBufferSize is the size in bytes of the buffer for reading a stream.
const streamBufferSize = 8 << 10

// maxEventSize is the maximum size in bytes of a stream event. A longer event is
// forwarded in parts, and the stream can't be resumed after it.
const maxEventSize = 256 << 10

// eventReader reads a stream of server-sent events and returns whole events only,
// so that a stream that breaks within an event can be resumed after the previous
// event.
type eventReader struct {
	source io.Reader
	// lastEventID is the ID of the last whole event returned; empty if there is
	// none.
	lastEventID string
	buffer      []byte
	pending     []byte
}

// next returns the whole events read so far, byte for byte. After an error,
// pending holds the rest of an incomplete event.
func (e *eventReader) next() ([]byte, error) {
	if e.buffer == nil {
		e.buffer = make([]byte, streamBufferSize)
	}
	for {
		n, err := e.source.Read(e.buffer)
		e.pending = append(e.pending, e.buffer[:n]...)
		if whole := e.takeWhole(); len(whole) > 0 || err != nil {
			return whole, err
		}
	}
}

// takeWhole removes the whole events from pending and returns them.
func (e *eventReader) takeWhole() []byte {
	end := lastEventEnd(e.pending)
	if end == 0 {
		if len(e.pending) < maxEventSize {
			return nil
		}
		end = len(e.pending)
	}
	whole := e.pending[:end:end]
	e.pending = append([]byte(nil), e.pending[end:]...)
	if _, last, found := eventIDs(whole); found {
		e.lastEventID = last
	}
	return whole
}

// lastEventEnd returns the offset after the last empty line, which ends an
// event; zero if there is none.
func lastEventEnd(b []byte) int {
	end := 0
	for _, mark := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(mark)); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}

// eventIDs returns the first and the last event ID in whole, if there is any.
func eventIDs(whole []byte) (first, last string, found bool) {
	for line := range bytes.Lines(whole) {
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
