package admission

import (
	"fmt"
	"testing"
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// BenchmarkHandle measures one request from its offer to its end at a full
// upstream with 1,000 parked offers: four messages, one of which selects the
// next grant.
func BenchmarkHandle(b *testing.B) {
	const waiting = 1000
	row := table.Upstream{Limit: 32, ColdLimit: 32, State: table.In}
	c := &Core{Upstream: row, MaxParked: 2 * waiting}
	classes := []table.Class{booth, notice, summary}
	now := epoch
	next := OfferID(0)
	offer := func() {
		next++
		c.Handle(now, Offered{
			ID: next, Account: table.AccountName(fmt.Sprint("account_", next%200)),
			Class: classes[next%3], Weight: 1, Arrived: now, Deadline: now.Add(time.Hour),
		})
	}
	for c.State().Parked < waiting {
		offer()
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		offer()
		id := c.inFlight[0].ID
		c.Handle(now, BodyReceived{ID: id})
		c.Handle(now, FirstTokenReceived{ID: id, After: 100 * time.Millisecond})
		c.Handle(now, Finished{ID: id, Clean: true, Tokens: 50, TokenGap: 20 * time.Millisecond})
	}
}

// BenchmarkPark parks 1,000 offers of as many client accounts. Its allocated
// bytes divided by 1,000 are the memory that a parked offer takes.
func BenchmarkPark(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		c := &Core{Upstream: table.Upstream{Limit: 1, State: table.In}}
		for n := range 1001 {
			c.Handle(epoch, Offered{
				ID: OfferID(n), Account: table.AccountName(fmt.Sprint("account_", n)),
				Class: notice, Weight: 1, Arrived: epoch, Deadline: epoch.Add(time.Hour),
			})
		}
	}
}
