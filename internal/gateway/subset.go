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

// watchersWanted is how many gateways should speak to each sidecar. With fewer
// gateways than that, every gateway speaks to every sidecar.
const watchersWanted = 24

// service is what upstreams are grouped by.
type service struct {
	kind table.UpstreamKind
	name table.ServiceName
}

// subset gives the sidecars that a gateway speaks to: of each service as many
// as it takes for every sidecar to be spoken to by enough gateways, and no
// fewer than least. They are the first by rendezvous hashing and lie in all of
// the service's data centres alike, so that at full size neither side holds a
// connection to every other.
func subset(gateway fleet.VMName, v *fleet.View, least int) []dispatch.Member {
	gateways := 0
	groups := make(map[service]map[table.DataCentreName][]dispatch.Member)
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
			s := service{row.Kind, name}
			if groups[s] == nil {
				groups[s] = make(map[table.DataCentreName][]dispatch.Member)
			}
			groups[s][vm.DataCentre] = append(groups[s][vm.DataCentre], member(v.Table, vm, row))
		}
	}
	return choose(gateway, groups, max(gateways, 1), least)
}

func choose(gateway fleet.VMName, groups map[service]map[table.DataCentreName][]dispatch.Member, gateways, least int) []dispatch.Member {
	chosen := make(map[dispatch.Candidate]dispatch.Member)
	for s, dcs := range groups {
		total := 0
		for _, all := range dcs {
			total += len(all)
		}
		most := max(least, ceil(watchersWanted*total, gateways))
		for _, all := range dcs {
			for _, m := range nearest(gateway, all, ceil(most, len(dcs)), s.kind) {
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

func ceil(n, d int) int { return (n + d - 1) / d }

// nearest gives the first by rendezvous hashing. Plain services are few and a
// key's home may be any of them, so all of these are kept.
func nearest(gateway fleet.VMName, all []dispatch.Member, most int, kind table.UpstreamKind) []dispatch.Member {
	if kind == table.Plain || len(all) <= most {
		return all
	}
	rank := func(m dispatch.Member) uint64 {
		return xxhash.Sum64String(string(gateway) + "\x00" + string(m.Candidate.VM))
	}
	slices.SortFunc(all, func(a, b dispatch.Member) int { return cmp.Compare(rank(a), rank(b)) })
	return all[:most]
}

func member(t *table.Table, vm fleet.VM, row table.Upstream) dispatch.Member {
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
