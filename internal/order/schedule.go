package order

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/table"
)

// DefaultLoadsPerMinute is how many loads the whole fleet may begin in a minute.
const DefaultLoadsPerMinute = 60

// Schedule is a sidecar's turn among those that load weights. Time is cut into
// slots, one for each load that the weight store bears; slot k is for the
// sidecar whose rank is k modulo the members.
type Schedule struct {
	Rank    int
	Members int
}

// ScheduleFor gives the place of a VM in a view. It is false for a VM that gives no
// orders: not a live sidecar of the list, its row asks for no load or its data
// centre is out, or another VM of the list gives them.
func ScheduleFor(v *fleet.View, self fleet.VMName) (Schedule, bool) {
	if v.Table == nil {
		return Schedule{}, false
	}
	vms := orderingVMs(v)
	var s Schedule
	ordering := false
	for _, n := range vms {
		s.Members++
		ordering = ordering || n == self
		if compareHashes(n, self) < 0 {
			s.Rank++
		}
	}
	if !ordering {
		return Schedule{}, false
	}
	return s, true
}

// orderingVMs gives the one VM for each upstream that gives it orders. Of two in
// the list it is the one whose name is less, so that an engine which ignores
// fencing numbers still hears one voice.
func orderingVMs(v *fleet.View) map[table.UpstreamName]fleet.VMName {
	chosen := make(map[table.UpstreamName]fleet.VMName)
	for _, vm := range v.VMs.VMs {
		if vm.Role != fleet.Sidecar || vm.State != fleet.Live {
			continue
		}
		row, ok := v.Table.Upstreams[vm.Upstream]
		if !ok || row.Load == "" || v.Table.DataCentres[row.DataCentre].State == table.Out {
			continue
		}
		if other, held := chosen[row.Name]; !held || vm.Name < other {
			chosen[row.Name] = vm.Name
		}
	}
	return chosen
}

// compareHashes orders VMs by a hash of their names, so that the slots of one data
// centre do not lie side by side.
func compareHashes(a, b fleet.VMName) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
}

// slot numbers the slots of the fleet's clock.
type slot int64

func slotAt(now time.Time, loadsPerMinute int) slot {
	return slot(now.UnixNano() / int64(time.Minute/time.Duration(loadsPerMinute)))
}

// owns says whether a slot is this place's.
func (p Schedule) owns(k slot) bool {
	return p.Members > 0 && int64(k)%int64(p.Members) == int64(p.Rank)
}
