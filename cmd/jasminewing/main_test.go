package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime/debug"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/pkg/result"
)

// runTranscript runs the program and returns the command line, the output and the
// exit status as a shell transcript.
func runTranscript(args ...string) string {
	var stdout, stderr bytes.Buffer
	status := run(args, &stdout, &stderr)
	return fmt.Sprintf("$ jasminewing %s\n%s%sstatus %d\n", strings.Join(args, " "), stdout.String(), stderr.String(), status)
}

func TestHelp(t *testing.T) {
	golden.Assert(t, runTranscript("--help"), "help.golden")
	for _, s := range subcommands {
		t.Run(s.name, func(t *testing.T) {
			golden.Assert(t, runTranscript(s.name, "--help"), "help_"+s.name+".golden")
			assert.Assert(t, strings.Contains(s.usage, "jasminewing "+s.name), "the usage text has no example")
		})
	}
}

func TestCheckBrokenTable(t *testing.T) {
	golden.Assert(t, runTranscript("check", "testdata/broken"), "check.golden")
}

func TestBadUsage(t *testing.T) {
	tests := [][]string{
		nil,
		{"chekc"},
		{"check"},
		{"check", "testdata/none"},
		{"codes", "more"},
		{"events", "--yaml"},
	}
	var b strings.Builder
	for _, args := range tests {
		b.WriteString(runTranscript(args...))
	}
	golden.Assert(t, b.String(), "bad_usage.golden")
}

func TestExitStatus(t *testing.T) {
	assert.Equal(t, exitStatusOf(nil), exitOK)
	assert.Equal(t, exitStatusOf(fmt.Errorf("start: %w", result.Errorf(result.BadSetting, "x"))), exitUsage)
	assert.Equal(t, exitStatusOf(result.Errorf(result.Internal, "x")), exitFailed)
}

func TestJSONTables(t *testing.T) {
	var stdout, stderr bytes.Buffer
	assert.Equal(t, run([]string{"codes", "--json"}, &stdout, &stderr), exitOK)
	var codes []codeLine
	assert.NilError(t, json.Unmarshal(stdout.Bytes(), &codes))
	assert.Equal(t, len(codes), len(result.All()))

	stdout.Reset()
	assert.Equal(t, run([]string{"events", "--json"}, &stdout, &stderr), exitOK)
	var events []eventLine
	assert.NilError(t, json.Unmarshal(stdout.Bytes(), &events))
	assert.Equal(t, len(events), len(event.All()))
	assert.Equal(t, stderr.String(), "")
}

func TestTextTables(t *testing.T) {
	assert.Equal(t, strings.Count(runTranscript("codes"), "\n"), len(result.All())+3)
	assert.Equal(t, strings.Count(runTranscript("events"), "\n"), len(event.All())+3)
}

func TestVersion(t *testing.T) {
	info := &debug.BuildInfo{GoVersion: "go1.26.0", Settings: []debug.BuildSetting{
		{Key: "vcs.revision", Value: "abc"}, {Key: "vcs.modified", Value: "true"},
	}}
	info.Main.Version = "v1.2.3"
	assert.Equal(t, versionLine(info), "jasminewing v1.2.3 (commit abc, edited) go1.26.0")
	assert.Assert(t, strings.HasSuffix(runTranscript("version"), "status 0\n"))
}
