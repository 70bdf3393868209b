package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// model tracks a core by its messages and effects, and fails on the first step
// that breaks an invariant.
type model struct {
	t              *testing.T
	random         *rand.Rand
	core           *Core
	now            time.Time
	next           OfferID
	row            table.Upstream
	leaving        bool
	dataCentreOut  bool
	unhealthy      bool
	parked         map[OfferID]Offered
	granted        map[OfferID]Offered
	running        map[OfferID]Offered
	grantExpiresAt map[OfferID]time.Time
	// sinceStarvationGrant totals all grants since a tier's last
	// anti-starvation grant, and whileOverdue those made while the tier has an
	// overdue offer parked.
	sinceStarvationGrant map[table.Tier]grantTotals
	whileOverdue         map[table.Tier]grantTotals
	// lastOffer is when a tier last sent an offer.
	lastOffer map[table.Tier]time.Time
	ended     map[OfferID]bool
	lastState State
	lastStep  Message
	// coverage counts the situations that the sessions reached.
	coverage map[string]int
}

const propertyMaxParked = 12

// grantTotals counts grants and the tokens charged for them.
type grantTotals struct {
	grants int
	tokens float64
}

func (g grantTotals) add(tokens float64) grantTotals {
	return grantTotals{g.grants + 1, g.tokens + tokens}
}

func newModel(t *testing.T, seed uint64, coverage map[string]int) *model {
	row := table.Upstream{Limit: 10, ColdLimit: 2, State: table.In}
	return &model{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), now: epoch, row: row,
		core:   &Core{Upstream: row, MaxParked: propertyMaxParked},
		parked: map[OfferID]Offered{}, granted: map[OfferID]Offered{}, running: map[OfferID]Offered{},
		grantExpiresAt: map[OfferID]time.Time{}, ended: map[OfferID]bool{},
		lastOffer: map[table.Tier]time.Time{}, sinceStarvationGrant: map[table.Tier]grantTotals{}, whileOverdue: map[table.Tier]grantTotals{},
		coverage: coverage, lastState: State{Limit: row.ColdLimit, Cold: true},
	}
}

func (m *model) check(ok bool, format string, args ...any) {
	m.t.Helper()
	if !ok {
		m.t.Fatalf("%s: after %T%+v at %s", fmt.Sprintf(format, args...), m.lastStep, m.lastStep, m.now.Sub(epoch))
	}
}

func (m *model) refusalCode() result.Code {
	switch {
	case m.leaving:
		return result.UpstreamLeaving
	case m.dataCentreOut:
		return result.DataCentreOut
	case m.row.State == table.Out:
		return result.UpstreamOut
	case m.unhealthy:
		return result.UpstreamUnhealthy
	}
	return result.OK
}

// step sends a message and checks its effects against the model.
func (m *model) step(msg Message) {
	m.lastStep = msg
	was := m.refusalCode()
	offered, isOffer := msg.(Offered)
	fresh := isOffer && !m.known(offered.ID)
	if fresh {
		m.parked[offered.ID] = offered
		if was == result.OK && m.now.Before(offered.Deadline) {
			m.lastOffer[offered.Class.Tier] = m.now
		}
	}
	m.apply(msg)
	answers, grants := 0, 0
	for _, e := range m.core.Handle(m.now, msg) {
		id := OfferID(0)
		switch e := e.(type) {
		case Grant:
			id = e.ID
			grants++
			m.grant(e.ID)
		case Park:
			id = e.ID
			m.check(m.has(m.parked, e.ID), "park %d", e.ID)
		case Refuse:
			id = e.ID
			m.refuse(e)
		}
		if fresh && id == offered.ID {
			answers++
		}
	}
	m.check(!fresh || answers == 1, "%d answers to an offer", answers)
	m.checkState(msg, was, grants)
}

// apply updates the model from the message itself.
func (m *model) apply(msg Message) {
	switch msg := msg.(type) {
	case Withdrawn:
		if m.has(m.parked, msg.ID) || m.has(m.granted, msg.ID) {
			m.end(msg.ID)
		}
	case BodyReceived:
		if o, ok := m.granted[msg.ID]; ok && m.now.Before(m.grantExpiresAt[msg.ID]) {
			delete(m.granted, msg.ID)
			m.running[msg.ID] = o
		}
	case Finished:
		if m.has(m.running, msg.ID) || m.has(m.granted, msg.ID) {
			m.end(msg.ID)
		}
	case Configured:
		m.row, m.dataCentreOut = msg.Upstream, msg.DataCentreOut
	case HealthChanged:
		m.unhealthy = !msg.Up
	case LeaveRequested:
		m.leaving = true
	}
}

func (m *model) grant(id OfferID) {
	o, ok := m.parked[id]
	m.check(ok, "grant of %d, which is not parked", id)
	m.check(m.refusalCode() == result.OK, "grant of %d while refusing", id)
	tier := o.Class.Tier
	if len(m.granted)+len(m.running) >= m.openSlots(tier) {
		m.check(m.overdue(o), "a slot reserved for higher tiers went to tier %d", tier)
	}
	cost := m.core.offers[id].cost
	others := o.Class.StarvationShare - 1
	for _, p := range m.parked {
		if p.Class.Tier < tier && !m.blockedBySuspect(p) {
			m.check(m.overdue(o), "grant of tier %d before tier %d", tier, p.Class.Tier)
			last := m.sinceStarvationGrant[tier]
			m.check(last.grants >= others && last.tokens >= float64(others)*cost, "tier %d received an anti-starvation grant too early, after %v (grants, tokens)", tier, last)
			delete(m.sinceStarvationGrant, tier)
			m.coverage["anti_starvation"]++
			break
		}
	}
	for t := table.Tier(1); t <= 3; t++ {
		m.sinceStarvationGrant[t] = m.sinceStarvationGrant[t].add(cost)
		m.whileOverdue[t] = m.whileOverdue[t].add(cost)
	}
	m.whileOverdue[tier] = grantTotals{}
	delete(m.parked, id)
	m.granted[id] = o
	m.grantExpiresAt[id] = m.now.Add(DefaultGrantTimeout)
	for t := table.Tier(1); t <= 3; t++ {
		if !m.hasOverdue(t) {
			m.whileOverdue[t] = grantTotals{}
		}
		// Besides its own anti-starvation grant, those of two other tiers may
		// come first.
		long := m.whileOverdue[t].tokens > float64(summary.MaxTokens*table.Tokens(others+2))
		m.check(m.whileOverdue[t].grants <= others+3 || !long, "tier %d starves", t)
	}
}

func (m *model) refuse(e Refuse) {
	o, waits := m.parked[e.ID]
	m.check(waits || m.has(m.granted, e.ID), "refusal of %d, which is neither parked nor granted", e.ID)
	switch e.Code {
	case result.SidecarQueueFull, result.SidecarEvicted:
		m.check(len(m.parked) > propertyMaxParked, "shed with %d parked", len(m.parked))
		for _, p := range m.parked {
			m.check(p.Class.Tier <= o.Class.Tier, "tier %d shed while tier %d has parked offers", o.Class.Tier, p.Class.Tier)
			m.check(p.Class.Tier != o.Class.Tier || !p.Arrived.After(o.Arrived) || p.ID == e.ID || o.ID == m.next,
				"shed %d, which is not the newest", e.ID)
		}
	case result.DeadlinePassed:
		m.check(waits && !m.now.Before(o.Deadline), "%d refused before its deadline", e.ID)
	case result.GrantLapsed:
		m.check(!waits && !m.now.Before(m.grantExpiresAt[e.ID]), "grant of %d expired early", e.ID)
	case result.UpstreamUnhealthy:
		m.check(m.unhealthy || !waits, "%d refused while healthy", e.ID)
	default:
		m.check(e.Code == m.refusalCode(), "unexpected refusal code %s", e.Code)
	}
	m.coverage[e.Code.String()]++
	m.end(e.ID)
}

// checkState checks the invariants that hold between messages.
func (m *model) checkState(msg Message, was result.Code, grants int) {
	s, old := m.core.State(), m.lastState
	m.lastState = s
	inFlight := len(m.granted) + len(m.running)
	m.check(s.Refusing == m.refusalCode(), "state reports refusal code %s", s.Refusing)
	m.check(s.InFlight == inFlight && s.Parked == len(m.parked), "state is %+v, want %d in flight and %d parked", s, inFlight, len(m.parked))
	m.check(s.Limit >= 1 && s.Limit <= m.row.Limit, "limit %d is not between 1 and %d", s.Limit, m.row.Limit)
	m.check(grants == 0 || inFlight <= s.Limit, "%d in flight exceed the limit of %d", inFlight, s.Limit)
	m.check(s.Refusing == result.OK || len(m.parked)+len(m.granted) == 0, "offers remain while work is refused")
	suspects := m.suspects(m.granted) + m.suspects(m.running)
	m.coverage["suspect"] += suspects
	if !s.Cold && s.Limit == m.row.Limit {
		m.coverage["warm"]++
	}
	if !s.Cold && s.Limit < m.row.Limit {
		m.coverage["cut"]++
	}
	m.check(suspects <= 1, "%d suspects in flight at once", suspects)
	highest, waits := m.highestParked()
	idle := s.Refusing == result.OK && waits && inFlight < m.openSlots(highest)
	m.check(!idle, "a slot is free while offers are parked")
	for id := range m.running {
		m.check(m.core.Runs(id), "%d does not run", id)
	}
	finished, isFinished := msg.(Finished)
	_, isConfigured := msg.(Configured)
	if s.Cold && old.Cold && s.Limit > old.Limit {
		m.check(isConfigured || (isFinished && finished.Clean), "cold limit grew without a clean end or a new row")
	}
	health, _ := msg.(HealthChanged)
	_, paused := msg.(PauseEnded)
	back := was != result.OK && s.Refusing == result.OK
	if health.Restarted || paused || back || (s.Cold && !old.Cold) {
		m.check(s.Cold && s.Limit == min(m.row.ColdLimit, m.row.Limit), "want a cold state, got %+v", s)
	}
}

func (m *model) has(set map[OfferID]Offered, id OfferID) bool {
	_, ok := set[id]
	return ok
}

func (m *model) known(id OfferID) bool {
	return m.has(m.parked, id) || m.has(m.granted, id) || m.has(m.running, id)
}

func (m *model) end(id OfferID) {
	m.check(!m.ended[id], "%d ended twice", id)
	m.ended[id] = true
	delete(m.parked, id)
	delete(m.granted, id)
	delete(m.running, id)
}

func (m *model) overdue(o Offered) bool { return m.now.Sub(o.Arrived) > o.Class.MaxWait }

func (m *model) hasOverdue(t table.Tier) bool {
	for _, o := range m.parked {
		if o.Class.Tier == t && m.overdue(o) && !m.blockedBySuspect(o) {
			return true
		}
	}
	return false
}

// openSlots returns how many slots a tier may fill: all but those reserved for
// a higher tier that sent an offer recently.
func (m *model) openSlots(tier table.Tier) int {
	limit := m.core.State().Limit
	for t, last := range m.lastOffer {
		if t < tier && m.now.Sub(last) < reserveWindow {
			m.coverage["reserve"]++
			return limit - limit/DefaultReserveShare
		}
	}
	return limit
}

// highestParked returns the highest tier that waits for a slot rather than for
// the end of a suspect.
func (m *model) highestParked() (highest table.Tier, waits bool) {
	highest = summary.Tier
	for _, o := range m.parked {
		if !m.blockedBySuspect(o) {
			highest, waits = min(highest, o.Class.Tier), true
		}
	}
	return highest, waits
}

// blockedBySuspect reports whether an offer is a suspect while another suspect
// is in flight.
func (m *model) blockedBySuspect(o Offered) bool {
	return o.Suspect && m.suspects(m.granted)+m.suspects(m.running) > 0
}

func (m *model) suspects(set map[OfferID]Offered) int {
	n := 0
	for _, o := range set {
		if o.Suspect {
			n++
		}
	}
	return n
}

func TestRandomSessions(t *testing.T) {
	coverage := map[string]int{}
	for seed := range uint64(100) {
		m := newModel(t, seed, coverage)
		for range 1500 {
			m.now = m.now.Add(time.Duration(m.random.IntN(80)) * time.Millisecond)
			if m.random.IntN(100) == 0 {
				m.now = m.now.Add(3 * time.Second)
			}
			m.step(m.message())
		}
		m.step(LeaveRequested{})
		for _, id := range inFlightIDs(m.core) {
			m.step(Finished{ID: id, Clean: true})
		}
		assert.Equal(t, len(m.ended), int(m.next), "seed %d: an offer never ended", seed)
		assert.Equal(t, len(m.core.offers), 0)
		for _, tier := range m.core.queue.tiers {
			assert.Equal(t, len(tier.classes.members), 0, "seed %d: idle shares remain", seed)
		}
	}
	t.Log(coverage)
	reached := []string{
		"anti_starvation", "suspect", "reserve", "warm", "cut", "grant_lapsed", "deadline_passed", "sidecar_queue_full",
		"sidecar_evicted", "upstream_leaving", "data_centre_out", "upstream_out", "upstream_unhealthy",
	}
	for _, what := range reached {
		assert.Assert(t, coverage[what] > 0, "no session reached %s", what)
	}
}

func inFlightIDs(c *Core) []OfferID {
	var ids []OfferID
	for _, o := range c.inFlight {
		ids = append(ids, o.ID)
	}
	return ids
}
