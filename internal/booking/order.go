package booking

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Members returns the VMs of the view that accept work for a plain service: live
// sidecars whose upstream and data centre are in. The second result holds the
// other sidecars of the service, which are leaving or were taken out. Both
// results are nil for a view without a table.
func Members(v *fleet.View, s table.ServiceName) (members, out []fleet.VM) {
	if v == nil || v.Table == nil {
		return nil, nil
	}
	for _, vm := range v.VMs.VMs {
		u, ok := v.Table.Upstreams[vm.Upstream]
		if vm.Role != fleet.Sidecar || !ok || !slices.Contains(u.Serves, s) {
			continue
		}
		dc := v.Table.DataCentres[vm.DataCentre]
		if vm.State == fleet.Live && u.State != table.Out && dc.State != table.Out {
			members = append(members, vm)
		} else {
			out = append(out, vm)
		}
	}
	return members, out
}

// Order returns the VMs in the rendezvous order of the key. The first VM is the
// home. Order does not modify vms.
func Order(k Key, vms []fleet.VM) []fleet.VM {
	type ranked struct {
		score uint64
		vm    fleet.VM
	}
	rs := make([]ranked, 0, len(vms))
	for _, vm := range vms {
		rs = append(rs, ranked{score(k, vm.Name), vm})
	}
	slices.SortFunc(rs, func(a, b ranked) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.vm.Name, b.vm.Name)
	})
	out := make([]fleet.VM, 0, len(rs))
	for _, r := range rs {
		out = append(out, r.vm)
	}
	return out
}

// score hashes the VM, account and key, each followed by a separator that cannot
// occur in names.
func score(k Key, vm fleet.VMName) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range [...]string{string(vm), string(k.Account), k.Text} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// witnesses returns the VMs other than self in the order in which they are asked
// to be witnesses: the first VM of another data centre, then the others in the
// rendezvous order of the key.
func witnesses(k Key, self fleet.VM, vms []fleet.VM) []fleet.VM {
	order := Order(k, vms)
	order = slices.DeleteFunc(order, func(vm fleet.VM) bool { return vm.Name == self.Name })
	remote := slices.IndexFunc(order, func(vm fleet.VM) bool { return vm.DataCentre != self.DataCentre })
	if remote <= 0 {
		return order
	}
	first := order[remote]
	copy(order[1:remote+1], order[:remote])
	order[0] = first
	return order
}
