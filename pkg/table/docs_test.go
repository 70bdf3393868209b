package table

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const docsPath = "../../docs/TABLE.md"

// The column tables in docs/TABLE.md must match the ones that are generated
// from this package. Run with -update to regenerate them.
func TestDocsColumns(t *testing.T) {
	data, err := os.ReadFile(docsPath)
	assert.NilError(t, err)
	text := string(data)
	text = replaceColumns(t, text, DataCentresSection, columnsText(dataCentreColumns))
	text = replaceColumns(t, text, ClassesSection, columnsText(classColumns))
	text = replaceColumns(t, text, UpstreamsSection, columnsText(upstreamColumns))
	text = replaceColumns(t, text, AccountsSection, columnsText(accountColumns))
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(docsPath, []byte(text), 0o644))
		return
	}
	assert.Equal(t, string(data), text)
}

// replaceColumns replaces the column table under the heading of a section.
func replaceColumns(t *testing.T, text, section, columns string) string {
	t.Helper()
	head, rest, found := strings.Cut(text, "\n## `"+section+"`\n")
	assert.Assert(t, found, "docs/TABLE.md has no heading for section %s", section)
	start := strings.Index(rest, "\n| column |")
	end := strings.Index(rest[start+1:], "\n\n")
	assert.Assert(t, start >= 0 && end >= 0, "docs/TABLE.md has no column table for section %s", section)
	return head + "\n## `" + section + "`\n" + rest[:start+1] + columns + rest[start+1+end+1:]
}

func columnsText[T any](columns []column[T]) string {
	var b strings.Builder
	b.WriteString("| column | holds | unit | default | range |\n|---|---|---|---|---|\n")
	for _, c := range columns {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", c.name, c.description, c.codec.unit, defaultText(c), c.codec.allowed)
	}
	return b.String()
}

func defaultText[T any](c column[T]) string {
	switch {
	case c.required:
		return "must be given"
	case c.derivedDefault != "":
		return c.derivedDefault
	default:
		return c.defaultValue
	}
}
