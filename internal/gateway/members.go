package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// watchRetry is the wait before a lost watch of a sidecar is begun anew.
const watchRetry = 200 * time.Millisecond

// members is the task that keeps the pool in step with the view and watches
// the reports of its sidecars.
type members struct {
	gateway *Gateway
	watches map[dispatch.Candidate]context.CancelFunc
}

// Run works until ctx ends.
func (m *members) Run(ctx context.Context) error {
	m.watches = make(map[dispatch.Candidate]context.CancelFunc)
	changed := m.gateway.Fleet.Changed()
	var outBefore map[table.DataCentreName]bool
	for {
		v := m.gateway.Fleet.View()
		if v.Table != nil {
			m.follow(ctx, v)
			outBefore = m.logDataCentres(v.Table, outBefore)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (m *members) follow(ctx context.Context, v *fleet.View) {
	chosen := subset(m.gateway.Name, v, m.gateway.Subset)
	m.gateway.pool.Set(chosen)
	wanted := make(map[dispatch.Candidate]bool, len(chosen))
	for _, c := range chosen {
		wanted[c.Candidate] = true
		if m.watches[c.Candidate] == nil {
			watching, cancel := context.WithCancel(ctx)
			m.watches[c.Candidate] = cancel
			go m.watch(watching, c.Candidate)
		}
	}
	for c, cancel := range m.watches {
		if !wanted[c] {
			cancel()
			delete(m.watches, c)
		}
	}
}

func (m *members) logDataCentres(t *table.Table, before map[table.DataCentreName]bool) map[table.DataCentreName]bool {
	now := make(map[table.DataCentreName]bool)
	for name, dc := range t.DataCentres {
		now[name] = dc.State == table.Out
		if before == nil || before[name] == now[name] {
			continue
		}
		n := event.DataCentreIn
		if now[name] {
			n = event.DataCentreOut
		}
		m.gateway.Log.Write(n, "data_centre", name, "revision", t.Revision)
	}
	return now
}

// watch takes the reports of one sidecar until ctx ends.
func (m *members) watch(ctx context.Context, c dispatch.Candidate) {
	for ctx.Err() == nil {
		m.watchOnce(ctx, c)
		pause := time.NewTimer(watchRetry)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
		}
	}
}

func (m *members) watchOnce(ctx context.Context, c dispatch.Candidate) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v := m.gateway.Fleet.View()
	client := wire.NewDRPCWorkClient(m.gateway.Dialer.To(string(c.Address)))
	stream, err := client.Watch(ctx, &wire.WatchRequest{
		Gateway:       string(m.gateway.Name),
		TableRevision: uint64(v.Table.Revision),
		VmListVersion: uint64(v.VMs.Version),
	})
	if err != nil {
		return
	}
	silence := time.AfterFunc(dispatch.SilentAfter, cancel)
	defer silence.Stop()
	for {
		r, err := stream.Recv()
		if err != nil {
			return
		}
		silence.Reset(dispatch.SilentAfter)
		m.hear(c, r)
	}
}

func (m *members) hear(c dispatch.Candidate, r *wire.Report) {
	m.gateway.pool.Hear(time.Now(), c, dispatch.Report{
		Refusing:    result.Code(r.RefusingCode),
		Limit:       int(r.Limit),
		InFlight:    int(r.InFlight),
		Parked:      int(r.Parked),
		Cold:        r.Cold,
		Incarnation: fleet.Incarnation(r.Incarnation),
	})
	m.gateway.Fleet.Behind(table.Revision(r.TableRevision), fleet.ListVersion(r.VmListVersion), c.Address)
}

// subset gives the sidecars that a gateway speaks to: for each service and
// data centre the first by rendezvous hashing, so that at full size neither
// side holds a connection to every other.
func subset(gateway fleet.VMName, v *fleet.View, most int) []dispatch.Member {
	type group struct {
		kind    table.UpstreamKind
		service table.ServiceName
		dc      table.DataCentreName
	}
	groups := make(map[group][]dispatch.Member)
	perService := make(map[table.ServiceName]map[table.DataCentreName]bool)
	for _, vm := range v.VMs.VMs {
		row, ok := v.Table.Upstreams[vm.Upstream]
		if !ok || vm.Role != fleet.Sidecar {
			continue
		}
		for _, s := range row.Serves {
			if perService[s] == nil {
				perService[s] = make(map[table.DataCentreName]bool)
			}
			perService[s][vm.DataCentre] = true
			k := group{row.Kind, s, vm.DataCentre}
			groups[k] = append(groups[k], member(v.Table, vm, row))
		}
	}
	chosen := make(map[dispatch.Candidate]dispatch.Member)
	for k, all := range groups {
		share := (most + len(perService[k.service]) - 1) / len(perService[k.service])
		for _, m := range nearest(gateway, all, share, k.kind) {
			chosen[m.Candidate] = m
		}
	}
	members := make([]dispatch.Member, 0, len(chosen))
	for _, m := range chosen {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b dispatch.Member) int { return cmp.Compare(a.Candidate.VM, b.Candidate.VM) })
	return members
}

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
	out := t.WhyOut(row)
	if out == result.OK && vm.State == fleet.Leaving {
		out = result.UpstreamLeaving
	}
	return dispatch.Member{
		Candidate:  dispatch.Candidate{VM: vm.Name, Upstream: vm.Upstream, Address: vm.Address},
		Row:        row,
		DataCentre: vm.DataCentre,
		Out:        out,
	}
}
