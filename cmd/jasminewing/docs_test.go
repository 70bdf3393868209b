package main

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	// testReference is a test as docs/PROOF.md names it: with its package, unless
	// that is this one.
	testReference = regexp.MustCompile(`(?:([a-z]+)\.)?\b(Test[A-Z]\w*)`)
	testFunc      = regexp.MustCompile(`(?m)^func (Test\w+)\(`)
)

// repositoryTests gives the tests of the packages of the repository, by package name.
func repositoryTests(t *testing.T) map[string]bool {
	t.Helper()
	tests := make(map[string]bool)
	for _, pattern := range []string{"../../internal/*/*_test.go", "../../pkg/*/*_test.go", "../*/*_test.go", "../../platform/*_test.go"} {
		paths, err := filepath.Glob(pattern)
		assert.NilError(t, err)
		for _, p := range paths {
			text, err := os.ReadFile(p)
			assert.NilError(t, err)
			for _, m := range testFunc.FindAllStringSubmatch(string(text), -1) {
				tests[filepath.Base(filepath.Dir(p))+"."+m[1]] = true
			}
		}
	}
	return tests
}

// Every test that docs/PROOF.md names is there.
func TestProofNamesTests(t *testing.T) {
	proof, err := os.ReadFile("../../docs/PROOF.md")
	assert.NilError(t, err)
	tests := repositoryTests(t)
	var missing []string
	references := testReference.FindAllStringSubmatch(string(proof), -1)
	for _, m := range references {
		pkg := m[1]
		if pkg == "" {
			pkg = "jasminewing"
		}
		if !tests[pkg+"."+m[2]] {
			missing = append(missing, pkg+"."+m[2])
		}
	}
	assert.Assert(t, len(references) > 0, "the page names no test")
	assert.Assert(t, len(missing) == 0, "docs/PROOF.md names what is not there: %s", strings.Join(missing, ", "))
}

// Every test of a fault through real processes is on the page.
func TestProofIsComplete(t *testing.T) {
	proof, err := os.ReadFile("../../docs/PROOF.md")
	assert.NilError(t, err)
	for _, prefix := range []string{"answer", "cold", "cut", "freeze", "freeze_gateway", "kill", "operator", "outage", "stop", "tier"} {
		text, err := os.ReadFile(fmt.Sprintf("%s_test.go", prefix))
		assert.NilError(t, err)
		for _, m := range testFunc.FindAllStringSubmatch(string(text), -1) {
			assert.Check(t, strings.Contains(string(proof), "`"+m[1]), "docs/PROOF.md does not name %s", m[1])
		}
	}
}
