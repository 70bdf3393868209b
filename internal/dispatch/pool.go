package dispatch

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// HeartbeatTimeout is how long a sidecar may send no report before it gets no
// more offers and its attempts are abandoned. Reports serve as heartbeats.
const HeartbeatTimeout = 1500 * time.Millisecond

// pauseGap is the minimum time between two calls on the pool that counts as a
// pause of the gateway process. Normally reports arrive several times a second,
// and checks for silent sidecars are as frequent.
const pauseGap = time.Second

// Report is the state that a sidecar last reported.
type Report struct {
	Refusing    result.Code
	Limit       int
	InFlight    int
	Parked      int
	Cold        bool
	Incarnation fleet.Incarnation
	// UpstreamSilent reports that the upstream answers no health checks.
	UpstreamSilent bool
}

// Member is a gateway's view of a sidecar.
type Member struct {
	Candidate  Candidate
	Row        table.Upstream
	DataCentre table.DataCentreName
	// OutCode is why the table or the VM list excludes the sidecar from new
	// work, or OK.
	OutCode    result.Code
	Report     Report
	ReportedAt time.Time
	// OpenOffers counts this gateway's own offers in progress at the sidecar.
	OpenOffers int
}

// RefusalCode returns why the member gets no offers, or OK if it is available.
func (m *Member) RefusalCode(now time.Time) result.Code {
	switch {
	case m.OutCode != result.OK:
		return m.OutCode
	case m.ReportedAt.IsZero() || now.Sub(m.ReportedAt) > HeartbeatTimeout:
		return result.SidecarUnreached
	default:
		return m.Report.Refusing
	}
}

// load returns the share of the upstream's capacity that is in use, divided by
// its weight. OpenOffers is included because the last report does not yet show
// the offers made since.
func (m *Member) load() float64 {
	limit := max(m.Report.Limit, 1)
	return float64(m.busy()+1) / float64(limit) / float64(m.weight())
}

// busy returns the number of requests that run or wait at the upstream.
func (m *Member) busy() int { return max(m.Report.InFlight, m.OpenOffers) + m.Report.Parked }

func (m *Member) weight() int { return int(max(m.Row.Weight, 1)) }

// Pool holds the members to which a gateway may offer requests. It is safe for
// concurrent use.
type Pool struct {
	// Seed seeds the random choice between members of equal load.
	Seed uint64

	mu      sync.Mutex
	members map[Candidate]*Member
	// sorted holds the members by VM name, so that Pick compares them in a
	// fixed order.
	sorted []*Member
	// leaving holds the members that have left the pool while this gateway had open
	// offers at them. They get no more offers, but their reports still count.
	leaving map[Candidate]*Member
	random  *rand.Rand
	// lastCall is the time of the last SetReport or Silent call. resumedAt is
	// the time of the last such call that followed a pause.
	lastCall, resumedAt time.Time
}

// detectPause notices a gap in the calls made by this process's own tasks. While
// the process is paused it receives no reports, so the gap must not count as
// silence of the sidecars.
func (p *Pool) detectPause(now time.Time) {
	if !p.lastCall.IsZero() && now.Sub(p.lastCall) > pauseGap {
		p.resumedAt = now
	}
	p.lastCall = now
}

// silent reports whether a member has sent nothing for longer than
// HeartbeatTimeout while this process was running.
func (p *Pool) silent(now time.Time, m *Member) bool {
	if m.ReportedAt.IsZero() {
		return true
	}
	since := m.ReportedAt
	if p.resumedAt.After(since) {
		since = p.resumedAt
	}
	return now.Sub(since) > HeartbeatTimeout
}

// Set replaces the members of the pool. Members that stay keep their report and
// their open offers, and so do those that leave until their open offers have ended.
func (p *Pool) Set(members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := make(map[Candidate]*Member, len(members))
	order := make([]*Member, 0, len(members))
	for _, m := range members {
		if old := p.member(m.Candidate); old != nil {
			m.Report, m.ReportedAt, m.OpenOffers = old.Report, old.ReportedAt, old.OpenOffers
			delete(p.leaving, m.Candidate)
		}
		fresh[m.Candidate] = &m
		order = append(order, &m)
	}
	sort.Slice(order, func(i, j int) bool { return order[i].Candidate.VM < order[j].Candidate.VM })
	for c, m := range p.members {
		if fresh[c] == nil && m.OpenOffers > 0 {
			p.keepLeaving(m)
		}
	}
	p.members, p.sorted = fresh, order
}

func (p *Pool) keepLeaving(m *Member) {
	if p.leaving == nil {
		p.leaving = make(map[Candidate]*Member)
	}
	p.leaving[m.Candidate] = m
}

// member returns a member, also one that is leaving, or nil.
func (p *Pool) member(c Candidate) *Member {
	if m := p.members[c]; m != nil {
		return m
	}
	return p.leaving[c]
}

// Watched reports whether the reports of a candidate count: it is in the pool, or
// has left it and this gateway has open offers at it.
func (p *Pool) Watched(c Candidate) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.member(c) != nil
}

// SetReport stores a candidate's report. It ignores candidates that are not
// watched.
func (p *Pool) SetReport(now time.Time, c Candidate, r Report) {
	p.withMember(c, func(m *Member) {
		p.detectPause(now)
		m.Report = r
		m.ReportedAt = now
	})
}

// AddOffer adds an offer to the candidate's open offers.
func (p *Pool) AddOffer(c Candidate) { p.withMember(c, func(m *Member) { m.OpenOffers++ }) }

// RemoveOffer removes an offer from the candidate's open offers.
func (p *Pool) RemoveOffer(c Candidate) {
	p.withMember(c, func(m *Member) {
		m.OpenOffers--
		if m.OpenOffers == 0 {
			delete(p.leaving, c)
		}
	})
}

func (p *Pool) withMember(c Candidate, f func(*Member)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.member(c); m != nil {
		f(m)
	}
}

// Members returns a copy of all members, sorted by VM name.
func (p *Pool) Members() []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]Member, 0, len(p.members))
	for _, m := range p.sorted {
		all = append(all, *m)
	}
	return all
}

// Silent reports whether the candidate has sent no report for longer than
// HeartbeatTimeout, says that its upstream is silent, or is not watched.
func (p *Pool) Silent(now time.Time, c Candidate) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detectPause(now)
	m := p.member(c)
	return m == nil || m.Report.UpstreamSilent || p.silent(now, m)
}

// RefusalCode returns why a candidate gets no offers, or OK if it is available.
func (p *Pool) RefusalCode(now time.Time, c Candidate) result.Code {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[c]
	if m == nil {
		return result.SidecarUnreached
	}
	return m.RefusalCode(now)
}

// Pick returns the available candidate with the least load that is of the given
// kind, serves s and is not in tried. Cold candidates at their limit come last,
// because a cold upstream can take only little load.
//
// If that candidate is idle, Pick chooses among all idle ones by weight. Otherwise
// single requests would all go to the largest upstream, and a cold one, whose limit is
// small, would stay cold.
func (p *Pool) Pick(now time.Time, kind table.UpstreamKind, s table.ServiceName, tried map[Candidate]bool) (Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *Member
	equals := 0
	var idle []*Member
	for _, m := range p.sorted {
		if tried[m.Candidate] || !m.Row.CanServe(kind, s) || m.RefusalCode(now) != result.OK {
			continue
		}
		if m.busy() == 0 {
			idle = append(idle, m)
		}
		switch order := compare(m, best); {
		case order < 0:
			best, equals = m, 1
		case order == 0:
			equals++
			if p.randomBelow(equals) == 0 {
				best = m
			}
		}
	}
	switch {
	case best == nil:
		return Candidate{}, false
	case best.busy() == 0 && len(idle) > 1:
		best = p.pickByWeight(idle)
	}
	return best.Candidate, true
}

// pickByWeight returns a random member with a probability in proportion to its weight.
func (p *Pool) pickByWeight(members []*Member) *Member {
	total := 0
	for _, m := range members {
		total += m.weight()
	}
	left := p.randomBelow(total)
	for _, m := range members {
		if left -= m.weight(); left < 0 {
			return m
		}
	}
	return members[0]
}

// randomBelow returns a random number in [0, n). Pick replaces its choice by the
// nth equal member if the number is 0, which gives all equal members the same
// probability.
func (p *Pool) randomBelow(n int) int {
	if p.random == nil {
		p.random = rand.New(rand.NewPCG(p.Seed, p.Seed))
	}
	return p.random.IntN(n)
}

func compare(m, best *Member) int {
	if best == nil {
		return -1
	}
	if a, b := coldAndFull(m), coldAndFull(best); a != b {
		if b {
			return -1
		}
		return 1
	}
	switch a, b := m.load(), best.load(); {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func coldAndFull(m *Member) bool {
	return m.Report.Cold && max(m.Report.InFlight, m.OpenOffers) >= m.Report.Limit
}
