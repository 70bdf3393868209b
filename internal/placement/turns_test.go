package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/route"
)

// fullDesk is a core with one plain upstream, which is full.
type fullDesk struct {
	core    *Core
	now     time.Time
	last    Ticket
	request map[Ticket]Request
	// running are the granted requests that have not ended, in order.
	running []Ticket
	// refused are the accounts of the refused requests.
	refused  []route.AccountName
	overtook int
}

// newFullDesk returns a core whose upstream is full of requests of no account.
func newFullDesk() *fullDesk {
	table := &route.Table{Services: []route.Service{{Name: "desk"}}}
	table.Index()
	v := &route.View{Table: table, DataCentresOut: map[route.DataCentre]bool{}, Upstreams: []route.Upstream{
		{ID: "u", Service: "desk", Address: "10.0.0.1:80", DataCentre: "a", Slots: 4},
	}}
	d := &fullDesk{core: newCore(v, 1), now: start, request: map[Ticket]Request{}}
	for d.core.Waiting() == 0 {
		d.ask("", 0)
	}
	d.handle(Cancelled{d.last})
	return d
}

func (d *fullDesk) ask(account route.AccountName, rank route.Rank) Ticket {
	d.last++
	d.request[d.last] = Request{
		Service: "desk", Rank: rank, Account: account, Objective: 2 * time.Second, Deadline: d.now.Add(10 * time.Second),
	}
	d.handle(Enqueue{d.last, d.request[d.last]})
	return d.last
}

// handle returns the requests that the message has caused to be granted.
func (d *fullDesk) handle(m Message) []Ticket {
	var granted []Ticket
	for _, e := range d.core.Handle(d.now, m) {
		switch e := e.(type) {
		case Grant:
			granted = append(granted, e.Ticket)
			if e.Overtook {
				d.overtook++
			}
		case Refuse:
			d.refused = append(d.refused, d.request[e.Ticket].Account)
		}
	}
	d.running = append(d.running, granted...)
	return granted
}

// release ends the oldest running request and returns the one that is granted its place.
func (d *fullDesk) release(t *testing.T) Ticket {
	t.Helper()
	d.now = d.now.Add(time.Millisecond)
	ended := d.running[0]
	d.running = d.running[1:]
	granted := d.handle(Done{ended, Served})
	assert.Equal(t, len(granted), 1, "a free place was not granted to exactly one request")
	return granted[0]
}

// Requests of a single account, or of none, must be granted by rank and arrival alone.
func TestOneAccountIsServedInOrderOfArrival(t *testing.T) {
	for _, account := range []route.AccountName{"", "one"} {
		t.Run(string(account), func(t *testing.T) {
			d, random := newFullDesk(), rand.New(rand.NewPCG(1, 2))
			var want []Ticket
			for range 200 {
				d.now = d.now.Add(time.Millisecond)
				want = append(want, d.ask(account, route.Rank(random.IntN(3))))
			}
			slices.SortStableFunc(want, func(a, b Ticket) int { return int(d.request[a].Rank) - int(d.request[b].Rank) })
			for n, w := range want {
				assert.Equal(t, d.release(t), w, "grant %d", n)
			}
			assert.Equal(t, d.overtook, 0)
		})
	}
}

// Requests that arrive after a flood of another account must not wait behind it, and
// accounts with equal use must get equal numbers of grants.
func TestAccountsTakeTurns(t *testing.T) {
	d := newFullDesk()
	for range 100 {
		d.ask("flood", 0)
	}
	d.now = d.now.Add(time.Millisecond)
	d.release(t)
	rare := d.ask("rare", 0)
	var first []Ticket
	for range 10 {
		first = append(first, d.ask("other", 0))
	}
	assert.Equal(t, d.release(t), rare, "the rare request waits behind the flood")
	assert.Equal(t, d.overtook, 1)
	granted := map[route.AccountName]int{}
	var others []Ticket
	for range 18 {
		g := d.release(t)
		granted[d.request[g].Account]++
		if d.request[g].Account == "other" {
			others = append(others, g)
		}
	}
	assert.Assert(t, granted["other"] >= 9 && granted["flood"] >= 8, "grants are %v", granted)
	assert.DeepEqual(t, others, first[:len(others)])
}

// The rank comes before the turn: a rarely asked account does not overtake more urgent
// requests.
func TestTurnsStayWithinRank(t *testing.T) {
	d := newFullDesk()
	rare := d.ask("rare", 1)
	for range 20 {
		d.ask("flood", 0)
	}
	for range 20 {
		assert.Equal(t, d.request[d.release(t)].Account, route.AccountName("flood"))
	}
	assert.Equal(t, d.release(t), rare)
}

// A flood must be refused at its own expense.
func TestFloodIsRefused(t *testing.T) {
	d := newFullDesk()
	for range 4000 {
		d.ask("flood", 0)
	}
	for n := range 300 {
		d.now = d.now.Add(9 * time.Millisecond)
		if n%4 == 0 {
			d.ask(route.AccountName(fmt.Sprint("calm-", n%5)), 0)
		}
		d.release(t)
		if d.core.Waiting() == 0 {
			break
		}
	}
	assert.Assert(t, len(d.refused) > 3000, "only %d were refused", len(d.refused))
	for _, a := range d.refused {
		assert.Equal(t, a, route.AccountName("flood"))
	}
}

// An account whose large request is in flight must not be starved by accounts that have
// used nothing: its next request is granted before its wait is over.
func TestLargeUseDoesNotStarve(t *testing.T) {
	d := newFullDesk()
	s := d.core.shareOf(d.now, &Request{Service: "desk", Account: "large"})
	s.begin(d.now, 20_000)
	d.now = d.now.Add(time.Millisecond)
	large := d.ask("large", 0)
	var grantedAt time.Duration
	asked := d.now
	for n := range 200 {
		d.now = d.now.Add(9 * time.Millisecond)
		for m := range 2 {
			d.ask(route.AccountName(fmt.Sprint("new-", n, "-", m)), 0)
		}
		if d.release(t) == large {
			grantedAt = d.now.Sub(asked)
			break
		}
	}
	assert.Assert(t, grantedAt > 0, "the request was never granted")
	assert.Assert(t, grantedAt < 1200*time.Millisecond, "the request was granted after %s", grantedAt)
	s.end(d.now, 20_000, true)
}

// An account gets this precedence at most once in that time, or a flood, whose requests all
// wait for long, would keep it.
func TestOverdueFloodIsNotAhead(t *testing.T) {
	d := newFullDesk()
	for range 300 {
		d.ask("flood", 0)
	}
	d.release(t)
	d.now = d.now.Add(time.Second)
	rare := d.ask("rare", 0)
	assert.Equal(t, d.release(t), rare)
}

// An account that has stopped must get its turn as any other, and must not be kept in memory.
func TestStoppedAccountIsForgotten(t *testing.T) {
	d := newFullDesk()
	for range 500 {
		d.ask("stops", 0)
	}
	for range 400 {
		d.release(t)
	}
	for d.core.Waiting() > 0 {
		d.now = d.now.Add(100 * time.Millisecond)
		d.handle(Ticked{})
	}
	for _, ticket := range d.running {
		d.handle(Done{ticket, Served})
	}
	assert.Assert(t, d.core.shareOf(d.now, &Request{Service: "desk", Account: "stops"}).workAt(d.now) > 100)
	d.now = d.now.Add(time.Minute)
	assert.Assert(t, d.core.shareOf(d.now, &Request{Service: "desk", Account: "stops"}).workAt(d.now) < 1)
	for n := range 10_000 {
		d.core.shareOf(d.now, &Request{Service: "desk", Account: route.AccountName(fmt.Sprint(n))})
	}
	assert.Assert(t, len(d.core.shares) <= minForgottenShares, "%d shares are kept", len(d.core.shares))
}

// A withdrawn request was never sent and must not count for the turn.
func TestWithdrawnRequestDoesNotCount(t *testing.T) {
	d := newFullDesk()
	d.handle(Done{d.running[0], Served})
	d.running = d.running[1:]
	ticket := d.ask("one", 0)
	s := d.core.shareOf(d.now, &Request{Service: "desk", Account: "one"})
	assert.Equal(t, s.workAt(d.now), 1.0)
	d.handle(Done{ticket, Withdrawn})
	assert.Equal(t, s.workAt(d.now), 0.0)
}

// BenchmarkFullQueue measures a pass over a queue of 4000 requests while the upstream is full.
func BenchmarkFullQueue(b *testing.B) {
	for _, accounts := range []int{1, 300} {
		b.Run(fmt.Sprint(accounts), func(b *testing.B) {
			d := newFullDesk()
			for n := range 4000 {
				d.ask(route.AccountName(fmt.Sprint(n%accounts)), 0)
			}
			for b.Loop() {
				d.core.schedule(d.now)
			}
		})
	}
}
