package admission

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// message returns a random message, which may name an offer in the wrong phase.
func (m *model) message() Message {
	if m.refusalCode() != result.OK && m.random.IntN(20) == 0 {
		return m.recover()
	}
	id := OfferID(m.random.Uint64N(uint64(m.next) + 2))
	if ids := m.core.inFlight; len(ids) > 0 && m.random.IntN(10) > 0 {
		id = ids[m.random.IntN(len(ids))].ID
	}
	switch n := m.random.IntN(1000); {
	case n < 350:
		return m.offer()
	case n < 600:
		return BodyReceived{ID: id}
	case n < 800:
		gap := time.Duration(m.random.IntN(40)) * time.Millisecond
		return Finished{
			ID: id, Clean: m.random.IntN(10) > 0, Cancelled: m.random.IntN(20) == 0,
			Tokens: table.Tokens(m.random.IntN(300)), TokenGap: gap,
		}
	case n < 850:
		return FirstTokenReceived{ID: id, After: time.Duration(m.random.IntN(400)) * time.Millisecond}
	case n < 900:
		return Withdrawn{ID: OfferID(m.random.Uint64N(uint64(m.next) + 2))}
	case n < 985:
		return Ticked{}
	case n < 990:
		row := table.Upstream{Limit: 1 + m.random.IntN(20), ColdLimit: 1 + m.random.IntN(3), State: table.In}
		if m.random.IntN(4) == 0 {
			row.State = table.Out
		}
		return Configured{Upstream: row, DataCentreOut: m.random.IntN(4) == 0}
	case n < 997:
		return HealthChanged{Up: m.random.IntN(3) > 0, Restarted: m.random.IntN(4) == 0}
	}
	return PauseEnded{}
}

// recover returns a message that removes one reason to refuse work.
func (m *model) recover() Message {
	if m.unhealthy {
		return HealthChanged{Up: true}
	}
	row := m.row
	row.State = table.In
	return Configured{Upstream: row}
}

func (m *model) offer() Offered {
	classes := []table.Class{booth, booth, notice, summary}
	accounts := []table.AccountName{"large", "large", "small", "ward"}
	class := classes[m.random.IntN(len(classes))]
	arrived := m.now.Add(-time.Duration(m.random.IntN(1000)) * time.Millisecond)
	left := time.Duration(m.random.Int64N(int64(class.Deadline / 4)))
	m.next++
	return Offered{
		ID: m.next, Account: accounts[m.random.IntN(len(accounts))], Class: class, Weight: 1,
		Arrived: arrived, Deadline: m.now.Add(left), Suspect: m.random.IntN(40) == 0,
	}
}
