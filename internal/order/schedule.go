package order

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/table"
)

// DefaultLoadsPerMinute is how many loads the whole fleet may start per minute by
// default.
const DefaultLoadsPerMinute = 60

// Schedule determines the time slots in which a sidecar may start a load from the
// weight store. Time is divided into slots, one for each load that the rate of
// the weight store allows. Slot k belongs to the sidecar whose Rank is
// k modulo Members.
type Schedule struct {
	Rank    int
	Members int
}

// ScheduleFor returns the schedule of a VM in a view. It returns false for a VM
// that sends no orders: it is not a live sidecar of the VM list, its row asks for
// no load, its data centre is out, or another VM of the list sends the orders.
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

// orderingVMs returns for each upstream the one VM that sends it orders. If the
// list has two VMs for an upstream, it is the one whose name sorts first, so that
// an engine that ignores fencing tokens still gets orders from one sidecar only.
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
		if other, found := chosen[row.Name]; !found || vm.Name < other {
			chosen[row.Name] = vm.Name
		}
	}
	return chosen
}

// compareHashes orders VMs by a hash of their names, so that the VMs of one data
// centre do not get adjacent slots.
func compareHashes(a, b fleet.VMName) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
}

// slot is the number of a time slot, counted from the Unix epoch. Its length is a
// minute divided by the loads per minute.
type slot int64

func slotAt(now time.Time, loadsPerMinute int) slot {
	return slot(now.UnixNano() / int64(time.Minute/time.Duration(loadsPerMinute)))
}

// owns reports whether a slot belongs to this schedule.
func (s Schedule) owns(k slot) bool {
	return s.Members > 0 && int64(k)%int64(s.Members) == int64(s.Rank)
}
