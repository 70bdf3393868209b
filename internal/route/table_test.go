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
	r := Route{Priority: 2}
	priority := Priority(1)
	assert.Equal(t, r.PriorityFor(&Account{Priority: &priority}), Priority(1))
	assert.Equal(t, r.PriorityFor(&Account{}), Priority(2))
	assert.Equal(t, r.PriorityFor(nil), Priority(2))
}
