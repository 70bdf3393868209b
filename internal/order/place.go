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

// Place is a sidecar's turn among those that load weights. Time is cut into
// slots, one for each load that the weight store bears; slot k is for the
// sidecar whose rank is k modulo the members.
type Place struct {
	Rank    int
	Members int
}

// PlaceIn gives the place of a VM in a view. It is false for a VM that gives no
// orders: not a live sidecar of the list, its row asks for no load or its data
// centre is out, or another VM of the list gives them.
func PlaceIn(v *fleet.View, self fleet.VMName) (Place, bool) {
	if v.Table == nil {
		return Place{}, false
	}
	givers := giversIn(v)
	var p Place
	mine := false
	for _, n := range givers {
		p.Members++
		mine = mine || n == self
		if compare(n, self) < 0 {
			p.Rank++
		}
	}
	if !mine {
		return Place{}, false
	}
	return p, true
}

// giversIn gives the one VM for each upstream that gives it orders. Of two in
// the list it is the one whose name is less, so that an engine which ignores
// fencing numbers still hears one voice.
func giversIn(v *fleet.View) map[table.UpstreamName]fleet.VMName {
	givers := make(map[table.UpstreamName]fleet.VMName)
	for _, vm := range v.VMs.VMs {
		if vm.Role != fleet.Sidecar || vm.State != fleet.Live {
			continue
		}
		row, ok := v.Table.Upstreams[vm.Upstream]
		if !ok || row.Load == "" || v.Table.DataCentres[row.DataCentre].State == table.Out {
			continue
		}
		if other, held := givers[row.Name]; !held || vm.Name < other {
			givers[row.Name] = vm.Name
		}
	}
	return givers
}

// compare orders VMs by a hash of their names, so that the slots of one data
// centre do not lie side by side.
func compare(a, b fleet.VMName) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
}

// slot numbers the slots of the fleet's clock.
type slot int64

func slotAt(now time.Time, loadsPerMinute int) slot {
	return slot(now.UnixNano() / int64(time.Minute/time.Duration(loadsPerMinute)))
}

// owns says whether a slot is this place's.
func (p Place) owns(k slot) bool {
	return p.Members > 0 && int64(k)%int64(p.Members) == int64(p.Rank)
}
