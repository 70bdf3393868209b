package booking

import (
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// outcome is what a search of all orders of events found.
type outcome struct {
	states, deepest int
	// broken counts the steps that break a promise, by the faults before them.
	broken map[string]int
}

func (u outcome) kinds() []string {
	var out []string
	for k := range u.broken {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func explore(t *testing.T, o modelOptions) outcome {
	t.Helper()
	u := outcome{broken: make(map[string]int)}
	first := newWorld(o)
	seen := map[uint64]bool{first.fingerprint(): true}
	stack := []*world{first}
	for len(stack) > 0 {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		u.states++
		u.deepest = max(u.deepest, w.depth)
		for _, s := range w.steps(o) {
			next := w.clone()
			if s.fault != "" {
				next.faults = append(next.faults, s.fault)
				slices.Sort(next.faults)
			}
			s.do(next)
			if next.broken != "" {
				u.broken[next.broken+": "+strings.Join(next.faults, " + ")]++
				continue
			}
			next.prune()
			if next.settled() {
				continue
			}
			if p := next.fingerprint(); !seen[p] {
				seen[p] = true
				stack = append(stack, next)
			}
		}
		assert.Assert(t, len(seen) <= o.maxStates, "more than %d states", o.maxStates)
	}
	return u
}

var allKinds = []string{"lose", "late", "join", "crash", "drain", "out"}

// No single fault, at any point of any order of events, makes a key run twice
// or gives a caller another answer than the run's.
func TestSingleFault(t *testing.T) {
	tests := []struct{ name, order string }{
		{"three", "abc"},
		{"three_and_a_new_home", "jabc"},
		{"three_and_a_new_witness", "ajbc"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			u := explore(t, modelOptions{
				sends: 2, faults: 1, witnesses: 2, order: tt.order, kinds: allKinds, maxStates: 1_000_000,
			})
			t.Logf("%d states, up to %d steps", u.states, u.deepest)
			assert.DeepEqual(t, u.kinds(), []string(nil))
		})
	}
}
