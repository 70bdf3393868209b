package booking

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var exhaustive = flag.Bool("exhaustive", false, "search event sequences of any length")

// searchResult is the result of a search over all event sequences.
type searchResult struct {
	states, deepest int
	// violations counts the steps that violate a guarantee, by guarantee and
	// preceding faults.
	violations map[string]int
}

func (u searchResult) String() string {
	return fmt.Sprintf("%d states, up to %d steps, violations: %v", u.states, u.deepest, u.violations)
}

func (u searchResult) violationKinds() []string {
	var out []string
	for k := range u.violations {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// explore searches all event sequences breadth-first.
func explore(t *testing.T, o modelOptions) searchResult {
	t.Helper()
	u := searchResult{violations: make(map[string]int)}
	first := newSimulation(o)
	seen := map[uint64]bool{first.fingerprint(): true}
	level := []*simulation{first}
	for ; len(level) > 0 && (o.depth == 0 || u.deepest < o.depth); u.deepest++ {
		var nextLevel []*simulation
		for _, sim := range level {
			u.states++
			for _, next := range sim.successors(o) {
				if next.violation != "" {
					u.violations[next.violation+": "+strings.Join(next.faults, " + ")]++
					continue
				}
				if p := next.fingerprint(); !next.finished() && !seen[p] {
					seen[p] = true
					nextLevel = append(nextLevel, next)
				}
			}
		}
		level = nextLevel
		assert.Assert(t, len(seen) <= o.maxStates, "more than %d states", o.maxStates)
	}
	return u
}

func (sim *simulation) successors(o modelOptions) []*simulation {
	steps := sim.steps(o)
	out := make([]*simulation, 0, len(steps))
	for _, s := range steps {
		for _, v := range sim.viewVariants(s.node) {
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

var allFaultKinds = []string{"lose", "late", "join", "crash", "drain", "out"}

// search is a fleet and the faults injected into it. A fleet of three or more
// nodes has both a witness in another data centre and one in the data centre of
// the home.
type search struct {
	order      string
	faultKinds []string
}

func (s search) name() string { return s.order + "_" + strings.Join(s.faultKinds, "_") }

// No single fault, at any point of any event sequence, makes a key run twice or
// gives a caller an answer other than that of the run.
func TestSingleFault(t *testing.T) {
	tests := []search{
		{"ac", allFaultKinds},
		{"abc", allFaultKinds},
		{"jabc", allFaultKinds},
		{"ajbc", allFaultKinds},
		{"abcd", []string{"lose", "late", "crash", "drain"}},
		{"jabcd", []string{"lose", "late", "join", "crash"}},
		{"abcde", []string{"lose", "late", "crash", "drain"}},
	}
	for _, tt := range tests {
		t.Run(tt.name(), func(t *testing.T) {
			t.Parallel()
			u := explore(t, modelOptions{
				sends: 2, faults: 1, witnesses: 2, order: tt.order, faultKinds: tt.faultKinds, maxStates: 400_000,
			})
			t.Log(tt.name(), u)
			assert.DeepEqual(t, u.violationKinds(), []string(nil))
		})
	}
}

// With a third request, a single fault causes no violation either.
func TestSingleFaultAndTwoRepeats(t *testing.T) {
	u := explore(t, modelOptions{
		sends: 3, faults: 1, witnesses: 2, order: "abc", faultKinds: []string{"lose", "late", "crash"}, maxStates: 400_000,
	})
	t.Log(u)
	assert.DeepEqual(t, u.violationKinds(), []string(nil))
}

// Two faults violate the guarantee only if they end both processes that hold the
// record and the service has no third process.
func TestDoubleFault(t *testing.T) {
	tests := []struct {
		search
		depth int
		want  []string
	}{
		{search{"ac", allFaultKinds}, 0, []string{
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
				sends: 2, faults: 2, witnesses: 2, order: tt.order, faultKinds: tt.faultKinds, depth: tt.depth, maxStates: 400_000,
			})
			t.Log(tt.name(), u)
			assert.DeepEqual(t, u.violationKinds(), tt.want)
		})
	}
}

// A key that three processes hold is lost if all three crash.
func TestTripleCrash(t *testing.T) {
	u := explore(t, modelOptions{
		sends: 2, faults: 3, witnesses: 2, order: "abc", faultKinds: []string{"crash"}, maxStates: 400_000,
	})
	t.Log(u)
	assert.DeepEqual(t, u.violationKinds(), []string{"twice: crash_home + crash_witness + crash_witness"})
}

// Without witnesses, single faults and even planned changes make a key run twice.
func TestHomeOnly(t *testing.T) {
	u := explore(t, modelOptions{
		sends: 2, faults: 1, witnesses: -1, order: "jabc", faultKinds: allFaultKinds, maxStates: 400_000,
	})
	t.Log(u)
	assert.DeepEqual(t, u.violationKinds(), []string{
		"twice: crash_home", "twice: drain_home", "twice: join", "twice: out_dc1",
	})
}
