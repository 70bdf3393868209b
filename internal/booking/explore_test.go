package booking

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var exhaustive = flag.Bool("exhaustive", false, "search orders of events of any length")

// outcome is what a search of all orders of events found.
type outcome struct {
	states, deepest int
	// broken counts the steps that break a promise, by the faults before them.
	broken map[string]int
}

func (u outcome) String() string {
	return fmt.Sprintf("%d states, up to %d steps, broken by %v", u.states, u.deepest, u.broken)
}

func (u outcome) kinds() []string {
	var out []string
	for k := range u.broken {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// explore takes every order of events, the shorter ones first.
func explore(t *testing.T, o modelOptions) outcome {
	t.Helper()
	u := outcome{broken: make(map[string]int)}
	first := newWorld(o)
	seen := map[uint64]bool{first.fingerprint(): true}
	level := []*world{first}
	for ; len(level) > 0 && (o.depth == 0 || u.deepest < o.depth); u.deepest++ {
		var below []*world
		for _, w := range level {
			u.states++
			for _, next := range w.successors(o) {
				if next.broken != "" {
					u.broken[next.broken+": "+strings.Join(next.faults, " + ")]++
					continue
				}
				if p := next.fingerprint(); !next.settled() && !seen[p] {
					seen[p] = true
					below = append(below, next)
				}
			}
		}
		level = below
		assert.Assert(t, len(seen) <= o.maxStates, "more than %d states", o.maxStates)
	}
	return u
}

func (w *world) successors(o modelOptions) []*world {
	steps := w.steps(o)
	out := make([]*world, 0, len(steps))
	for _, s := range steps {
		for _, v := range w.learners(s.node) {
			next := v.clone()
			if s.fault != "" {
				next.faults = append(next.faults, s.fault)
				slices.Sort(next.faults)
			}
			s.do(next)
			next.prune()
			out = append(out, next)
		}
	}
	return out
}

var allKinds = []string{"lose", "late", "join", "crash", "drain", "out"}

// search is a fleet and the faults that are tried on it. Three and more nodes have both a
// witness in another data centre and one in the home's.
type search struct {
	order string
	kinds []string
}

func (s search) name() string { return s.order + "_" + strings.Join(s.kinds, "_") }

// No single fault, at any point of any order of events, makes a key run twice
// or gives a caller another answer than the run's.
func TestSingleFault(t *testing.T) {
	tests := []search{
		{"ac", allKinds},
		{"abc", allKinds},
		{"jabc", allKinds},
		{"ajbc", allKinds},
		{"abcd", []string{"lose", "late", "crash", "drain"}},
		{"jabcd", []string{"lose", "late", "join", "crash"}},
		{"abcde", []string{"lose", "late", "crash", "drain"}},
	}
	for _, tt := range tests {
		t.Run(tt.name(), func(t *testing.T) {
			t.Parallel()
			u := explore(t, modelOptions{
				sends: 2, faults: 1, witnesses: 2, order: tt.order, kinds: tt.kinds, maxStates: 400_000,
			})
			t.Log(tt.name(), u)
			assert.DeepEqual(t, u.kinds(), []string(nil))
		})
	}
}

// A third send does not find what a second did not.
func TestSingleFaultAndTwoRepeats(t *testing.T) {
	u := explore(t, modelOptions{
		sends: 3, faults: 1, witnesses: 2, order: "abc", kinds: []string{"lose", "late", "crash"}, maxStates: 400_000,
	})
	t.Log(u)
	assert.DeepEqual(t, u.kinds(), []string(nil))
}

// Of two faults, those break it that end both processes that remember, where
// the service has no third.
func TestDoubleFault(t *testing.T) {
	tests := []struct {
		search
		depth int
		want  []string
	}{
		{search{"ac", allKinds}, 0, []string{
			"twice: crash_home + crash_witness",
			"twice: crash_home + drain_witness",
			"twice: crash_witness + drain_home",
		}},
		{search{"abc", []string{"lose", "late", "crash"}}, 0, nil},
		{search{"abc", []string{"crash", "drain"}}, 11, nil},
		{search{"jabc", []string{"join", "crash"}}, 0, nil},
		{search{"ajbc", []string{"join", "crash"}}, 0, nil},
		{search{"abcd", []string{"lose", "late", "crash"}}, 0, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name(), func(t *testing.T) {
			t.Parallel()
			if *exhaustive {
				tt.depth = 0
			}
			u := explore(t, modelOptions{
				sends: 2, faults: 2, witnesses: 2, order: tt.order, kinds: tt.kinds, depth: tt.depth, maxStates: 400_000,
			})
			t.Log(tt.name(), u)
			assert.DeepEqual(t, u.kinds(), tt.want)
		})
	}
}

// Three processes that end at once forget a key that three held.
func TestTripleCrash(t *testing.T) {
	u := explore(t, modelOptions{
		sends: 2, faults: 3, witnesses: 2, order: "abc", kinds: []string{"crash"}, maxStates: 400_000,
	})
	t.Log(u)
	assert.DeepEqual(t, u.kinds(), []string{"twice: crash_home + crash_witness + crash_witness"})
}

// Without witnesses single faults, and planned changes too, break it.
func TestHomeOnly(t *testing.T) {
	u := explore(t, modelOptions{
		sends: 2, faults: 1, witnesses: -1, order: "jabc", kinds: allKinds, maxStates: 400_000,
	})
	t.Log(u)
	assert.DeepEqual(t, u.kinds(), []string{
		"twice: crash_home", "twice: drain_home", "twice: join", "twice: out_dc1",
	})
}
