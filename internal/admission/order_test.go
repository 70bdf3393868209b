package admission

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// brief is a class of tier 3 whose answers are no longer than those of tier 1.
var brief = func() table.Class {
	c := summary
	c.Name, c.MaxTokens = "brief", 40
	return c
}()

func TestTierOrderAndStarvation(t *testing.T) {
	s := newSession(t, 1, 1)
	s.warmQuietly(notice)
	s.offer(notice, "ward", 1)
	s.run()
	s.offer(brief, "ward", 3)
	s.offer(notice, "ward", 1)
	s.offer(booth, "vendor", 2)
	s.note("strict tier order while no offer is overdue")
	s.finish(1, clean(notice))
	s.finish(1, clean(booth))
	s.note("after 6 s tier 3 gets one grant in four while tier 1 keeps sending offers")
	s.wait(6 * time.Second)
	briefs := 0
	for range 12 {
		s.offer(booth, "vendor", 1)
		s.finish(1, clean(booth))
		if s.core.inFlight[0].Class.Name == brief.Name {
			briefs++
		}
	}
	assert.Equal(t, briefs, 3)
	s.golden()
}

func TestStarvationGrantsCountTokens(t *testing.T) {
	s := newSession(t, 1, 1)
	s.warmQuietly(booth)
	s.offer(booth, "vendor", 1)
	s.run()
	long := summary
	long.MaxTokens = 100
	s.offer(long, "ward", 2)
	s.wait(6 * time.Second)
	s.note("answers of 100 tokens against 50: one grant in seven is one token in four")
	var starvationGrants []int
	for n := range 14 {
		s.offer(booth, "vendor", 1)
		s.finish(1, clean(booth))
		if s.core.inFlight[0].Class.Name == long.Name {
			starvationGrants = append(starvationGrants, n)
		}
	}
	assert.DeepEqual(t, starvationGrants, []int{6, 13})
	s.golden()
}

func TestFairSharesAndDeadlines(t *testing.T) {
	s := newSession(t, 1, 1)
	s.core.FairSlack = 1
	s.warmQuietly(notice)
	s.offer(notice, "ward", 1)
	s.run()
	offerWeighted := func(account table.AccountName, weight table.Weight, n int) {
		for range n {
			s.next++
			s.send(Offered{ID: s.next, Account: account, Class: notice, Weight: weight, Arrived: s.now, Cost: 50})
		}
	}
	s.note("a large account sends many offers first; a small one and one of weight 2 follow")
	offerWeighted("large", 1, 12)
	offerWeighted("small", 1, 4)
	offerWeighted("double", 2, 8)
	s.note("each gets its fair share: one grant each for large and small per two for double")
	got := map[table.AccountName]int{}
	for range 16 {
		s.finish(1, clean(notice))
		got[s.core.inFlight[0].Account]++
	}
	assert.DeepEqual(t, got, map[table.AccountName]int{"large": 4, "small": 4, "double": 8})
	s.golden()
}

func TestEarliestDueFirstLateAfter(t *testing.T) {
	s := newSession(t, 1, 1)
	s.warmQuietly(notice)
	s.offer(notice, "ward", 1)
	s.run()
	urgent := notice
	urgent.Name, urgent.FirstToken = "urgent", time.Second
	s.offer(urgent, "ward", 2)
	s.wait(2 * time.Second)
	s.note("102 and 103 are late by now and are granted after offers that can be in time, the oldest first")
	s.offer(notice, "ward", 1)
	s.wait(100 * time.Millisecond)
	s.offer(urgent, "ward", 1)
	var order []OfferID
	for range 4 {
		s.finish(1, clean(notice))
		order = append(order, s.running()[0])
	}
	assert.DeepEqual(t, order, []OfferID{105, 104, 102, 103})
	s.note("a late offer is not shed, but an offer past its deadline is refused")
	s.offer(booth, "vendor", 1)
	s.wait(20 * time.Second)
	s.send(Ticked{})
	s.golden()
}

func TestShedding(t *testing.T) {
	s := newSession(t, 1, 1)
	s.core.MaxParked = 3
	s.warmQuietly(notice)
	s.offer(summary, "ward", 1)
	s.run()
	s.offer(summary, "ward", 2)
	s.offer(notice, "ward", 1)
	s.note("the queue is full: the lowest tier is refused, the newest first")
	s.offer(summary, "ward", 1)
	s.offer(booth, "vendor", 2)
	s.note("now tier 2 is the lowest tier with parked offers")
	s.offer(notice, "ward", 1)
	s.offer(booth, "vendor", 1)
	s.note("no lower tier has parked offers")
	s.offer(booth, "vendor", 1)
	s.note("the running request of the lowest tier was not interrupted")
	assert.Assert(t, s.core.Runs(101))
	s.golden()
}

func TestDataCentreOutAndBack(t *testing.T) {
	s := newSession(t, 3, 1)
	s.warmQuietly(notice)
	s.offer(notice, "ward", 2)
	s.run()
	s.offer(notice, "ward", 3)
	s.note("101 and 102 run, 103 is granted, 104 and 105 are parked")
	s.send(Configured{Upstream: s.core.Upstream, DataCentreOut: true})
	s.send(BodyReceived{ID: 103})
	assert.Assert(t, !s.core.Runs(103))
	s.offer(booth, "vendor", 1)
	s.finish(1, clean(notice))
	s.note("the data centre is back in, and the upstream is cold")
	s.send(Configured{Upstream: s.core.Upstream})
	s.offer(booth, "vendor", 2)
	s.finish(1, clean(notice))
	s.finish(1, clean(booth))
	s.note("the same for the upstream's row")
	row := s.core.Upstream
	row.State = table.Out
	s.send(Configured{Upstream: row})
	s.offer(booth, "vendor", 1)
	row.State = table.In
	s.send(Configured{Upstream: row})
	s.note("and for a failed health check")
	s.send(HealthChanged{Up: false})
	s.offer(booth, "vendor", 1)
	s.send(HealthChanged{Up: true})
	s.golden()
}

func TestLeaving(t *testing.T) {
	s := newSession(t, 3, 1)
	s.warmQuietly(notice)
	s.offer(notice, "ward", 2)
	s.run()
	s.offer(notice, "ward", 3)
	s.send(LeaveRequested{})
	s.note("no message makes a leaving upstream accept work again")
	s.send(HealthChanged{Up: true, Restarted: true})
	s.send(Configured{Upstream: s.core.Upstream})
	s.send(PauseEnded{})
	s.offer(booth, "vendor", 1)
	s.send(LeaveRequested{})
	s.note("running requests finish")
	s.finish(2, clean(notice))
	assert.Equal(t, s.core.State().Refusing, result.UpstreamLeaving)
	assert.Equal(t, s.core.State().InFlight, 0)
	s.golden()
}

func TestPause(t *testing.T) {
	s := newSession(t, 3, 1)
	s.warmQuietly(notice)
	s.offer(notice, "ward", 1)
	s.run()
	s.offer(notice, "ward", 4)
	s.note("the process is paused for 10 s with two grants pending; a body is queued when it resumes")
	s.wait(10 * time.Second)
	s.send(PauseEnded{})
	s.send(BodyReceived{ID: 102})
	assert.Assert(t, !s.core.Runs(102))
	s.finish(1, clean(notice))
	s.golden()
}

func TestGrantTimeoutAndLateWithdraw(t *testing.T) {
	s := newSession(t, 2, 1)
	s.warmQuietly(notice)
	s.offer(notice, "ward", 5)
	s.note("101 is withdrawn in time and the grant of 102 expires; both slots are free again")
	s.send(Withdrawn{ID: 101})
	s.send(BodyReceived{ID: 103})
	s.wait(DefaultGrantTimeout)
	s.send(Ticked{})
	s.send(Withdrawn{ID: 102})
	s.send(BodyReceived{ID: 102})
	s.note("a withdrawn offer that is parked is removed at once, a running one keeps its slot until it ends")
	s.send(Withdrawn{ID: 105})
	s.run()
	s.send(Withdrawn{ID: 103})
	assert.Equal(t, s.core.State().InFlight, 2)
	s.send(Finished{ID: 103, Cancelled: true})
	s.send(Finished{ID: 103, Clean: true})
	s.note("unknown, duplicate and out-of-order messages change nothing")
	s.send(BodyReceived{ID: 104})
	s.send(Finished{ID: 9})
	s.send(FirstTokenReceived{ID: 9})
	s.next = 103
	s.offer(notice, "ward", 1)
	s.golden()
}

func TestSuspects(t *testing.T) {
	s := newSession(t, 3, 1)
	s.warmQuietly(notice)
	suspect := func(class table.Class) OfferID {
		s.next++
		s.send(Offered{ID: s.next, Account: "suspect", Class: class, Arrived: s.now, Suspect: true})
		return s.next
	}
	s.note("a suspect runs beside other requests")
	s.offer(notice, "ward", 1)
	first := suspect(notice)
	s.run()
	assert.Assert(t, slices.Contains(s.running(), first))
	s.note("but not beside another suspect, though a slot is free and its tier is higher")
	second := suspect(booth)
	s.offer(summary, "ward", 1)
	s.run()
	assert.Assert(t, !slices.Contains(s.running(), second))
	assert.Equal(t, len(s.running()), 3)
	s.note("the end of a request other than the first suspect does not unblock it")
	s.finish(1, clean(notice))
	assert.Assert(t, !slices.Contains(s.running(), second))
	s.note("the end of the first suspect does")
	s.send(Finished{ID: first, Clean: true, Tokens: 10})
	s.run()
	assert.Assert(t, slices.Contains(s.running(), second))
	s.golden()
}

func TestReservesSlotsForHigherTiers(t *testing.T) {
	s := newSession(t, 8, 8)
	s.warmQuietly(notice)
	s.note("no higher tier sent an offer recently: tier 3 may use all slots")
	s.wait(reserveWindow)
	s.offer(summary, "ward", 8)
	s.finish(8, clean(summary))
	s.note("tier 1 sends an offer, and one slot of eight is reserved for it")
	s.offer(booth, "vendor", 1)
	s.finish(1, clean(booth))
	s.offer(summary, "ward", 8)
	assert.Equal(t, s.core.State().InFlight, 7)
	s.offer(booth, "vendor", 1)
	assert.Equal(t, s.core.State().InFlight, 8)
	s.note("once tier 1 sends no more offers, the slot is open again")
	s.run()
	s.wait(reserveWindow)
	s.finish(1, clean(summary))
	assert.Equal(t, s.core.State().InFlight, 8)
	s.golden()
}

func TestStarvationGrantUsesReservedSlot(t *testing.T) {
	s := newSession(t, 8, 8)
	s.warmQuietly(brief)
	s.offer(brief, "ward", 1)
	s.offer(booth, "vendor", 3)
	s.finish(4, clean(booth))
	s.offer(brief, "ward", 8)
	s.run()
	assert.Equal(t, s.core.State().InFlight, 7)
	s.note("tier 3 is overdue, so its anti-starvation grant uses the reserved slot")
	s.wait(6 * time.Second)
	s.send(Ticked{})
	assert.Equal(t, s.core.State().InFlight, 8)
	s.golden()
}

func TestColdRampGrowsBesideReservedSlots(t *testing.T) {
	s := newSession(t, 20, 5)
	s.offer(booth, "vendor", 1)
	s.finish(1, clean(booth))
	s.note("tier 3 fills four of the five cold slots; four more clean ends complete a step")
	s.offer(summary, "ward", 9)
	assert.Equal(t, s.core.State().InFlight, 4)
	s.finish(4, clean(summary))
	assert.Equal(t, s.core.State().Limit, 7)
	s.golden()
}

// An offer whose deadline would probably cut its answer off is granted after
// all others.
func TestLikelyTimeoutsRunLast(t *testing.T) {
	s := newSession(t, 1, 1)
	s.warmQuietly(notice)
	s.offer(notice, "ward", 9)
	s.finish(8, clean(notice))
	offer := func(deadline time.Duration) OfferID {
		s.next++
		s.send(Offered{ID: s.next, Account: "ward", Class: notice, Arrived: s.now, Deadline: s.now.Add(deadline)})
		return s.next
	}
	s.note("an answer takes 0.75 s; of two late offers the older has 2 s left")
	soon := offer(12 * time.Second)
	later := offer(time.Minute)
	s.wait(10 * time.Second)
	s.finish(1, clean(notice))
	assert.DeepEqual(t, s.running(), []OfferID{later})
	s.note("with no other offers it is granted anyway")
	s.finish(1, clean(notice))
	assert.DeepEqual(t, s.running(), []OfferID{soon})
	s.golden()
}

// An account whose answers were short must wait for its anti-starvation grant
// as long as its class's usual length requires, because its next answer may be
// that long.
func TestStarvationCostUsesLongerClassEstimate(t *testing.T) {
	s := newSession(t, 1, 1)
	s.warmQuietly(booth)
	long := summary
	long.MaxTokens = 100
	trainEstimate := func(account table.AccountName, n int, tokens table.Tokens) {
		s.offer(long, account, n)
		end := clean(long)
		end.Tokens = tokens
		s.finish(n, end)
	}
	trainEstimate("ward", 1, 10)
	trainEstimate("office", 12, 95)
	s.offer(booth, "vendor", 1)
	s.run()
	s.offer(long, "ward", 2)
	s.wait(6 * time.Second)
	s.note("answers average 89 tokens in the class and 10 for the account; other answers take 50")
	var starvationGrants []int
	for n := range 14 {
		s.offer(booth, "vendor", 1)
		s.finish(1, clean(booth))
		if s.core.inFlight[0].Class.Name == long.Name {
			starvationGrants = append(starvationGrants, n)
		}
	}
	assert.DeepEqual(t, starvationGrants, []int{5, 12})
	s.golden()
}
