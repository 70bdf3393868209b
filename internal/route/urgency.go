package route

import (
	"cmp"
	"slices"
)

// MaxRank is the rank of the least urgent requests. Engines accept priorities from
// 0 to 9.
const MaxRank Rank = 9

// urgency orders requests. The first priority is that of the client account, or of
// the route if the account has none; the second is that of the route.
//
// Without the second, all kinds of request of accounts with the same priority would
// be equally urgent: a short question would wait behind a long draft.
type urgency struct{ first, second Priority }

func (u urgency) compare(v urgency) int {
	return cmp.Or(cmp.Compare(u.first, v.first), cmp.Compare(u.second, v.second))
}

// urgencyOf returns the urgency of an account's requests on a route. The account may
// be nil.
func urgencyOf(r *Route, a *Account) urgency {
	if a != nil && a.Priority != nil {
		return urgency{*a.Priority, r.Priority}
	}
	return urgency{r.Priority, r.Priority}
}

// collectUrgencies returns the urgencies that occur in the table, in order.
func (t *Table) collectUrgencies() []urgency {
	priorities := map[Priority]bool{}
	unset := len(t.Accounts) == 0
	for i := range t.Accounts {
		if p := t.Accounts[i].Priority; p != nil {
			priorities[*p] = true
		} else {
			unset = true
		}
	}
	found := map[urgency]bool{}
	for i := range t.Routes {
		r := &t.Routes[i]
		for p := range priorities {
			found[urgency{p, r.Priority}] = true
		}
		if unset || r.Public {
			found[urgencyOf(r, nil)] = true
		}
	}
	var out []urgency
	for u := range found {
		out = append(out, u)
	}
	slices.SortFunc(out, urgency.compare)
	return out
}

// RankFor returns the rank of an account's requests on a route, from 0 for the most
// urgent to MaxRank. The account may be nil. If the table has more urgencies than
// ranks, neighbours share a rank.
func (t *Table) RankFor(r *Route, a *Account) Rank {
	n, _ := slices.BinarySearchFunc(t.urgencies, urgencyOf(r, a), urgency.compare)
	if len(t.urgencies) > int(MaxRank)+1 {
		n = n * (int(MaxRank) + 1) / len(t.urgencies)
	}
	return min(Rank(n), MaxRank)
}

// LowestRank returns the rank of the least urgent requests of the table.
func (t *Table) LowestRank() Rank {
	return min(Rank(max(len(t.urgencies)-1, 0)), MaxRank)
}
