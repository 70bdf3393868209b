package route

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMatch(t *testing.T) {
	table := &Table{Routes: []Route{
		{Name: "short", Host: "maps.example", Prefix: "/a/"},
		{Name: "long", Host: "Maps.example", Prefix: "/a/b/"},
		{Name: "other", Host: "crates.example", Prefix: "/a/"},
	}}
	table.Index()
	tests := []struct{ host, path, want string }{
		{"maps.example", "/a/x", "short"},
		{"maps.example:80", "/a/b/x", "long"},
		{"MAPS.example", "/a/bb/x", "short"},
		{"crates.example", "/a/b/x", "other"},
		{"maps.example", "/a", ""},
		{"else.example", "/a/x", ""},
	}
	for _, tt := range tests {
		got := ""
		if r, ok := table.Match(tt.host, tt.path); ok {
			got = r.Name
		}
		assert.Equal(t, got, tt.want, "%s%s", tt.host, tt.path)
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	r := Route{TrafficSplit: []WeightedService{{"a", 90}, {"b", 10}}}
	counts := map[ServiceName]int{}
	for n := range uint64(1000) {
		counts[r.PickService(n)]++
	}
	assert.DeepEqual(t, counts, map[ServiceName]int{"a": 900, "b": 100})
}

func TestAccountPriorityTakesPrecedence(t *testing.T) {
	first, second := Priority(0), Priority(1)
	table := &Table{
		Routes:   []Route{{Name: "questions", Priority: 0}, {Name: "drafts", Priority: 2}},
		Accounts: []Account{{Name: "urgent", Priority: &first}, {Name: "usual", Priority: &second}, {Name: "unset"}},
	}
	table.Index()
	question, draft := &table.Routes[0], &table.Routes[1]
	urgent, usual, unset := &table.Accounts[0], &table.Accounts[1], &table.Accounts[2]
	assert.Equal(t, table.RankFor(question, urgent), Rank(0))
	assert.Equal(t, table.RankFor(question, unset), Rank(0), "without an account's priority the route's counts")
	assert.Equal(t, table.RankFor(question, nil), table.RankFor(question, unset), "a caller without an account")
	assert.Equal(t, table.RankFor(draft, nil), table.RankFor(draft, unset), "a caller without an account")
	assert.Assert(t, table.RankFor(draft, urgent) < table.RankFor(question, usual), "the account's priority goes first")
	assert.Assert(t, table.RankFor(draft, usual) < table.RankFor(draft, unset), "the route's priority is compared to the account's")
	assert.Equal(t, table.RankFor(draft, unset), table.LowestRank())
}

// Accounts with the same priority must not make all kinds of request equally urgent:
// engines would process a short question behind long drafts, and preempt it for them.
func TestRoutesOrderRequestsOfEqualAccounts(t *testing.T) {
	same := Priority(1)
	table := &Table{
		Routes:   []Route{{Name: "questions", Priority: 0}, {Name: "notices", Priority: 1}, {Name: "drafts", Priority: 2}},
		Accounts: []Account{{Name: "one", Priority: &same}, {Name: "other", Priority: &same}},
	}
	table.Index()
	for i := range table.Routes {
		for j := range table.Accounts {
			assert.Equal(t, table.RankFor(&table.Routes[i], &table.Accounts[j]), Rank(i))
		}
	}
	assert.Equal(t, table.LowestRank(), Rank(2))
}

func TestManyUrgenciesKeepTheirOrder(t *testing.T) {
	table := &Table{}
	for p := range Priority(5) {
		table.Routes = append(table.Routes, Route{Priority: p})
		table.Accounts = append(table.Accounts, Account{Priority: &p})
	}
	table.Index()
	last := Rank(0)
	for j := range table.Accounts {
		for i := range table.Routes {
			rank := table.RankFor(&table.Routes[i], &table.Accounts[j])
			assert.Assert(t, rank >= last && rank <= MaxRank, "rank %d after %d", rank, last)
			last = rank
		}
	}
	assert.Equal(t, last, MaxRank)
	assert.Equal(t, table.LowestRank(), MaxRank)
}
