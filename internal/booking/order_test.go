package booking

import (
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Members are live sidecars of the service whose row and data centre are in. The
// other sidecars of the service are only asked for records.
func TestMembers(t *testing.T) {
	serves := []table.ServiceName{"crates"}
	v := &fleet.View{
		Table: &table.Table{
			DataCentres: map[table.DataCentreName]table.DataCentre{
				"naroda": {State: table.In}, "vatva": {State: table.Out},
			},
			Upstreams: map[table.UpstreamName]table.Upstream{
				"in": {Serves: serves, State: table.In}, "out": {Serves: serves, State: table.Out},
				"other": {Serves: []table.ServiceName{"trucks"}, State: table.In},
			},
		},
		VMs: fleet.VMList{VMs: []fleet.VM{
			{Name: "live", Role: fleet.Sidecar, DataCentre: "naroda", Upstream: "in", State: fleet.Live},
			{Name: "leaves", Role: fleet.Sidecar, DataCentre: "naroda", Upstream: "in", State: fleet.Leaving},
			{Name: "row_out", Role: fleet.Sidecar, DataCentre: "naroda", Upstream: "out", State: fleet.Live},
			{Name: "centre_out", Role: fleet.Sidecar, DataCentre: "vatva", Upstream: "in", State: fleet.Live},
			{Name: "other", Role: fleet.Sidecar, DataCentre: "naroda", Upstream: "other", State: fleet.Live},
			{Name: "entry", Role: fleet.Gateway, DataCentre: "naroda", State: fleet.Live},
		}},
	}
	members, out := Members(v, "crates")
	assert.Equal(t, len(members), 1)
	assert.Equal(t, members[0].Name, fleet.VMName("live"))
	assert.Equal(t, len(out), 3)
}
