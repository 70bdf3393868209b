package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/table"
)

// largeView returns a view of a fleet with replicas of several models in eight
// data centres.
func largeView(gateways, replicas, models int) *fleet.View {
	t := &table.Table{
		DataCentres: make(map[table.DataCentreName]table.DataCentre),
		Upstreams:   make(map[table.UpstreamName]table.Upstream),
	}
	v := &fleet.View{Table: t, Ready: true}
	dc := func(n int) table.DataCentreName { return table.DataCentreName(fmt.Sprintf("dc_%d", n%8)) }
	for n := range 8 {
		t.DataCentres[dc(n)] = table.DataCentre{Name: dc(n), State: table.In}
	}
	for n := range gateways {
		v.VMs.VMs = append(v.VMs.VMs, fleet.VM{Name: fleet.VMName(fmt.Sprintf("gw_%d", n)), Role: fleet.Gateway, DataCentre: dc(n)})
	}
	for n := range replicas {
		name := table.UpstreamName(fmt.Sprintf("up_%d", n))
		t.Upstreams[name] = table.Upstream{
			Name: name, DataCentre: dc(n), Kind: table.Engine, Limit: 16, ColdLimit: 1, Weight: 1, State: table.In,
			Serves: []table.ServiceName{table.ServiceName(fmt.Sprintf("model_%d", n/8%models))},
		}
		v.VMs.VMs = append(v.VMs.VMs, fleet.VM{
			Name: fleet.VMName("vm_" + string(name)), Role: fleet.Sidecar, DataCentre: dc(n), Upstream: name,
			Address: fleet.Address(fmt.Sprintf("10.0.%d.%d:7000", n/250, n%250)), State: fleet.Live,
		})
	}
	return v
}

// In a small fleet every gateway connects to every sidecar. In a fleet of the
// size that the design targets each gateway connects to few sidecars, and every
// sidecar is still reached by enough gateways.
func TestSubset(t *testing.T) {
	tests := []struct {
		name                       string
		gateways, replicas, models int
		maxMembers, minWatchers    int
		maxWatchers                int
	}{
		{"small fleet", 3, 12, 1, 12, 3, 3},
		{"design size", 350, 1100, 10, 96, 8, 60},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := largeView(tt.gateways, tt.replicas, tt.models)
			watchers := make(map[dispatch.Candidate]int)
			for _, vm := range v.VMs.VMs[:tt.gateways] {
				members := subset(vm.Name, v, 8)
				assert.Assert(t, len(members) <= tt.maxMembers, "%s has %d members", vm.Name, len(members))
				for _, m := range members {
					watchers[m.Candidate]++
				}
			}
			assert.Equal(t, len(watchers), tt.replicas)
			for c, n := range watchers {
				assert.Assert(t, n >= tt.minWatchers && n <= tt.maxWatchers, "%s has %d watchers", c.VM, n)
			}
		})
	}
}
