package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
)

// maxEventBytes is the maximum size of one event of a stream, in bytes.
const maxEventBytes = 1 << 20

var doneMark = []byte("[DONE]")

// streamParser parses an event stream. It returns only complete events, so that
// a lost connection never leaves the caller with half an event, and holds back
// the [DONE] event until the transport signals the end of the body.
type streamParser struct {
	// ignoreUsage is set for a resumed answer, whose reported usage may include
	// the tokens before the offset.
	ignoreUsage bool

	pending     []byte
	scanned     int
	doneEvent   []byte
	count       tokens
	events      int
	first, last time.Time
}

// streamEvent holds the fields that are read from an event's data.
type streamEvent struct {
	Error   json.RawMessage `json:"error"`
	Choices []struct {
		Delta struct {
			Content   string          `json:"content"`
			ToolCalls json.RawMessage `json:"tool_calls"`
		} `json:"delta"`
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens tokens `json:"completion_tokens"`
	} `json:"usage"`
}

func (e streamEvent) hasToken() bool {
	for _, c := range e.Choices {
		if c.Delta.Content != "" || c.Text != "" || len(c.Delta.ToolCalls) > 0 {
			return true
		}
	}
	return false
}

func (s *streamParser) parse(now time.Time, p []byte) ([]byte, error) {
	s.pending = append(s.pending, p...)
	checked := 0
	for {
		end := s.eventEnd(checked)
		if end < 0 {
			break
		}
		if err := s.checkEvent(now, s.pending[checked:end]); err != nil {
			return s.pending[:checked], err
		}
		if s.doneEvent != nil {
			break
		}
		checked = end
	}
	if s.doneEvent != nil {
		return s.holdDone(checked)
	}
	out := s.pending[:checked:checked]
	rest := s.pending[checked:]
	s.scanned -= checked
	if len(rest) > maxEventBytes {
		return out, result.Errorf(result.UpstreamBadStream, "an event is over %d bytes", maxEventBytes)
	}
	if checked > 0 {
		s.pending = append([]byte(nil), rest...)
	}
	return out, nil
}

// holdDone holds back the [DONE] event for finish and returns an error if data
// follows it.
func (s *streamParser) holdDone(checked int) ([]byte, error) {
	out, rest := s.pending[:checked], s.pending[checked:]
	s.doneEvent = rest
	if i := bytes.Index(rest, doneMark); len(bytes.TrimSpace(rest[i+len(doneMark):])) > 0 {
		return out, result.Errorf(result.UpstreamBadStream, "data after the end mark")
	}
	s.pending = rest
	s.scanned = 0
	return out, nil
}

// eventEnd returns the index after the blank line that ends the event starting
// at from, or -1 if the event is incomplete.
func (s *streamParser) eventEnd(from int) int {
	s.scanned = max(s.scanned, from)
	for {
		i := bytes.IndexByte(s.pending[s.scanned:], '\n')
		if i < 0 {
			return -1
		}
		start := s.scanned
		s.scanned += i + 1
		if line := bytes.TrimSuffix(s.pending[start:start+i], []byte("\r")); len(line) == 0 {
			return s.scanned
		}
	}
}

// checkEvent validates the lines of one event and checks its data.
func (s *streamParser) checkEvent(now time.Time, raw []byte) error {
	var data [][]byte
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "event", "id", "retry", "":
		case "data":
			data = append(data, bytes.TrimPrefix(value, []byte(" ")))
		default:
			return result.Errorf(result.UpstreamBadStream, "a line of the stream is no field of an event")
		}
	}
	if data == nil {
		return nil
	}
	return s.checkData(now, bytes.Join(data, []byte("\n")))
}

func (s *streamParser) checkData(now time.Time, d []byte) error {
	if bytes.Equal(d, doneMark) {
		s.doneEvent = d
		return nil
	}
	var e streamEvent
	var mistyped *json.UnmarshalTypeError
	if err := json.Unmarshal(d, &e); err != nil && (!errors.As(err, &mistyped) || d[0] != '{') {
		return result.Errorf(result.UpstreamBadStream, "an event's data is no JSON object")
	}
	if len(e.Error) > 0 && string(e.Error) != "null" {
		return result.Errorf(result.UpstreamFailed, "the stream carries an error")
	}
	if e.hasToken() {
		s.countToken(now)
	}
	if e.Usage != nil && !s.ignoreUsage {
		s.count = e.Usage.CompletionTokens
	}
	return nil
}

func (s *streamParser) countToken(now time.Time) {
	if s.first.IsZero() {
		s.first = now
	}
	s.last = now
	s.events++
	s.count++
}

func (s *streamParser) finish() ([]byte, error) {
	if s.doneEvent == nil {
		return nil, result.Errorf(result.UpstreamCutOff, "the stream ended before its end mark")
	}
	return s.doneEvent, nil
}

func (s *streamParser) held() int { return len(s.pending) }

func (s *streamParser) tokens() tokens { return s.count }

func (s *streamParser) countedTokens() tokens { return tokens(s.events) }

func (s *streamParser) timings(start time.Time) (first, gap time.Duration) {
	if s.first.IsZero() {
		return 0, 0
	}
	if s.events > 1 {
		gap = s.last.Sub(s.first) / time.Duration(s.events-1)
	}
	return s.first.Sub(start), gap
}
