package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// gatewaysPerSidecar is the target number of gateways that connect to each
// sidecar. With fewer gateways than that, every gateway connects to every
// sidecar.
const gatewaysPerSidecar = 24

// serviceKey is the key by which upstreams are grouped.
type serviceKey struct {
	kind table.UpstreamKind
	name table.ServiceName
}

// subset returns the sidecars to which a gateway connects. For each service it
// returns enough sidecars for every sidecar to be reached by about
// gatewaysPerSidecar gateways, and at least minimum. They are chosen by
// rendezvous hashing, evenly over the data centres of the service, so that in a
// large fleet neither gateways nor sidecars hold a connection to every process
// of the other role.
func subset(gateway fleet.VMName, v *fleet.View, minimum int) []dispatch.Member {
	gateways := 0
	groups := make(map[serviceKey]map[table.DataCentreName][]dispatch.Member)
	for _, vm := range v.VMs.VMs {
		if vm.Role == fleet.Gateway {
			gateways++
			continue
		}
		row, ok := v.Table.Upstreams[vm.Upstream]
		if !ok {
			continue
		}
		for _, name := range row.Serves {
			s := serviceKey{row.Kind, name}
			if groups[s] == nil {
				groups[s] = make(map[table.DataCentreName][]dispatch.Member)
			}
			groups[s][vm.DataCentre] = append(groups[s][vm.DataCentre], newMember(v.Table, vm, row))
		}
	}
	return chooseMembers(gateway, groups, max(gateways, 1), minimum)
}

func chooseMembers(gateway fleet.VMName, groups map[serviceKey]map[table.DataCentreName][]dispatch.Member, gateways, minimum int) []dispatch.Member {
	chosen := make(map[dispatch.Candidate]dispatch.Member)
	for s, dcs := range groups {
		total := 0
		for _, all := range dcs {
			total += len(all)
		}
		wanted := max(minimum, ceilDiv(gatewaysPerSidecar*total, gateways))
		for _, all := range dcs {
			for _, m := range rendezvousSubset(gateway, all, ceilDiv(wanted, len(dcs)), s.kind) {
				chosen[m.Candidate] = m
			}
		}
	}
	members := make([]dispatch.Member, 0, len(chosen))
	for _, m := range chosen {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b dispatch.Member) int { return cmp.Compare(a.Candidate.VM, b.Candidate.VM) })
	return members
}

func ceilDiv(n, d int) int { return (n + d - 1) / d }

// rendezvousSubset returns the first count members by rendezvous hashing. For
// plain services it returns all members, because these are few and any of them
// may be the home of an idempotency key.
func rendezvousSubset(gateway fleet.VMName, all []dispatch.Member, count int, kind table.UpstreamKind) []dispatch.Member {
	if kind == table.Plain || len(all) <= count {
		return all
	}
	rank := func(m dispatch.Member) uint64 {
		return xxhash.Sum64String(string(gateway) + "\x00" + string(m.Candidate.VM))
	}
	slices.SortFunc(all, func(a, b dispatch.Member) int { return cmp.Compare(rank(a), rank(b)) })
	return all[:count]
}

func newMember(t *table.Table, vm fleet.VM, row table.Upstream) dispatch.Member {
	out := t.RefusalCode(row)
	if out == result.OK && vm.State == fleet.Leaving {
		out = result.UpstreamLeaving
	}
	return dispatch.Member{
		Candidate:  dispatch.Candidate{VM: vm.Name, Upstream: vm.Upstream, Address: vm.Address},
		Row:        row,
		DataCentre: vm.DataCentre,
		OutCode:    out,
	}
}
