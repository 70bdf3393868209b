package direct

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A stream is scanned in the same way however it is split into reads.
func TestEventScannerSplitAnywhere(t *testing.T) {
	random := rand.New(rand.NewPCG(25, 1))
	for range 20_000 {
		var b strings.Builder
		for range random.IntN(24) {
			b.WriteByte("\r\n\r\n:ai"[random.IntN(7)])
		}
		text := b.String()
		whole := eventScanner{}
		wantEnd := whole.scan([]byte(text))
		parts, gotEnd := eventScanner{}, -1
		for i := range len(text) {
			if n := parts.scan([]byte(text[i : i+1])); n >= 0 {
				gotEnd = i + n
			}
		}
		assert.Equal(t, parts, whole, "%q", text)
		assert.Equal(t, gotEnd, wantEnd, "%q", text)
	}
}

// With one kind of line end, the scanner agrees with a split of the text into lines.
func TestEventScannerFindsEvents(t *testing.T) {
	random := rand.New(rand.NewPCG(25, 2))
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		for range 5_000 {
			lines := make([]string, random.IntN(8))
			for i := range lines {
				lines[i] = []string{"", "", "id: 1", "data", ":", ": x"}[random.IntN(6)]
			}
			text := strings.Join(lines, lineEnd)
			var want eventScanner
			for i, line := range lines {
				last := i == len(lines)-1
				switch {
				case last:
					want.lineBegun = line != ""
					want.inEvent = want.inEvent || line != "" && line[0] != ':'
				case line == "":
					want.endEvent()
				case line[0] != ':':
					want.inEvent = true
				}
			}
			var got eventScanner
			got.scan([]byte(text))
			assert.Equal(t, got.events, want.events, "%q", text)
			// A CR may be half of a line end as long as the stream has no other.
			ambiguous := lineEnd == "\r" && strings.Count(text, "\r") == 1
			assert.Assert(t, ambiguous || got.insideEvent() == want.insideEvent(), "%q", text)
			assert.Assert(t, slices.Equal(slices.Collect(lineStrings(text)), trimLastEmpty(lines)), "%q", text)
		}
	}
}

// lineStrings returns the lines that eventLines finds, and panics if an offset is not
// after the line's end.
func lineStrings(text string) iter.Seq[string] {
	return func(yield func(string) bool) {
		begin := 0
		for line, end := range eventLines([]byte(text)) {
			if strings.TrimRight(text[begin:end], "\r\n") != string(line) {
				panic(fmt.Sprintf("offset %d after line %q", end, line))
			}
			if !yield(string(line)) {
				return
			}
			begin = end
		}
	}
}

// trimLastEmpty removes an empty last line, which has no bytes of its own.
func trimLastEmpty(lines []string) []string {
	if n := len(lines); n > 0 && lines[n-1] == "" {
		return lines[:n-1]
	}
	return lines
}
