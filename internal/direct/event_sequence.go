package direct

import (
	"bytes"
	"cmp"
	"fmt"
	"iter"
	"strconv"
	"strings"
)

// eventSequence checks that the events of a stream follow each other, so that bytes
// of another answer, or of another run of the request, are not taken for events.
type eventSequence struct {
	// firstID and lastID are the IDs of the first and the last event that have one; empty
	// if there is none.
	firstID, lastID string
	// continued reports that the next event must directly follow lastID, which another
	// upstream sent.
	continued bool
	// inPart reports that a part of an event has been passed over. The rest of that
	// event is not checked.
	inPart bool
}

// sequenceError is returned for an event that does not follow the one before it.
type sequenceError struct{ after, id string }

// Error describes the two events.
func (e *sequenceError) Error() string {
	return fmt.Sprintf("an event with ID %q follows event %q", e.id, e.after)
}

// accept reads whole events. It returns the length of those that follow each other,
// and a *sequenceError if these are not all.
func (s *eventSequence) accept(events []byte) (int, error) {
	accepted := 0
	var e streamEvent
	for line, end := range eventLines(events) {
		if len(line) > 0 {
			e.addLine(line)
			continue
		}
		if e.hasField && !s.inPart {
			if err := s.next(e); err != nil {
				return accepted, err
			}
		}
		s.inPart = false
		e, accepted = streamEvent{}, end
	}
	return accepted, nil
}

// skipPart passes over a part of an event. No stream can be continued inside it.
func (s *eventSequence) skipPart() { s.lastID, s.inPart = "", true }

func (s *eventSequence) next(e streamEvent) error {
	last, err := strconv.ParseInt(s.lastID, 10, 64)
	numbered := err == nil
	n, err := strconv.ParseInt(e.id, 10, 64)
	var follows bool
	switch {
	case s.lastID == "":
		follows = true
	case s.continued && numbered:
		follows = err == nil && n == last+1
	case s.continued:
		follows = e.id != "" && e.id != s.lastID && e.id != s.firstID
	case e.id == "":
		follows = e.onlyKnownFields()
	default:
		follows = !numbered || err != nil || n > last
	}
	if !follows {
		return &sequenceError{s.lastID, e.id}
	}
	s.continued = false
	if e.id != "" {
		s.firstID, s.lastID = cmp.Or(s.firstID, e.id), e.id
	}
	return nil
}

// streamEvent is what an eventSequence knows of an event.
type streamEvent struct {
	id                        string
	hasField, hasUnknownField bool
}

func (e *streamEvent) addLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "":
		return
	case "id":
		e.id = strings.TrimSpace(string(value))
	case "data", "event", "retry":
	default:
		e.hasUnknownField = true
	}
	e.hasField = true
}

func (e *streamEvent) onlyKnownFields() bool { return !e.hasUnknownField }

// eventLines returns the lines of b without their line ends, each with the offset
// after its line end.
func eventLines(b []byte) iter.Seq2[[]byte, int] {
	return func(yield func([]byte, int) bool) {
		for begin := 0; begin < len(b); {
			line, end := b[begin:], len(b)
			if n := bytes.IndexAny(line, "\r\n"); n >= 0 {
				line, end = line[:n], begin+n+1
				if b[end-1] == '\r' && end < len(b) && b[end] == '\n' {
					end++
				}
			}
			if !yield(line, end) {
				return
			}
			begin = end
		}
	}
}
