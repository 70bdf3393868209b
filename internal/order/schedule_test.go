package order

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// simulation runs the cores of many sidecars that all want to load at the same
// time. The view of each one lists the first VMs, up to some number.
type simulation struct {
	t     *testing.T
	rate  int
	cores []*Core
	// loadsBySlot counts the loads that start in each slot.
	loadsBySlot map[slot]int
	loads       int
}

func viewOf(n int) *fleet.View {
	v := &fleet.View{Table: &table.Table{
		UpstreamsRevision: 3,
		DataCentres:       map[table.DataCentreName]table.DataCentre{"north": {Name: "north", State: table.In}},
		Upstreams:         make(map[table.UpstreamName]table.Upstream),
	}}
	for i := range n {
		u := table.UpstreamName(fmt.Sprint("draft_", i))
		v.Table.Upstreams[u] = table.Upstream{Name: u, DataCentre: "north", Kind: table.Engine, Load: "draft@v2", State: table.In}
		v.VMs.VMs = append(v.VMs.VMs, fleet.VM{Name: vmName(i), Role: fleet.Sidecar, Upstream: u, State: fleet.Live})
	}
	return v
}

func vmName(i int) fleet.VMName { return fleet.VMName(fmt.Sprint("vm_", i)) }

// configure sends a view to the sidecars with numbers in [from, to), and creates
// those that don't exist yet.
func (s *simulation) configure(now time.Time, from, to int, v *fleet.View) {
	for i := from; i < to; i++ {
		if i == len(s.cores) {
			s.cores = append(s.cores, &Core{LoadsPerMinute: s.rate})
			s.handle(now, i, HealthChecked{Reached: true, Instance: "e-0"})
		}
		schedule, listed := ScheduleFor(v, vmName(i))
		s.handle(now, i, Configured{Wanted: "draft@v2", Fencing: 3, OnHold: !listed, Schedule: schedule})
	}
}

func (s *simulation) handle(now time.Time, i int, m Message) {
	for _, e := range s.cores[i].Handle(now, m) {
		if _, ok := e.(SendOrder); ok {
			s.loadsBySlot[slotAt(now, s.rate)]++
			s.loads++
			s.handle(now, i, Ended{result.OK})
		}
	}
}

// run advances the time and checks that no minute, even one that begins between
// two slots, has more than most loads.
func (s *simulation) run(now time.Time, d time.Duration, most int) time.Time {
	s.t.Helper()
	step := time.Minute / time.Duration(2*s.rate)
	var recent []int
	for end := now.Add(d); now.Before(end); now = now.Add(step) {
		before := s.loads
		for i := range s.cores {
			s.handle(now, i, Ticked{})
		}
		recent = append(recent, s.loads-before)
		sum := 0
		for _, n := range recent[max(0, len(recent)-2*s.rate):] {
			sum += n
		}
		assert.Assert(s.t, sum <= most, "%d loads in a minute, at most %d allowed", sum, most)
	}
	return now
}

// 1,100 sidecars want to load at the same time, and 100 more join meanwhile. Every
// minute must keep to the rate, and every sidecar must get a slot within the time
// that the rate allows for all of them.
func TestLoadRate(t *testing.T) {
	const rate, many, more = 60, 1100, 100
	s := &simulation{t: t, rate: rate, loadsBySlot: make(map[slot]int)}
	now := sessionStart
	s.configure(now, 0, many, viewOf(many))
	now = s.run(now, 3*time.Minute, rate)
	assert.Equal(t, s.loads, 3*rate)
	for n := many; n < many+more; n += 25 {
		s.configure(now, 0, n+25, viewOf(n+25))
		now = s.run(now, 5*time.Second, rate)
	}
	s.run(now, (many+more)*time.Minute/rate, rate)
	assert.Equal(t, s.loads, many+more)
	for k, n := range s.loadsBySlot {
		assert.Equal(t, n, 1, "slot %d", k)
	}
}

// While sidecars hold different VM lists, each list has the full rate, so two
// lists allow up to twice the rate.
func TestLoadRateWithTwoLists(t *testing.T) {
	const rate, many = 60, 1100
	s := &simulation{t: t, rate: rate, loadsBySlot: make(map[slot]int)}
	now := sessionStart
	s.configure(now, 0, many/2, viewOf(many))
	s.configure(now, many/2, many, viewOf(many+1))
	now = s.run(now, 5*time.Minute, 2*rate)
	s.configure(now, 0, many+1, viewOf(many+1))
	s.run(now, (many+1)*time.Minute/rate, rate)
	assert.Equal(t, s.loads, many+1)
}

// At most one sidecar sends orders to an engine, also while a VM is replaced.
func TestScheduleFor(t *testing.T) {
	tests := []struct {
		name string
		edit func(v *fleet.View)
		want bool
	}{
		{"live", func(*fleet.View) {}, true},
		{"leaving", func(v *fleet.View) { v.VMs.VMs[1].State = fleet.Leaving }, false},
		{"not listed", func(v *fleet.View) { v.VMs.VMs = v.VMs.VMs[:1] }, false},
		{"second of two", func(v *fleet.View) { v.VMs.VMs[2].Name, v.VMs.VMs[2].Upstream = "vm_0b", "draft_1" }, false},
		{"first of two", func(v *fleet.View) { v.VMs.VMs[2].Upstream = "draft_1" }, true},
		{"no load", func(v *fleet.View) { v.Table.Upstreams["draft_1"] = table.Upstream{Name: "draft_1"} }, false},
		{"data centre out", func(v *fleet.View) { v.Table.DataCentres["north"] = table.DataCentre{State: table.Out} }, false},
		{"upstream out", func(v *fleet.View) {
			u := v.Table.Upstreams["draft_1"]
			u.State = table.Out
			v.Table.Upstreams["draft_1"] = u
		}, true},
		{"no table", func(v *fleet.View) { v.Table = nil }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			v := viewOf(3)
			tt.edit(v)
			_, ok := ScheduleFor(v, vmName(1))
			assert.Equal(t, ok, tt.want)
		})
	}
}
