package direct

import "jasminewing.dev/jasminewing/internal/upstream"

// eventScanner finds the ends of the events in a stream of server-sent events, whose
// lines end in CR, LF or CRLF. The zero value is at the start of a stream.
type eventScanner struct {
	// lineBegun reports that the current line is not empty.
	lineBegun bool
	// inEvent reports that a field has begun since the last blank line. Comments are
	// no fields.
	inEvent bool
	// afterCR reports that the last byte is a CR. An LF may follow that belongs to the
	// same line end.
	afterCR bool
	// blankCR reports that this CR ends a blank line.
	blankCR bool
	// loneCR reports that the stream's lines end in CR alone, by the last line whose
	// end is known.
	loneCR bool
	// events is the number of events that have ended.
	events int
}

// scan reads the next bytes of the stream. It returns the offset after the last
// blank line in p, or -1 if no blank line ends in p.
func (s *eventScanner) scan(p []byte) int {
	end := -1
	for i, b := range p {
		if s.afterCR {
			s.afterCR, s.loneCR = false, b != '\n'
			if s.blankCR {
				s.endEvent()
				end = i
			}
			if b == '\n' {
				if s.blankCR {
					end++
				}
				continue
			}
		}
		switch {
		case b == '\r':
			s.afterCR, s.blankCR = true, !s.lineBegun
			if s.blankCR && s.loneCR {
				s.endEvent()
				end = i + 1
			}
		case b == '\n':
			s.loneCR = false
			if !s.lineBegun {
				s.endEvent()
				end = i + 1
			}
		case !s.lineBegun && b != ':':
			s.inEvent = true
		}
		s.lineBegun = b != '\r' && b != '\n'
	}
	return end
}

func (s *eventScanner) endEvent() {
	if s.inEvent {
		s.events++
	}
	s.inEvent = false
}

// brokenOff reports whether a stream that ends here without an error lacks its end.
// Upstreams end a stream after a whole event. A stream that ends with its connection has
// at least one event, because nothing else tells its end from that of an upstream that
// crashed before the first.
func (s *eventScanner) brokenOff(f upstream.Framing) bool {
	return s.insideEvent() || f == upstream.FramedByClose && s.events == 0
}

// insideEvent reports whether the bytes read so far end inside an event or a line. A
// CR is half a line end, unless the lines of the stream end in CR alone.
func (s *eventScanner) insideEvent() bool {
	return s.inEvent || s.lineBegun || s.afterCR && s.blankCR && !s.loneCR
}
