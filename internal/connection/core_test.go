package connection

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_800_000_000, 0)

// at returns the time a number of seconds after the start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// newCore returns a core with room for the given number of connections that are not served.
func newCore(connections int) *Core {
	return &Core{
		Bounds: Bounds{Memory: int64(connections) * entryMemory},
		Limits: Limits{HeadBytes: 16384, HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// open adds a connection and takes it to a phase at a time.
func open(t *testing.T, c *Core, seconds float64, p Phase) *Entry {
	t.Helper()
	e := c.Open(at(seconds), nil)
	assert.Assert(t, e != nil)
	switch p {
	case Head:
		c.BeginHead(at(seconds), e)
	case Body:
		c.EndHead(at(seconds), e)
	case Served:
		c.EndHead(at(seconds), e)
		assert.Assert(t, c.Serve(at(seconds), e))
	case Idle:
		c.EndHead(at(seconds), e)
		c.Rest(at(seconds), e)
	}
	return e
}

// closeAll calls a method such as Excess until it returns nil, and returns what it returned.
func closeAll(next func(time.Time) *Entry, now time.Time) []*Entry {
	var all []*Entry
	for e := next(now); e != nil; e = next(now) {
		all = append(all, e)
	}
	return all
}

func assertEntries(t *testing.T, got []*Entry, want ...*Entry) {
	t.Helper()
	assert.Assert(t, slices.Equal(got, want), "got %d connections", len(got))
}

// At the bound, connections must be closed in the order of what is lost with them, and never
// one whose request has been read.
func TestOrderAtTheBound(t *testing.T) {
	type opened struct {
		second float64
		phase  Phase
	}
	tests := []struct {
		name   string
		opened []opened
		want   int
	}{
		{"longest idle", []opened{{2, Idle}, {1.5, Head}, {1, Idle}, {1.2, Served}}, 0},
		{"idle before older head", []opened{{1, Head}, {2, Idle}}, 1},
		{"idle before new one that is not silent for long", []opened{{1, New}, {2, Idle}}, 1},
		{"silent new one before idle", []opened{{0, Idle}, {-1, New}, {-2, New}}, 1},
		{"longest head", []opened{{0, Served}, {1, Head}, {2, Head}}, 1},
		{"new before younger head", []opened{{0, Served}, {1, New}, {2, Head}}, 1},
		{"slow body before head", []opened{{-1, Served}, {-1, Body}, {1, Head}}, 1},
		{"head before body that is not slow", []opened{{-1, Served}, {0, Body}, {1, Head}}, 2},
		{"idle before slow body", []opened{{-1, Body}, {1, Idle}}, 1},
		{"bodies that are not slow", []opened{{0, Served}, {0, Body}}, -1},
		{"all served", []opened{{0, Served}, {1, Served}}, -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCore(100)
			var all []*Entry
			for _, o := range tt.opened {
				all = append(all, open(t, c, o.second, o.phase))
			}
			c.Bounds.Memory = int64(len(all)*entryMemory + (c.Count(Body)+c.Count(Served))*servedMemory)
			e := c.Open(at(2.5), nil)
			assert.Equal(t, e == nil, tt.want < 0)
			got := closeAll(c.Excess, at(2.5))
			if tt.want < 0 {
				assert.Equal(t, len(got), 0)
				return
			}
			assert.Equal(t, len(got), 1)
			assert.Assert(t, got[0] == all[tt.want])
			assert.Equal(t, c.Closing(), 1)
			c.Close(got[0])
			assert.Equal(t, c.Closing(), 0)
		})
	}
}

// Time-outs must follow the phase, and a change of the limits must apply to connections that
// are already open.
func TestExpired(t *testing.T) {
	c := newCore(100)
	silent, head, served, idle := open(t, c, 0, New), open(t, c, 0, Head), open(t, c, 0, Served), open(t, c, 0, Idle)
	assert.Equal(t, len(closeAll(c.Expired, at(2.9))), 0)
	c.BeginHead(at(2), head)
	assertEntries(t, closeAll(c.Expired, at(3)), head)
	assert.Equal(t, len(closeAll(c.Expired, at(12))), 0)
	c.Limits.IdleTimeout = 11 * time.Second
	assertEntries(t, closeAll(c.Expired, at(12)), silent, idle)
	assert.Equal(t, c.Count(Served), 1)
	c.Rest(at(20), served)
	assert.Equal(t, len(closeAll(c.Expired, at(30.9))), 0)
	assertEntries(t, closeAll(c.Expired, at(31)), served)
}

// A request that was read while its connection was about to be closed must be served.
func TestRequestReadWhileClosing(t *testing.T) {
	c := newCore(100)
	for _, p := range []Phase{Idle, Head, New} {
		e := open(t, c, 0, p)
		c.BeginHead(at(1), e)
		c.GrowHead(e, 1000)
		assertEntries(t, closeAll(c.Expired, at(100)), e)
		c.GrowHead(e, 500)
		c.EndHead(at(100), e)
		assert.Assert(t, c.Serve(at(100), e))
		assert.Equal(t, c.Closing(), 0)
		assert.Equal(t, c.readHeads, int64(1500))
		c.Rest(at(101), e)
		assert.Equal(t, c.Count(Idle), 1)
		c.Close(e)
	}
	assert.Equal(t, c.unreadHeads, int64(0))
}

// Heads must not use more memory than their bound, whatever the number of connections: a head
// of short lines takes many times its size.
func TestMemoryOfHeads(t *testing.T) {
	c := newCore(100)
	c.Bounds.Heads = 1000
	first, second, ready := open(t, c, 0, Head), open(t, c, 1, Head), open(t, c, 0, Idle)
	c.GrowHead(first, 600)
	assert.Equal(t, len(closeAll(c.Excess, at(2))), 0)
	c.GrowHead(second, 600)
	assertEntries(t, closeAll(c.Excess, at(2)), first)
	assert.Equal(t, c.Shortage(at(2)).Bound, BoundHeads)
	assert.Equal(t, c.Count(Idle), 1)
	c.BeginHead(at(3), ready)
	c.GrowHead(ready, 1600)
	assertEntries(t, closeAll(c.Excess, at(3)), second, ready)
}

// Each request that is served needs a descriptor for its upstream, and other gateways and
// connections to upstreams that are idle need some too.
func TestDescriptors(t *testing.T) {
	reserved := fileDescriptors + ownDescriptors + closingDescriptors
	tests := []struct {
		name                               string
		descriptors                        int
		served, idle, upstreams, gateways  int
		wantClosed                         int
		wantRefused, wantShortOfDescriptor bool
	}{
		{name: "room", descriptors: reserved + 200, served: 50, idle: 99},
		{name: "full", descriptors: reserved + 200, served: 50, idle: 100, wantClosed: 1, wantShortOfDescriptor: true},
		{name: "idle upstreams", descriptors: reserved + 200, served: 50, idle: 99, upstreams: 60, wantClosed: 10, wantShortOfDescriptor: true},
		{name: "gateways", descriptors: reserved + 200, served: 50, idle: 99, gateways: 7, wantClosed: 14, wantShortOfDescriptor: true},
		{name: "all served", descriptors: reserved + 200, served: 100, wantRefused: true, wantShortOfDescriptor: true},
		{name: "hardly any", descriptors: 10, idle: minConnections, wantClosed: 1, wantShortOfDescriptor: true},
		{name: "no bound", idle: 5000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCore(0)
			for range tt.served {
				open(t, c, 0, Served)
			}
			for range tt.idle {
				open(t, c, 0, Idle)
			}
			c.Bounds.Descriptors, c.Upstreams, c.Gateways = tt.descriptors, tt.upstreams, tt.gateways
			assert.Equal(t, c.Open(at(1), nil) == nil, tt.wantRefused)
			assert.Equal(t, len(closeAll(c.Excess, at(1))), tt.wantClosed)
			assert.Equal(t, c.Shortage(at(1)).Bound == BoundDescriptors, tt.wantShortOfDescriptor)
			assert.Equal(t, c.Shortage(at(1).Add(shortageTime)).Bound, Bound(0))
		})
	}
}

// The bounds must hold and the sums must be right after any sequence of operations, and no
// connection may be closed whose request is being served.
func TestRandomOperations(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	c := newCore(20)
	c.Bounds.Heads, c.Bounds.Descriptors = 3000, fileDescriptors+ownDescriptors+closingDescriptors+80
	var all []*Entry
	for step := range 20_000 {
		now := at(float64(step) / 10)
		all = operate(t, c, random, now, all)
		for _, closing := range append(closeAll(c.Excess, now), closeAll(c.Expired, now)...) {
			assert.Assert(t, closing.phase != Served, "step %d", step)
		}
		if b, over := c.exceeded(); over {
			assert.Assert(t, c.victim(now, b) == nil, "step %d: %s exceeded", step, b)
		}
		checkSums(t, c, all)
	}
}

// operate does one random operation, and returns the connections that are open after it.
func operate(t *testing.T, c *Core, random *rand.Rand, now time.Time, all []*Entry) []*Entry {
	t.Helper()
	operation := random.IntN(7)
	if operation < 2 || len(all) == 0 {
		if e := c.Open(now, nil); e != nil {
			return append(all, e)
		}
		assert.Equal(t, c.Count(New)+c.Count(Head)+c.Count(Idle), 0)
		return all
	}
	i := random.IntN(len(all))
	switch e := all[i]; operation {
	case 2:
		if e.phase != Body && e.phase != Served {
			c.BeginHead(now, e)
			c.GrowHead(e, int64(random.IntN(1500)))
		}
	case 3:
		c.EndHead(now, e)
	case 4:
		c.EndHead(now, e)
		c.Serve(now, e)
	case 5:
		c.Rest(now, e)
	default:
		c.Close(e)
		return slices.Delete(all, i, i+1)
	}
	return all
}

func checkSums(t *testing.T, c *Core, all []*Entry) {
	t.Helper()
	var count [phaseCount]int
	var unread, read int64
	closing := 0
	for _, e := range all {
		switch {
		case e.reason != none:
			closing++
			continue
		case e.phase == Body || e.phase == Served:
			read += e.head
		default:
			unread += e.head
		}
		count[e.phase]++
	}
	for p, n := range count {
		assert.Equal(t, c.Count(Phase(p)), n)
	}
	assert.Equal(t, c.Closing(), closing)
	assert.Equal(t, c.unreadHeads, unread)
	assert.Equal(t, c.readHeads, read)
}

// BenchmarkRequest measures what a request on an open connection costs.
func BenchmarkRequest(b *testing.B) {
	c := newCore(3000)
	entries := make([]*Entry, 2000)
	for i := range entries {
		entries[i] = c.Open(start, nil)
	}
	for n := 0; b.Loop(); n++ {
		e, now := entries[n%len(entries)], start.Add(time.Duration(n))
		c.BeginHead(now, e)
		c.GrowHead(e, 2000)
		c.Excess(now)
		c.EndHead(now, e)
		c.Excess(now)
		c.Serve(now, e)
		c.Rest(now, e)
	}
}
