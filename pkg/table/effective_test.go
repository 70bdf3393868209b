package table

import (
	"bytes"
	"encoding/csv"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// An effective section written as CSV must parse to the same table, so that an
// operator can use the table in effect as the base of an edit.
func TestEffectiveSectionRoundTrip(t *testing.T) {
	for _, example := range []string{"pitchline", "ahmedabad"} {
		var sections []Section
		for _, name := range Sections() {
			data, err := os.ReadFile(filepath.Join("../../examples", example, name+".csv"))
			assert.NilError(t, err)
			sections = append(sections, Section{Name: name, Data: data})
		}
		first, faults := Parse(sections)
		assert.Equal(t, len(faults), 0, "%v", faults)
		var again []Section
		for _, name := range Sections() {
			s, ok := first.EffectiveSection(name)
			assert.Assert(t, ok)
			var b bytes.Buffer
			assert.NilError(t, csv.NewWriter(&b).WriteAll(append([][]string{s.Columns}, s.Rows...)))
			again = append(again, Section{Name: name, Data: b.Bytes()})
		}
		second, faults := Parse(again)
		assert.Equal(t, len(faults), 0, "%v", faults)
		assert.Equal(t, len(Diff(first, second)), 0, "%s", example)
	}
}
