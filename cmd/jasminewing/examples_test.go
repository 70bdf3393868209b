package main

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/pkg/table"
)

// The two example tables are valid, and the key of each account is example-NAME,
// as their READMEs say.
func TestExamples(t *testing.T) {
	tests := []struct{ name, want string }{
		{"pitchline", "good: 3 data centres, 5 classes, 15 upstreams, 10 accounts\nstatus 0\n"},
		{"ahmedabad", "good: 4 data centres, 5 classes, 23 upstreams, 10 accounts\nstatus 0\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			directory := filepath.Join("..", "..", "examples", tt.name)
			assert.Equal(t, runTranscript("check", directory), "$ jasminewing check "+directory+"\n"+tt.want)

			paths, err := directoryPaths(directory)
			assert.NilError(t, err)
			sections, err := readSections(paths)
			assert.NilError(t, err)
			tb, _ := table.Parse(sections)
			for name := range tb.Accounts {
				a, ok := tb.AccountByKey(table.HashKey("example-" + string(name)))
				assert.Assert(t, ok && a.Name == name, name)
			}
		})
	}
}
