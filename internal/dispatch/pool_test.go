package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const model table.ServiceName = "draft"

// sidecarState is a sidecar as a test's pool sees it.
type sidecarState struct {
	name   string
	weight table.Weight
	report Report
	// age is how long ago the report came; offered counts own offers since.
	age        time.Duration
	offered    int
	out        result.Code
	unreported bool
	kind       table.UpstreamKind
}

func candidateNamed(name string) Candidate { return Candidate{VM: fleet.VMName(name)} }

// newTestPool gives a pool that was told of these sidecars, as it stands at now.
func newTestPool(now time.Time, all ...sidecarState) *Pool {
	p := &Pool{Seed: 7}
	members := make([]Member, 0, len(all))
	for _, s := range all {
		if s.kind == "" {
			s.kind = table.Engine
		}
		members = append(members, Member{
			Candidate: candidateNamed(s.name), OutCode: s.out,
			Row: table.Upstream{Kind: s.kind, Serves: []table.ServiceName{model}, Weight: max(s.weight, 1)},
		})
	}
	p.Set(members)
	for _, s := range all {
		if !s.unreported {
			p.SetReport(now.Add(-s.age), candidateNamed(s.name), s.report)
		}
		for range s.offered {
			p.AddOffer(candidateNamed(s.name))
		}
	}
	return p
}

// pickOrder gives the candidates in the pickOrder in which one request is offered.
func pickOrder(now time.Time, p *Pool) []string {
	tried := make(map[Candidate]bool)
	all := []string{}
	for {
		c, ok := p.Pick(now, table.Engine, model, tried)
		if !ok {
			return all
		}
		tried[c] = true
		all = append(all, string(c.VM))
	}
}

func TestPoolOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name string
		all  []sidecarState
		want []string
	}{
		{"least load first", []sidecarState{
			{name: "a", report: Report{Limit: 8, InFlight: 6}},
			{name: "b", report: Report{Limit: 8, InFlight: 2}},
			{name: "c", report: Report{Limit: 8, InFlight: 4}},
		}, []string{"b", "c", "a"}},
		{"load is a share of the limit", []sidecarState{
			{name: "a", report: Report{Limit: 4, InFlight: 2}},
			{name: "b", report: Report{Limit: 16, InFlight: 6}},
		}, []string{"b", "a"}},
		{"a weight of two bears twice as much", []sidecarState{
			{name: "a", weight: 1, report: Report{Limit: 8, InFlight: 4}},
			{name: "b", weight: 2, report: Report{Limit: 8, InFlight: 6}},
		}, []string{"b", "a"}},
		{"what is parked counts", []sidecarState{
			{name: "a", report: Report{Limit: 8, InFlight: 1, Parked: 6}},
			{name: "b", report: Report{Limit: 8, InFlight: 5}},
		}, []string{"b", "a"}},
		{"cold and full is last, however small its load", []sidecarState{
			{name: "a", weight: 10, report: Report{Limit: 1, InFlight: 1, Cold: true}},
			{name: "b", report: Report{Limit: 8, InFlight: 8, Parked: 9}},
		}, []string{"b", "a"}},
		{"cold with room is weighed by its small limit", []sidecarState{
			{name: "a", report: Report{Limit: 2, InFlight: 0, Cold: true}},
			{name: "b", report: Report{Limit: 8, InFlight: 7}},
			{name: "c", report: Report{Limit: 8, InFlight: 1}},
		}, []string{"c", "a", "b"}},
		{"own offers fill a cold one", []sidecarState{
			{name: "a", weight: 10, report: Report{Limit: 1, Cold: true}, offered: 1},
			{name: "b", report: Report{Limit: 8, InFlight: 7}},
		}, []string{"b", "a"}},
		{"own offers correct a stale report", []sidecarState{
			{name: "a", report: Report{Limit: 8}, offered: 5},
			{name: "b", report: Report{Limit: 8, InFlight: 3}},
		}, []string{"b", "a"}},
		{"own offers in the report count once", []sidecarState{
			{name: "a", report: Report{Limit: 8, InFlight: 3}, offered: 3},
			{name: "b", report: Report{Limit: 8, InFlight: 5}},
		}, []string{"a", "b"}},
		{"who refuses is not asked", []sidecarState{
			{name: "a", report: Report{Limit: 8, Refusing: result.UpstreamLeaving}},
			{name: "b", report: Report{Limit: 8, InFlight: 8}},
		}, []string{"b"}},
		{"who is out is not asked, whatever it reports", []sidecarState{
			{name: "a", report: Report{Limit: 8}, out: result.DataCentreOut},
			{name: "b", report: Report{Limit: 8, InFlight: 8}},
		}, []string{"b"}},
		{"who is silent is not asked", []sidecarState{
			{name: "a", report: Report{Limit: 8}, age: HeartbeatTimeout + time.Millisecond},
			{name: "b", report: Report{Limit: 8, InFlight: 8}, age: HeartbeatTimeout},
		}, []string{"b"}},
		{"who was never heard is not asked", []sidecarState{{name: "a", unreported: true}}, []string{}},
		{"who serves something else is not asked", []sidecarState{{name: "a", kind: table.Plain, report: Report{Limit: 8}}}, []string{}},
		{"none", nil, []string{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.DeepEqual(t, pickOrder(now, newTestPool(now, tt.all...)), tt.want)
		})
	}
}

// Among equals each is chosen about as often, and the same seed chooses alike.
func TestPoolTieBreak(t *testing.T) {
	now := time.Unix(1000, 0)
	const picks = 4000
	count := func() map[string]int {
		r := Report{Limit: 8, InFlight: 1}
		p := newTestPool(now, sidecarState{name: "a", report: r}, sidecarState{name: "b", report: r}, sidecarState{name: "c", report: r}, sidecarState{name: "d", report: r})
		got := make(map[string]int)
		for range picks {
			c, ok := p.Pick(now, table.Engine, model, nil)
			assert.Assert(t, ok)
			got[string(c.VM)]++
		}
		return got
	}
	got := count()
	for _, name := range []string{"a", "b", "c", "d"} {
		assert.Assert(t, got[name] > picks/4*9/10 && got[name] < picks/4*11/10, "%v", got)
	}
	assert.DeepEqual(t, got, count())
}

// A gateway that was paused does not take its sidecars for silent; one that was
// listening does.
func TestPoolSilence(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name string
		// checks are when the gateway checks, after the only report.
		checks []time.Duration
		want   bool
	}{
		{"fresh", []time.Duration{time.Second}, false},
		{"listening all along", []time.Duration{500 * time.Millisecond, time.Second, 1501 * time.Millisecond}, true},
		{"woken from a pause", []time.Duration{500 * time.Millisecond, 5 * time.Second}, false},
		{"still silent after the pause", []time.Duration{5 * time.Second, 6 * time.Second, 6501 * time.Millisecond}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newTestPool(now, sidecarState{name: "a", report: Report{Limit: 1}})
			var got bool
			for _, after := range tt.checks {
				got = p.Silent(now.Add(after), candidateNamed("a"))
			}
			assert.Equal(t, got, tt.want)
		})
	}
	assert.Assert(t, newTestPool(now).Silent(now, candidateNamed("a")), "one that is not in the pool")
}

// A member that stays keeps what was heard of it and offered to it; one that
// leaves is forgotten, and its late ends do no harm.
func TestPoolSet(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newTestPool(now, sidecarState{name: "a", report: Report{Limit: 8, InFlight: 2}, offered: 3}, sidecarState{name: "b", report: Report{Limit: 8}, offered: 1})
	row := table.Upstream{Kind: table.Engine, Serves: []table.ServiceName{model}, Weight: 1}
	p.Set([]Member{{Candidate: candidateNamed("a"), Row: row}, {Candidate: candidateNamed("c"), Row: row}})
	p.RemoveOffer(candidateNamed("b"))
	p.SetReport(now, candidateNamed("b"), Report{Limit: 8})
	assert.DeepEqual(t, pickOrder(now, p), []string{"a"})
	members := p.Members()
	assert.Equal(t, len(members), 2)
	assert.Equal(t, members[0].OpenOffers, 3)
	assert.Equal(t, members[0].Report.InFlight, 2)
	assert.Equal(t, p.RefusalCode(now, candidateNamed("b")), result.SidecarUnreached)
}
