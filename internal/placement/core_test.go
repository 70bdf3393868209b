package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/pkg/result"
)

var start = time.Unix(1_800_000_000, 0)

// engines returns a view with n engines, distributed round-robin over the data
// centres a, b and c.
func engines(n int) *route.View {
	table := &route.Table{Services: []route.Service{
		{Name: "drafting", ColdStart: 3 * time.Second, ColdRate: 6, Engine: &route.Engine{BatchSize: 64, MemoryTokens: 500_000}},
		{Name: "desk"},
	}}
	table.Index()
	v := &route.View{Table: table, DataCentresOut: map[route.DataCentre]bool{}}
	for i := range n {
		v.Upstreams = append(v.Upstreams, route.Upstream{
			ID: route.UpstreamID(fmt.Sprintf("e%02d", i)), Service: "drafting", Address: fmt.Sprintf("10.0.0.%d:80", i),
			DataCentre: route.DataCentre("abc"[i%3 : i%3+1]), Slots: 64,
		})
	}
	return v
}

func newCore(v *route.View, gateways int) *Core {
	c := &Core{DataCentre: "a", Cold: ColdBounds{Factor: 1.5, Slack: 5}}
	c.Handle(start, ViewUpdate{v})
	c.Handle(start, Membership{Count: gateways})
	return c
}

// draft returns a request with a long shared prompt part.
func draft(sharedPart PartID, ownPart PartID) Request {
	return Request{
		Service: "drafting", Objective: 2500 * time.Millisecond, Deadline: start.Add(10 * time.Second),
		Prompt: []Part{{sharedPart, 13_300}, {1_000_000 + ownPart, 3_700}}, OutputTokens: 120, Bytes: 19_000,
	}
}

// question returns a request with a short prompt.
func question(ownPart PartID) Request {
	return Request{
		Service: "drafting", Objective: 500 * time.Millisecond, Deadline: start.Add(12 * time.Second),
		Prompt: []Part{{7, 350}, {2_000_000 + ownPart, 1_110}}, OutputTokens: 170, Bytes: 4_000,
	}
}

// enqueue enqueues a request and returns the upstream that it is granted, or an
// empty ID if it waits.
func enqueue(t *testing.T, c *Core, now time.Time, ticket Ticket, r Request) route.UpstreamID {
	t.Helper()
	for _, e := range c.Handle(now, Enqueue{ticket, r}) {
		if g, ok := e.(Grant); ok && g.Ticket == ticket {
			return g.Upstream.ID
		}
	}
	return ""
}

// Gateways that don't know of each other's requests must send the same prompt
// parts to the same engine; otherwise several engines process them.
func TestGatewaysAgreeOnAnEngine(t *testing.T) {
	one, other := newCore(engines(12), 5), newCore(engines(12), 5)
	other.DataCentre = "b"
	used := map[route.UpstreamID]bool{}
	for n := range PartID(100) {
		now := start.Add(time.Duration(n) * time.Second)
		r := draft(n, n)
		r.Deadline = now.Add(10 * time.Second)
		got := enqueue(t, one, now, Ticket(n), r)
		assert.Equal(t, got, enqueue(t, other, now, Ticket(n), r))
		one.Handle(now, Done{Ticket(n), Served})
		other.Handle(now, Done{Ticket(n), Served})
		used[got] = true
	}
	assert.Equal(t, len(used), 9, "prompts are not spread over the engines for long ones")
}

// A burst of requests with the same shared part stays on the engine that has the
// part cached until waiting there costs more than processing the part again on
// another engine.
func TestBurstOfOnePromptSpreadsLate(t *testing.T) {
	c := newCore(engines(12), 5)
	var places []route.UpstreamID
	for n := range Ticket(60) {
		places = append(places, enqueue(t, c, start, n, draft(1, PartID(n))))
	}
	for n := range 8 {
		assert.Equal(t, places[n], places[0], "request %d went to a second engine", n)
	}
	assert.Assert(t, places[59] != places[0], "all 60 drafts are queued on one engine")
}

// A request that is sent to an engine without its shared parts names the engine
// that holds them, and the fetched parts are not counted as tokens to process. A
// request that is sent to the holder names no source.
func TestPartsAreFetchedFromTheirHolder(t *testing.T) {
	v := engines(12)
	v.Table.Services[0].Engine.TokenBytes, v.Table.Services[0].Engine.LinkBitsPerSecond = 35_136, 180e9
	c := newCore(v, 5)
	var holder route.Upstream
	left := 0
	for n := range Ticket(60) {
		for _, e := range c.Handle(start, Enqueue{n, draft(1, PartID(n))}) {
			g := e.(Grant)
			switch {
			case n == 0:
				holder = g.Upstream
				assert.Equal(t, g.KVSource, "", "there is no engine to fetch from")
			case g.Upstream.ID == holder.ID:
				assert.Equal(t, g.KVSource, "")
			default:
				left++
				assert.Assert(t, g.KVSource != "" && g.KVSource != g.Upstream.Address, "request %d", n)
				assert.Equal(t, c.assignments[n].prefillTokens, 3_700, "fetched parts are counted as tokens to process")
			}
		}
	}
	assert.Assert(t, left > 0, "no request left the holder")
}

// Prompt parts must not be fetched from an engine whose response is overdue.
func TestNothingIsFetchedFromASilentEngine(t *testing.T) {
	v := engines(3)
	v.Table.Services[0].Engine.TokenBytes, v.Table.Services[0].Engine.LinkBitsPerSecond = 35_136, 180e9
	c := newCore(v, 5)
	first := enqueue(t, c, start, 1, draft(1, 1))
	now := start.Add(5 * time.Second)
	r := draft(1, 2)
	r.Tried, r.Deadline = []route.UpstreamID{first}, now.Add(5*time.Second)
	for _, e := range c.Handle(now, Enqueue{2, r}) {
		assert.Assert(t, e.(Grant).KVSource != c.members[first].upstream.Address)
	}
}

// In a large fleet only some gateways report their load in time. Their reports are
// extrapolated to all live peers, so that an engine that is busy with requests
// from gateways without a report is not chosen.
func TestPeerLoadsAreExtrapolated(t *testing.T) {
	const peers = 40
	c := newCore(engines(12), peers+1)
	busy := enqueue(t, c, start, 1, question(1))
	c.Handle(start, Done{1, Served})
	chosenWith := func(livePeers int) route.UpstreamID {
		c.Handle(start, Membership{Count: peers + 1, LivePeers: livePeers})
		c.Handle(start, PeerLoads{Gateway: "10.0.0.2:1", Loads: map[LoadKey]Load{LoadKeyOf(busy): {InFlight: 1, WaitingTokens: 800, MemoryTokens: 800}}})
		id := enqueue(t, c, start, 2, question(1))
		c.Handle(start, Done{2, Served})
		return id
	}
	assert.Equal(t, chosenWith(1), busy)
	assert.Assert(t, chosenWith(peers) != busy)
}

// Short and long prompts go to different engines while there is capacity.
func TestShortPromptsHaveReservedEngines(t *testing.T) {
	c := newCore(engines(12), 5)
	short, long := map[route.UpstreamID]bool{}, map[route.UpstreamID]bool{}
	for n := range Ticket(40) {
		long[enqueue(t, c, start, 2*n, draft(PartID(n), PartID(n)))] = true
		short[enqueue(t, c, start, 2*n+1, question(PartID(n)))] = true
	}
	for id := range short {
		assert.Assert(t, !long[id], "%s received both short and long prompts", id)
	}
	assert.Assert(t, len(short) >= 1 && len(long) >= 6, "%d short, %d long", len(short), len(long))
}

func TestUnusableUpstreams(t *testing.T) {
	tests := []struct {
		name   string
		change func(*route.View)
	}{
		{"leaving", func(v *route.View) { v.Upstreams[0].Leaving = true }},
		{"data centre out", func(v *route.View) { v.DataCentresOut["a"] = true }},
		{"of another service", func(v *route.View) { v.Upstreams[0].Service = "desk" }},
		{"removed", func(v *route.View) { v.Upstreams = nil }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCore(engines(1), 5)
			assert.Equal(t, enqueue(t, c, start, 1, question(1)), route.UpstreamID("e00"))
			changed := engines(1)
			tt.change(changed)
			c.Handle(start, ViewUpdate{changed})
			assert.Equal(t, enqueue(t, c, start, 2, question(2)), route.UpstreamID(""))
		})
	}
}

// All gateways together send a cold engine at most the bounded number of requests
// in any second, independent of the number of gateways, and still use at least a
// third of its rate.
func TestColdRateIsShared(t *testing.T) {
	const coldFor = 3 * time.Second
	bounds := newCore(engines(1), 1).Cold
	for _, gateways := range []int{1, 2, 5, 27, 350} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			cold := engines(1)
			cold.Upstreams[0].ColdFor = coldFor
			rate := cold.Table.Services[0].ColdRate
			var sent []time.Duration
			for rank := range gateways {
				c := newCore(cold, gateways)
				c.Handle(start, Membership{Count: gateways, Rank: rank})
				sent = append(sent, sendsWhileCold(c, coldFor)...)
			}
			slices.Sort(sent)
			for i, at := range sent {
				end, _ := slices.BinarySearch(sent, at+time.Second)
				assert.Assert(t, float64(end-i) <= bounds.Factor*rate+bounds.Slack, "%d requests in the second from %s", end-i, at)
			}
			assert.Assert(t, float64(len(sent)) >= rate*coldFor.Seconds()/3, "%d requests in %s", len(sent), coldFor)
		})
	}
}

// sendsWhileCold enqueues requests in short intervals and returns the times of the
// grants.
func sendsWhileCold(c *Core, coldFor time.Duration) []time.Duration {
	const step = 20 * time.Millisecond
	var sent []time.Duration
	for at := time.Duration(0); at < coldFor; at += step {
		now := start.Add(at)
		r := question(PartID(at))
		r.Deadline = now.Add(2 * step)
		for _, e := range c.Handle(now, Enqueue{Ticket(at), r}) {
			// The grant may be for a request that was enqueued earlier.
			if g, ok := e.(Grant); ok {
				c.Handle(now, Done{g.Ticket, Served})
				sent = append(sent, at)
			}
		}
	}
	return sent
}

// An engine that restarts under the same ID and reports that it is cold is treated
// as cold.
func TestRestartedEngineIsCold(t *testing.T) {
	const gateways = 5
	c := newCore(engines(1), gateways)
	restarted := engines(1)
	restarted.Upstreams[0].StartedAtMillis, restarted.Upstreams[0].ColdFor = 5, 3*time.Second
	c.Handle(start, ViewUpdate{restarted})
	// This gateway has one turn per second.
	got := len(sendsWhileCold(c, 2*time.Second))
	assert.Assert(t, got >= 1 && got <= 3, "%d requests in two seconds", got)
}

// When capacity becomes available, the request with the highest priority is
// granted first, regardless of the order of arrival.
func TestHighestPriorityIsGrantedFirst(t *testing.T) {
	v := engines(1)
	v.Table.Services[0].Engine.BatchSize = 1
	c := newCore(v, 5)
	late, urgent := question(2), question(3)
	late.Rank = 2
	assert.Equal(t, enqueue(t, c, start, 1, question(1)), route.UpstreamID("e00"))
	assert.Equal(t, enqueue(t, c, start, 2, late), route.UpstreamID(""))
	assert.Equal(t, enqueue(t, c, start, 3, urgent), route.UpstreamID(""))
	got := c.Handle(start, Done{1, Served})
	assert.Equal(t, got[0].(Grant).Ticket, Ticket(3))
}

// A request that can't be placed is refused early enough for the caller to retry.
func TestRefusalLeavesTimeToRetry(t *testing.T) {
	c := newCore(engines(0), 5)
	assert.Equal(t, enqueue(t, c, start, 1, question(1)), route.UpstreamID(""))
	now := start.Add(300 * time.Millisecond)
	got := c.Handle(now, Ticked{})
	assert.Equal(t, len(got), 1)
	refusal := got[0].(Refuse)
	assert.Equal(t, refusal.Code, result.NoUpstream)
	assert.Assert(t, refusal.RetryAfter > 0 && refusal.RetryAfter <= question(1).Deadline.Sub(now)/3, "%s", refusal.RetryAfter)
}

// An upstream with an overdue response receives no requests while others have
// capacity.
func TestOverdueUpstreamIsNotChosen(t *testing.T) {
	c := newCore(engines(12), 5)
	hung := enqueue(t, c, start, 1, question(1))
	now := start.Add(2 * time.Second)
	next := question(2)
	next.Deadline = now.Add(12 * time.Second)
	assert.Assert(t, enqueue(t, c, now, 2, next) != hung)
}

// A single broken response may be coincidental. Consecutive broken responses are
// attributed to the upstream.
func TestBrokenUpstreamIsAvoided(t *testing.T) {
	c := newCore(engines(1), 5)
	for n := range Ticket(3) {
		if id := enqueue(t, c, start, n, question(PartID(n))); n < 2 {
			assert.Equal(t, id, route.UpstreamID("e00"))
		} else {
			assert.Equal(t, id, route.UpstreamID(""))
		}
		c.Handle(start, Done{n, Broken})
	}
}

func TestBudgetIsShared(t *testing.T) {
	const gateways = 5
	bounds := RetryBounds{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
	retries, requests := 0, 0
	for range gateways {
		b := RetryBudget{Bounds: bounds}
		for ms := range 10_000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ms%50 == 0 {
				b.CountRequest(now, "drafting")
				requests++
			}
			if b.Spend(now, "drafting", gateways+gatewayMargin) {
				retries++
			}
		}
	}
	most := bounds.Ratio*float64(requests) + bounds.Extra
	assert.Assert(t, float64(retries) <= most && float64(retries) >= most/2, "%d retries, %g allowed", retries, most)
}

// The window slides: the extra retries are available again after a window without
// retries.
func TestBudgetWindowSlides(t *testing.T) {
	b := RetryBudget{Bounds: RetryBounds{Ratio: 0.2, Extra: 4, Window: 10 * time.Second}}
	spend := func(now time.Time) (n int) {
		for b.Spend(now, "drafting", 1) {
			n++
		}
		return n
	}
	assert.Equal(t, spend(start), 3)
	assert.Equal(t, spend(start.Add(9*time.Second)), 0)
	assert.Equal(t, spend(start.Add(11*time.Second)), 3)
}
