package setting

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const docsPath = "../../docs/OPERATIONS.md"

// The tables of settings in docs/OPERATIONS.md must match the flags of this
// version. The flag -update regenerates them.
func TestDocsSettings(t *testing.T) {
	data, err := os.ReadFile(docsPath)
	assert.NilError(t, err)
	text := string(data)
	for heading, settings := range map[string]reflect.Type{
		"### Of both programs":   reflect.TypeFor[Common](),
		"### Of a gateway alone": reflect.TypeFor[Gateway](),
		"### Of a sidecar alone": reflect.TypeFor[Sidecar](),
	} {
		text = replaceTable(t, text, heading, settingsTable(settings))
	}
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(docsPath, []byte(text), 0o644))
		return
	}
	assert.Equal(t, string(data), text)
}

// replaceTable replaces the table under a heading.
func replaceTable(t *testing.T, text, heading, table string) string {
	t.Helper()
	head, rest, found := strings.Cut(text, "\n"+heading+"\n")
	assert.Assert(t, found, "no heading %q", heading)
	start := strings.Index(rest, "\n| flag |")
	end := strings.Index(rest[start+1:], "\n\n")
	assert.Assert(t, start >= 0 && end >= 0, "no table under %q", heading)
	return head + "\n" + heading + "\n" + rest[:start+1] + table + rest[start+1+end+1:]
}

func settingsTable(s reflect.Type) string {
	var b strings.Builder
	b.WriteString("| flag | variable | default | meaning |\n|---|---|---|---|\n")
	for f := range s.Fields() {
		if f.Anonymous {
			continue
		}
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s |\n", f.Tag.Get("long"), f.Tag.Get("env"), defaultOf(f), f.Tag.Get("description"))
	}
	return b.String()
}

func defaultOf(f reflect.StructField) string {
	if d, ok := f.Tag.Lookup("default"); ok {
		return "`" + d + "`"
	}
	if f.Name == "AdminToken" || f.Name == "Peers" {
		return "none"
	}
	return "must be given"
}
