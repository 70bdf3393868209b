package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Policy is a way to choose the upstream of a request.
type Policy struct {
	Name string
	// WidenAfter and MaxOpen are those of dispatch.Attempts; zero for its defaults.
	WidenAfter time.Duration
	MaxOpen    int
	// choose makes the choice of one gateway; nil for late binding: offers to
	// sidecars, and the body to the first that grants it. With a choice the body
	// is pushed to its upstream at once.
	newChooser func(random *rand.Rand) chooser
}

// chooser picks one of the members that take work; there is at least one.
type chooser interface {
	choose(members []dispatch.Member) dispatch.Member
}

// The policies that are compared.
var (
	RoundRobin  = Policy{Name: "round robin", newChooser: func(*rand.Rand) chooser { return &roundRobin{} }}
	TwoChoices  = Policy{Name: "two choices", newChooser: func(r *rand.Rand) chooser { return &twoChoices{r} }}
	LateBinding = Policy{Name: "late binding"}
)

// Policies gives all policies in the order of the table.
func Policies() []Policy { return []Policy{RoundRobin, TwoChoices, LateBinding} }

func (p Policy) pushes() bool { return p.newChooser != nil }

// roundRobin takes upstreams in turn, by weight: the one that is owed most goes
// next and pays the sum of all weights.
type roundRobin struct {
	credits []credit
}

type credit struct {
	upstream table.UpstreamName
	amount   float64
}

func (r *roundRobin) choose(members []dispatch.Member) dispatch.Member {
	sum := 0.0
	best := -1
	var chosen dispatch.Member
	for _, m := range members {
		i := r.creditIndex(m.Row.Name)
		r.credits[i].amount += float64(m.Row.Weight)
		sum += float64(m.Row.Weight)
		if best < 0 || r.credits[i].amount > r.credits[best].amount {
			best, chosen = i, m
		}
	}
	r.credits[best].amount -= sum
	return chosen
}

// debt gives the place of an upstream.
func (r *roundRobin) creditIndex(name table.UpstreamName) int {
	i := slices.IndexFunc(r.credits, func(c credit) bool { return c.upstream == name })
	if i < 0 {
		i = len(r.credits)
		r.credits = append(r.credits, credit{upstream: name})
	}
	return i
}

// twoChoices draws two upstreams and takes the one that reported less load.
type twoChoices struct {
	random *rand.Rand
}

func (t *twoChoices) choose(members []dispatch.Member) dispatch.Member {
	first := t.random.IntN(len(members))
	if len(members) == 1 {
		return members[first]
	}
	second := t.random.IntN(len(members) - 1)
	if second >= first {
		second++
	}
	if loadRatio(members[second]) < loadRatio(members[first]) {
		return members[second]
	}
	return members[first]
}

// fill is the reported load over the row's limit.
func loadRatio(m dispatch.Member) float64 {
	return float64(m.Report.InFlight+m.Report.Parked) / float64(max(m.Row.Limit, 1))
}

// taking keeps the members that serve what is asked and take work.
func eligible(now time.Time, members []dispatch.Member, kind table.UpstreamKind, s table.ServiceName, tried map[dispatch.Candidate]bool) []dispatch.Member {
	return slices.DeleteFunc(members, func(m dispatch.Member) bool {
		return tried[m.Candidate] || m.Row.Kind != kind || !slices.Contains(m.Row.Serves, s) || m.RefusalCode(now) != result.OK
	})
}
