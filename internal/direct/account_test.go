package direct

import (
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/memory"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/wire"
)

// Placement must know the client account, or requests of all accounts would share one turn.
// Callers of public routes may have none.
func TestPlacementKnowsAccount(t *testing.T) {
	tests := []struct {
		name    string
		account *route.Account
		want    route.AccountName
	}{
		{"account", &route.Account{Name: "market"}, "market"},
		{"no account", nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := &Call{route: &route.Route{}, account: tt.account, identity: &wire.Offer{}}
			p := &proxiedRequest{call: c, body: &memory.Buffer{}}
			assert.Equal(t, p.placementRequest().Account, tt.want)
		})
	}
}
