package event

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// docs/EVENTS.md must match the catalogue that is generated from this package.
// Run with -update to regenerate it.
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

// Every declared event must be used by some package or program, so that the
// catalogue lists no event that is never logged. The search covers the other
// internal packages and cmd.
func TestEachEventIsWritten(t *testing.T) {
	declared, err := os.ReadFile("event.go")
	assert.NilError(t, err)
	names := regexp.MustCompile(`(?m)^\t(\w+) +Number = \d+$`).FindAllStringSubmatch(string(declared), -1)
	assert.Equal(t, len(names), len(All()))
	var written strings.Builder
	for _, root := range []string{"..", "../../cmd"} {
		assert.NilError(t, filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			data, err := os.ReadFile(path)
			written.Write(data)
			return err
		}))
	}
	used := make(map[string]bool)
	for _, m := range regexp.MustCompile(`\bevent\.(\w+)`).FindAllStringSubmatch(written.String(), -1) {
		used[m[1]] = true
	}
	for _, n := range names {
		assert.Assert(t, used[n[1]], "no code uses event.%s", n[1])
	}
}
