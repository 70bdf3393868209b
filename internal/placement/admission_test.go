package placement

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/pkg/result"
)

// layout returns a draft of the least urgent rank, without a backlog of its own.
func layout(ownPart PartID) Request {
	r := draft(1, ownPart)
	r.Rank, r.Prompt = 2, []Part{{1, 10}, {1_000_000 + ownPart, 10}}
	return r
}

// grants enqueues n requests of a kind and returns how many are granted at once.
func grants(t *testing.T, c *Core, now time.Time, first Ticket, n int, request func(PartID) Request) int {
	t.Helper()
	granted := 0
	for i := range n {
		if enqueue(t, c, now, first+Ticket(i), request(PartID(first)+PartID(i))) != "" {
			granted++
		}
	}
	return granted
}

// Drafts must not fill engines when there are questions too: questions would wait
// behind them, and the drafts would all run too slowly to be complete in time.
func TestLeastUrgentLeaveRoom(t *testing.T) {
	c := newCore(engines(1), 1)
	assert.Equal(t, grants(t, c, start, 1, 1, question), 1)
	got := grants(t, c, start, 100, 64, layout)
	assert.Equal(t, got, int(math.Floor(64*initialBatchShare))-1)
	assert.Equal(t, grants(t, c, start, 200, 64, question), 64-1-got, "questions may fill the batch")
}

// A service with one kind of request has no tier to leave room for.
func TestOnlyTierFillsEngines(t *testing.T) {
	c := newCore(engines(1), 1)
	assert.Equal(t, grants(t, c, start, 100, 80, layout), 64)
}

// A few requests of an unusual rank must not limit those of the usual one.
func TestRareRankIsNoTier(t *testing.T) {
	var tracked tiers
	for range 100 {
		tracked.count(start, 3)
	}
	tracked.count(start, 0)
	assert.Equal(t, tracked.position(3), 0.0)
	for range 10 {
		tracked.count(start, 0)
	}
	assert.Equal(t, tracked.position(3), 1.0)
	assert.Equal(t, tracked.position(0), 0.0)
	assert.Equal(t, tracked.position(2), 0.5)
}

// While questions keep engines above the limit for drafts, drafts still get one of
// every maxPassedOver+1 grants.
func TestLeastUrgentAreNotStarved(t *testing.T) {
	c := newCore(engines(1), 1)
	assert.Equal(t, grants(t, c, start, 1, 40, question), 40)
	assert.Equal(t, grants(t, c, start, 100, 1, layout), 1, "enough questions went first")
	assert.Equal(t, grants(t, c, start, 101, 1, layout), 0)
	now := start.Add(20 * time.Millisecond)
	assert.Equal(t, grants(t, c, now, 200, maxPassedOver, question), maxPassedOver)
	got := c.Handle(now.Add(20*time.Millisecond), Ticked{})
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].(Grant).Ticket, Ticket(101))
}

// A draft waits for the engine that has its shared part cached instead of having the
// part computed again elsewhere.
func TestLeastUrgentWaitForTheirEngine(t *testing.T) {
	c := newCore(engines(12), 1)
	assert.Equal(t, grants(t, c, start, 1, 1, question), 1)
	places := map[route.UpstreamID]int{}
	for n := range Ticket(40) {
		r := draft(1, PartID(n))
		r.Rank = 2
		if id := enqueue(t, c, start, 100+n, r); id != "" {
			places[id]++
		}
	}
	assert.Equal(t, len(places), 1, "%v", places)
}

// A draft that is refused while engines keep room for questions says so, so that
// operators can tell it from engines that are full.
func TestRefusalNamesReservedRoom(t *testing.T) {
	c := newCore(engines(1), 1)
	assert.Equal(t, grants(t, c, start, 1, 4, question), 4)
	assert.Assert(t, grants(t, c, start, 100, 64, layout) < 64)
	now := start.Add(1600 * time.Millisecond)
	got := c.Handle(now, Ticked{})
	assert.Assert(t, len(got) > 0)
	for _, e := range got {
		assert.Equal(t, e.(Refuse).Code, result.RoomReserved)
	}
}
