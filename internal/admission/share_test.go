package admission

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/pkg/table"
)

// letter is a second class of tier 2.
var letter = table.Class{
	Name: "letter", Tier: 2, Weight: 1, FirstToken: notice.FirstToken, Deadline: notice.Deadline,
	MaxWait: notice.MaxWait, MaxTokens: 400,
}

// oneSlot starts a session in which the only slot is taken, so that further
// offers wait.
func oneSlot(t *testing.T) *session {
	s := newSession(t, 1, 1)
	s.core.FairSlack = 1
	s.warmQuietly(booth)
	s.offer(booth, "vendor", 1)
	s.run()
	return s
}

func TestClassesShareATier(t *testing.T) {
	s := oneSlot(t)
	s.note("three accounts of one class do not reduce the share of another class with one account")
	for _, a := range []table.AccountName{"a", "b", "c"} {
		s.offer(notice, a, 4)
	}
	s.offer(letter, "ward", 6)
	got := map[table.ClassName]int{}
	for range 8 {
		s.finish(1, Finished{Clean: true})
		got[s.core.inFlight[0].Class.Name]++
	}
	assert.DeepEqual(t, got, map[table.ClassName]int{"notice": 4, "letter": 4})
	s.golden()
}

func TestChargesWhatRan(t *testing.T) {
	s := oneSlot(t)
	s.note("wordy produces 1,200 tokens where 400 were estimated, terse 400: one grant in four")
	s.offer(letter, "wordy", 8)
	s.offer(letter, "terse", 8)
	got := map[table.AccountName]int{}
	for range 9 {
		tokens := table.Tokens(400)
		if s.core.inFlight[0].Account == "wordy" {
			tokens = 1200
		}
		s.finish(1, Finished{Clean: true, Tokens: tokens})
		got[s.core.inFlight[0].Account]++
	}
	assert.DeepEqual(t, got, map[table.AccountName]int{"wordy": 3, "terse": 6})
	s.golden()
}

func TestUnusedGrantsCostNothing(t *testing.T) {
	s := oneSlot(t)
	s.offer(letter, "picky", 3)
	s.offer(letter, "ward", 3)
	s.note("picky withdraws its grants, is not charged and keeps its place")
	s.send(Finished{ID: 101, Clean: true})
	s.send(Withdrawn{ID: 102})
	s.send(Withdrawn{ID: 103})
	assert.Equal(t, s.core.inFlight[0].ID, OfferID(104))
	s.golden()
}

func TestEstimates(t *testing.T) {
	var e estimates
	assert.Equal(t, e.predict(letter, "ward", 0), 400.0)
	assert.Equal(t, e.predict(letter, "ward", 90), 90.0)
	e.observe("letter", "ward", 200)
	e.observe("letter", "terse", 50)
	tests := []struct {
		account table.AccountName
		cost    table.Tokens
		want    float64
	}{
		{"ward", 0, 200},
		{"terse", 0, 50},
		{"ward", 120, 120},
		{"unknown", 0, 170},
	}
	for _, tt := range tests {
		assert.Equal(t, e.predict(letter, tt.account, tt.cost), tt.want, "%s", tt.account)
	}
}

// Sends requests from 5,300 accounts, as many as a large fleet has. Only active
// accounts and a bounded number of idle ones may be kept.
func TestMemoryOfAccountsIsBounded(t *testing.T) {
	const accounts = 5300
	c := &Core{Upstream: table.Upstream{Limit: 2, ColdLimit: 2, State: table.In}}
	c.Handle(epoch, Offered{ID: 1, Account: "steady", Class: letter})
	c.Handle(epoch, BodyReceived{ID: 1})
	for n := range accounts {
		id := OfferID(n + 2)
		c.Handle(epoch, Offered{ID: id, Account: table.AccountName(fmt.Sprint(n)), Class: letter})
		c.Handle(epoch, BodyReceived{ID: id})
		c.Handle(epoch, Finished{ID: id, Clean: true, Tokens: 400})
	}
	members := c.offers[1].class.accounts.members
	assert.Assert(t, len(members) <= 2*maxIdleShares, "%d shares", len(members))
	assert.Assert(t, len(c.estimates.entries) <= maxEstimates, "%d estimates", len(c.estimates.entries))
	assert.Equal(t, len(c.estimates.entries), c.estimates.recency.Len())
}
