package event

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// The catalogue in docs/EVENTS.md is the one this version has. Run with
// -update to write it anew.
func TestDocsCatalogue(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line carries one of these numbers in the field `event`.\n\n" +
		"| event | name | level | line | what it asks of you |\n|---|---|---|---|---|\n")
	levels := [...]string{"info", "warn", "error"}
	for _, e := range All() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s |\n", e.Number, e.Name, levels[e.Level], e.Text, e.Action)
	}
	const path = "../../docs/EVENTS.md"
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(path, []byte(b.String()), 0o644))
	}
	got, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, b.String(), string(got))
}

func TestThrottle(t *testing.T) {
	var b bytes.Buffer
	now := time.Unix(1000, 0)
	l := &Log{Logger: log.New(&b), Now: func() time.Time { return now }}
	for range 5 {
		l.WriteThrottled(UpstreamDown, "draft_a")
	}
	l.WriteThrottled(UpstreamDown, "draft_b")
	assert.Equal(t, strings.Count(b.String(), "\n"), 2)
	now = now.Add(throttleWindow)
	l.WriteThrottled(UpstreamDown, "draft_a")
	assert.Assert(t, strings.Contains(b.String(), "repeated=4"), b.String())
}
