package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const testHoldTime = 30 * time.Second

// group simulates gateways, the VM list of the platform and network partitions.
type group struct {
	now     time.Time
	cores   map[fleet.VMName]*Core
	order   []fleet.VMName
	list    []fleet.VMName
	cut     func(a, b fleet.VMName) bool
	noList  func(a fleet.VMName) bool
	views   map[fleet.VMName][]fleet.VMName
	heardAt map[fleet.VMName]time.Time
}

func newGroup() *group {
	return &group{
		now:     time.Unix(1000, 0),
		cores:   make(map[fleet.VMName]*Core),
		views:   make(map[fleet.VMName][]fleet.VMName),
		heardAt: make(map[fleet.VMName]time.Time),
		cut:     func(_, _ fleet.VMName) bool { return false },
		noList:  func(fleet.VMName) bool { return false },
	}
}

// start starts a gateway and adds it to the VM list.
func (g *group) start(n fleet.VMName) {
	g.cores[n] = &Core{Self: n, HoldTime: testHoldTime}
	g.order = append(g.order, n)
	g.list = append(g.list[:len(g.list):len(g.list)], n)
}

func (g *group) crash(n fleet.VMName) { delete(g.cores, n) }

func (g *group) unlist(n fleet.VMName) {
	var kept []fleet.VMName
	for _, m := range g.list {
		if m != n {
			kept = append(kept, m)
		}
	}
	g.list = kept
}

// step advances the time by one second: each gateway reads the VM list and asks
// all gateways that it counts.
func (g *group) step() {
	g.now = g.now.Add(time.Second)
	for _, n := range g.order {
		c, up := g.cores[n]
		if !up {
			continue
		}
		if !g.noList(n) {
			g.views[n], g.heardAt[n] = g.list, g.now
		}
		if g.views[n] != nil {
			c.UpdateGateways(g.now, g.views[n], g.heardAt[n])
		}
		for _, m := range c.Members() {
			if other, ok := g.cores[m]; ok && m != n && !g.cut(n, m) {
				other.Count(g.now, []fleet.VMName{n})
				c.Answered(g.now, m, true)
			}
		}
	}
}

// flood sends requests to each gateway until it refuses one, and returns the
// number of admitted requests.
func (g *group) flood(a table.Account, estimate table.Tokens) (requests int) {
	for _, n := range g.order {
		for c, up := g.cores[n]; up; {
			if code, _ := c.Take(g.now, a, estimate); code != result.OK {
				break
			}
			requests++
		}
	}
	return requests
}

func (g *group) finish(a table.Account, estimate table.Tokens) {
	for _, c := range g.cores {
		if s := c.accounts[a.Name]; s != nil {
			for s.inFlight > 0 {
				c.Done(g.now, a, estimate, estimate)
			}
		}
	}
}

func (g *group) joined() int {
	n := 0
	for _, c := range g.cores {
		if c.Joined() {
			n++
		}
	}
	return n
}

// Gateways join, crash and see the VM list late, in random order. No unit may be
// held by two gateways at any time, and the whole limit is used once all gateways
// are in contact.
func TestSumInFlight(t *testing.T) {
	for seed := range uint64(5) {
		r := rand.New(rand.NewPCG(seed, 1))
		g := newGroup()
		a := table.Account{Name: "large", InFlight: 40}
		for i := range 4 {
			g.start(fleet.VMName(fmt.Sprintf("vm_%d", i)))
		}
		for i := range 200 {
			switch n := g.order[r.IntN(len(g.order))]; {
			case i%40 == 10:
				g.start(fleet.VMName(fmt.Sprintf("new_%d", i)))
			case i%40 == 25 && len(g.cores) > 2:
				g.crash(n)
				g.unlist(n)
			}
			late := g.order[r.IntN(len(g.order))]
			g.noList = func(n fleet.VMName) bool { return n == late || n == g.order[i%2] }
			g.step()
			admitted := g.flood(a, 0)
			assert.Assert(t, admitted <= a.InFlight, "seed %d second %d: %d", seed, i, admitted)
			g.finish(a, 0)
		}
		g.noList = func(fleet.VMName) bool { return false }
		for range 31 {
			g.step()
		}
		assert.Assert(t, g.flood(a, 0) > a.InFlight-len(g.cores), "seed %d", seed)
	}
}

// Over a window of t seconds no more than burst + t x rate is admitted, even if a
// gateway crashes after it emptied its bucket and another gateway replaces it.
func TestSumRate(t *testing.T) {
	g := newGroup()
	a := table.Account{Name: "large", RequestsPerSecond: 20, Burst: 30, TokensPerMinute: 120_000}
	for _, n := range []fleet.VMName{"vm_0", "vm_1", "vm_2"} {
		g.start(n)
	}
	for range 20 {
		g.step()
	}
	sum := 0
	for i := range 180 {
		switch i {
		case 20:
			g.crash("vm_1")
			g.unlist("vm_1")
		case 40:
			g.start("vm_3")
		}
		g.step()
		sum += g.flood(a, 100)
		g.finish(a, 100)
		assert.Assert(t, sum <= 30+20*(i+2), "second %d: %d", i, sum)
		assert.Assert(t, sum*100 <= 120_000+2000*(i+2), "second %d: %d tokens", i, sum*100)
	}
	assert.Assert(t, sum >= 180*20*3/4, "admitted %d of %d", sum, 180*20)
}

// All gateways are replaced right after they admitted a burst. The new gateways
// must not admit the burst again.
func TestReplacementGatewaysHaveNoBurst(t *testing.T) {
	g := newGroup()
	a := table.Account{Name: "large", RequestsPerSecond: 5, Burst: 300}
	for i := range 3 {
		g.start(fleet.VMName(fmt.Sprintf("old_%d", i)))
	}
	for range 90 {
		g.step()
	}
	sum := g.flood(a, 0)
	assert.Equal(t, sum, 300)
	for i := range 3 {
		g.crash(fleet.VMName(fmt.Sprintf("old_%d", i)))
		g.unlist(fleet.VMName(fmt.Sprintf("old_%d", i)))
		g.start(fleet.VMName(fmt.Sprintf("new_%d", i)))
	}
	for i := range 10 {
		g.step()
		sum += g.flood(a, 0)
		assert.Assert(t, sum <= 300+5*(i+1), "second %d: %d", i, sum)
	}
	assert.Equal(t, g.joined(), 3)
	assert.Assert(t, sum > 320)
}

// Two of four gateways are partitioned from the others and from the platform, and
// three gateways join on the other side: the sum stays within the limit. If the
// VM list then drops the two isolated gateways although they still run, the sum
// is at most one and a half times the limit.
func TestPartition(t *testing.T) {
	g := newGroup()
	a := table.Account{Name: "large", InFlight: 64}
	for i := range 4 {
		g.start(fleet.VMName(fmt.Sprintf("vm_%d", i)))
	}
	g.step()
	g.step()
	isolated := func(n fleet.VMName) bool { return n == "vm_0" || n == "vm_1" }
	g.cut = func(a, b fleet.VMName) bool { return isolated(a) != isolated(b) }
	g.noList = isolated
	check := func(seconds int, maxAdmitted int) {
		t.Helper()
		for i := range seconds {
			g.step()
			n := g.flood(a, 0)
			assert.Assert(t, n <= maxAdmitted, "second %d: %d", i, n)
			g.finish(a, 0)
		}
	}
	check(10, a.InFlight)
	for i := range 3 {
		g.start(fleet.VMName(fmt.Sprintf("new_%d", i)))
	}
	check(60, a.InFlight)
	assert.Equal(t, g.joined(), 7)
	g.unlist("vm_0")
	g.unlist("vm_1")
	check(60, a.InFlight*3/2)
	g.cut = func(_, _ fleet.VMName) bool { return false }
	g.noList = func(fleet.VMName) bool { return false }
	g.list = append(g.list, "vm_0", "vm_1")
	check(1, a.InFlight*3/2)
	check(60, a.InFlight)
}

// A joining gateway refuses all requests of accounts that have limits, and admits
// all requests of other accounts.
func TestJoining(t *testing.T) {
	g := newGroup()
	g.start("vm_0")
	g.step()
	g.start("vm_1")
	g.cut = func(_, _ fleet.VMName) bool { return true }
	g.step()
	c := g.cores["vm_1"]
	code, after := c.Take(g.now, table.Account{Name: "a", InFlight: 5}, 0)
	assert.Equal(t, code, result.NotReady)
	assert.Equal(t, after, defaultRetryAfter)
	code, _ = c.Take(g.now, table.Account{Name: "free"}, 0)
	assert.Equal(t, code, result.OK)
	for range 38 {
		g.step()
	}
	assert.Assert(t, !c.Joined(), "joined before the settle time passed")
	g.step()
	assert.Assert(t, c.Joined(), "not joined although the wait for the silent gateway and the settle time passed")
}

// The platform is unreachable and the only other gateway has crashed. A starting
// gateway joins after the wait, with half of its share.
func TestJoiningWhileIsolated(t *testing.T) {
	g := newGroup()
	g.start("vm_0")
	g.start("vm_1")
	g.views["vm_1"] = g.list
	g.crash("vm_0")
	g.noList = func(fleet.VMName) bool { return true }
	for range 40 {
		g.step()
	}
	assert.Assert(t, g.cores["vm_1"].Joined())
	n := g.flood(table.Account{Name: "large", InFlight: 40}, 0)
	assert.Assert(t, n > 0 && n <= 20, "%d", n)
}

// A gateway that has just joined admits a burst, because its bucket has been
// refilled for a second when it joins.
func TestBurstAfterJoining(t *testing.T) {
	g := newGroup()
	g.start("vm_0")
	g.start("vm_1")
	for g.joined() < 2 {
		g.step()
	}
	a := table.Account{Name: "a", RequestsPerSecond: 100, Burst: 100}
	assert.Assert(t, g.flood(a, 0) >= 90)
}

// The units of an account with fewer units than gateways each have one owner, and
// idle accounts are removed from memory.
func TestSmallAndIdle(t *testing.T) {
	g := newGroup()
	for i := range 20 {
		g.start(fleet.VMName(fmt.Sprintf("vm_%d", i)))
	}
	g.step()
	g.step()
	a := table.Account{Name: "small", RequestsPerSecond: 2, TokensPerMinute: 500, InFlight: 3}
	for range 60 {
		g.step()
	}
	assert.Equal(t, g.flood(table.Account{Name: "few", InFlight: 3}, 0), 3)
	assert.Assert(t, g.flood(a, 400) <= 2)
	g.finish(a, 400)
	c := g.cores["vm_0"]
	for i := range 3000 {
		c.Take(g.now, table.Account{Name: table.AccountName(fmt.Sprint(i)), RequestsPerSecond: 100}, 0)
		c.Done(g.now, table.Account{Name: table.AccountName(fmt.Sprint(i)), RequestsPerSecond: 100}, 0, 0)
		g.now = g.now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, len(c.accounts) < 2*takesPerSweep, "%d", len(c.accounts))
}

func TestHoldTime(t *testing.T) {
	assert.Equal(t, (&members{sorted: gatewayNames(3)}).holdTime(), 11200*time.Millisecond)
	assert.Equal(t, (&members{sorted: gatewayNames(350)}).holdTime(), 150*time.Second)
}
