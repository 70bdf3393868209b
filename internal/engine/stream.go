package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var doneMark = []byte("[DONE]")

// stream is an event stream. It passes whole events on, so that a cut never
// leaves half an event with the caller, and holds the end mark back until the
// transport's own end has come.
type stream struct {
	// ignoreUsage is set for a resumed answer, whose usage may count the tokens
	// of before the offset.
	ignoreUsage bool

	pending     []byte
	scanned     int
	done        []byte
	count       tokens
	events      int
	first, last time.Time
}

// streamEvent is what is read of an event's data.
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

func (s *stream) take(now time.Time, p []byte) ([]byte, error) {
	s.pending = append(s.pending, p...)
	good := 0
	for {
		end := s.eventEnd(good)
		if end < 0 {
			break
		}
		if err := s.event(now, s.pending[good:end]); err != nil {
			return s.pending[:good], err
		}
		if s.done != nil {
			break
		}
		good = end
	}
	if s.done != nil {
		return s.afterDone(good)
	}
	out := s.pending[:good:good]
	rest := s.pending[good:]
	s.scanned -= good
	if len(rest) > maxEventBytes {
		return out, result.Errorf(result.UpstreamBadStream, "an event is over %d bytes", maxEventBytes)
	}
	s.pending = append([]byte(nil), rest...)
	return out, nil
}

// afterDone keeps the end mark for end and refuses anything that follows it.
func (s *stream) afterDone(good int) ([]byte, error) {
	out, rest := s.pending[:good], s.pending[good:]
	s.done = rest
	if i := bytes.Index(rest, doneMark); len(bytes.TrimSpace(rest[i+len(doneMark):])) > 0 {
		return out, result.Errorf(result.UpstreamBadStream, "data after the end mark")
	}
	s.pending = rest
	s.scanned = 0
	return out, nil
}

// eventEnd gives the index behind the blank line that ends the event at from,
// or -1 if it has not come.
func (s *stream) eventEnd(from int) int {
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

// event checks one event.
func (s *stream) event(now time.Time, raw []byte) error {
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
	return s.data(now, bytes.Join(data, []byte("\n")))
}

func (s *stream) data(now time.Time, d []byte) error {
	if bytes.Equal(d, doneMark) {
		s.done = d
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
		s.token(now)
	}
	if e.Usage != nil && !s.ignoreUsage {
		s.count = e.Usage.CompletionTokens
	}
	return nil
}

func (s *stream) token(now time.Time) {
	if s.first.IsZero() {
		s.first = now
	}
	s.last = now
	s.events++
	s.count++
}

func (s *stream) end() ([]byte, error) {
	if s.done == nil {
		return nil, result.Errorf(result.UpstreamCutOff, "the stream ended before its end mark")
	}
	return s.done, nil
}

func (s *stream) tokens() tokens { return s.count }

func (s *stream) counted() tokens { return tokens(s.events) }

func (s *stream) times(start time.Time) (first, gap time.Duration) {
	if s.first.IsZero() {
		return 0, 0
	}
	if s.events > 1 {
		gap = s.last.Sub(s.first) / time.Duration(s.events-1)
	}
	return s.first.Sub(start), gap
}
