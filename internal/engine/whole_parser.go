package engine

import (
	"bytes"
	"strconv"
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

type tokens = table.Tokens

// tailBytes is the size of the tail of the body that is searched for the usage.
const tailBytes = 4 << 10

var usageKey = []byte(`"completion_tokens":`)

// wholeParser handles an answer that is not an event stream. It returns all
// bytes at once and keeps the tail of the body, where engines write the usage.
type wholeParser struct {
	first time.Time
	tail  []byte
}

func (w *wholeParser) parse(now time.Time, p []byte) ([]byte, error) {
	if w.first.IsZero() {
		w.first = now
	}
	w.tail = append(w.tail, p[max(0, len(p)-tailBytes):]...)
	if over := len(w.tail) - tailBytes; over > 0 {
		w.tail = append(w.tail[:0], w.tail[over:]...)
	}
	return p, nil
}

func (w *wholeParser) finish() ([]byte, error) { return nil, nil }

// tokens returns the completion tokens of the reported usage, or zero if it is
// not found. Text that a model wrote cannot be mistaken for it, because its
// quotes are escaped.
func (w *wholeParser) tokens() tokens {
	i := bytes.LastIndex(w.tail, usageKey)
	if i < 0 {
		return 0
	}
	digits := bytes.TrimLeft(w.tail[i+len(usageKey):], " ")
	end := bytes.IndexFunc(digits, func(r rune) bool { return r < '0' || r > '9' })
	if end < 0 {
		return 0
	}
	n, err := strconv.Atoi(string(digits[:end]))
	if err != nil {
		return 0
	}
	return tokens(n)
}

// held does not count the tail, whose size is fixed.
func (w *wholeParser) held() int { return 0 }

func (w *wholeParser) countedTokens() tokens { return 0 }

func (w *wholeParser) timings(start time.Time) (first, gap time.Duration) {
	if w.first.IsZero() {
		return 0, 0
	}
	return w.first.Sub(start), 0
}
