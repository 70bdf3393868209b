package direct

import (
	"bytes"
	"io"
	"strconv"
	"strings"
)

// streamBufferSize is the size of the reads of a stream in bytes.
const streamBufferSize = 8 << 10

// maxEventSize bounds an event of a stream in bytes; a longer one is passed on in
// parts, and can't be resumed after.
const maxEventSize = 256 << 10

// eventReader reads a stream of server-sent eventReader and gives out whole eventReader only,
// so that a stream that breaks within one can be resumed after the one before.
type eventReader struct {
	source io.Reader
	// lastEventID is the id of the lastEventID whole event given out; empty for none.
	lastEventID string
	buffer      []byte
	pending     []byte
}

// next gives the whole events that have come, as they came. After an error,
// rest gives what is left of an unfinished event.
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

// takeWhole takes the whole events from what is pending.
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

// lastEventEnd gives the length up to the last empty line, which ends an event.
func lastEventEnd(b []byte) int {
	end := 0
	for _, mark := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(mark)); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}

// eventIDs gives the eventIDs of the first and the last event, if any has one.
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

// isNextEvent says that a stream resumed after one event goes on with the next.
func isNextEvent(after, first string) bool {
	a, err := strconv.ParseInt(after, 10, 64)
	if err != nil {
		return true
	}
	f, err := strconv.ParseInt(first, 10, 64)
	return err == nil && f == a+1
}
