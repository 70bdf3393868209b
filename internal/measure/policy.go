package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Policy determines how a gateway chooses the upstream of a request.
type Policy struct {
	Name string
	// WidenAfter and MaxOpen are the fields of dispatch.Attempts of these names;
	// zero for its defaults.
	WidenAfter time.Duration
	MaxOpen    int
	// newChooser creates the chooser of one gateway. Requests are then pushed to
	// the chosen upstream at once. It is nil for late binding, where a request is
	// offered to sidecars and its body is sent to the first that grants it.
	newChooser func(random *rand.Rand) chooser
}

// chooser chooses one of the members that accept work. There is at least one
// member.
type chooser interface {
	choose(members []dispatch.Member) dispatch.Member
}

// Policies that are compared.
var (
	RoundRobin  = Policy{Name: "round robin", newChooser: func(*rand.Rand) chooser { return &roundRobin{} }}
	TwoChoices  = Policy{Name: "two choices", newChooser: func(r *rand.Rand) chooser { return &twoChoices{r} }}
	LateBinding = Policy{Name: "late binding"}
)

// Policies returns all policies in the order of the report.
func Policies() []Policy { return []Policy{RoundRobin, TwoChoices, LateBinding} }

func (p Policy) pushes() bool { return p.newChooser != nil }

// roundRobin implements smooth weighted round robin: every choice credits each
// member with its weight, selects the member with the most credit and debits it
// by the sum of all weights.
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

// creditIndex returns the index in credits of an upstream's entry, creating it if
// necessary.
func (r *roundRobin) creditIndex(name table.UpstreamName) int {
	i := slices.IndexFunc(r.credits, func(c credit) bool { return c.upstream == name })
	if i < 0 {
		i = len(r.credits)
		r.credits = append(r.credits, credit{upstream: name})
	}
	return i
}

// twoChoices implements the power of two choices: it draws two upstreams and
// selects the one that reported less load.
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

// loadRatio returns the reported load divided by the upstream's limit.
func loadRatio(m dispatch.Member) float64 {
	return float64(m.Report.InFlight+m.Report.Parked) / float64(max(m.Row.Limit, 1))
}

// eligible returns the members that serve the service, accept work and are not
// in tried. It modifies members.
func eligible(now time.Time, members []dispatch.Member, kind table.UpstreamKind, s table.ServiceName, tried map[dispatch.Candidate]bool) []dispatch.Member {
	return slices.DeleteFunc(members, func(m dispatch.Member) bool {
		return tried[m.Candidate] || m.Row.Kind != kind || !slices.Contains(m.Row.Serves, s) || m.RefusalCode(now) != result.OK
	})
}
