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

// HeartbeatTimeout is how long a sidecar may send no report before it is not
// offered to and its attempts are given up.
const HeartbeatTimeout = 1500 * time.Millisecond

// pauseGap is the gap between calls on the pool that counts as a pause of the
// gateway: reports come several times a second, as do checks for silence.
const pauseGap = time.Second

// Report is what a sidecar last said of itself.
type Report struct {
	Refusing    result.Code
	Limit       int
	InFlight    int
	Parked      int
	Cold        bool
	Incarnation fleet.Incarnation
}

// Member is a sidecar as a gateway sees it.
type Member struct {
	Candidate  Candidate
	Row        table.Upstream
	DataCentre table.DataCentreName
	// OutCode is the table's or VM list's word that it takes no new work.
	OutCode    result.Code
	Report     Report
	ReportedAt time.Time
	// OpenOffers counts this gateway's own offers under way there.
	OpenOffers int
}

// RefusalCode gives the code of why the member is not offered to, OK if it is.
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

// load is the share of the upstream's capacity that is taken, over its weight.
// What was offered since the last report is not in that report yet.
func (m *Member) load() float64 {
	busy := max(m.Report.InFlight, m.OpenOffers) + m.Report.Parked
	limit := max(m.Report.Limit, 1)
	weight := max(float64(m.Row.Weight), 1)
	return float64(busy+1) / float64(limit) / weight
}

// Pool holds the members that a gateway may offer to. It is safe for
// concurrent use.
type Pool struct {
	// Seed fixes the choice between equals.
	Seed uint64

	mu      sync.Mutex
	members map[Candidate]*Member
	// sorted fixes the sorted in which members are weighed.
	sorted []*Member
	random *rand.Rand
	// lastCall is the last time that the pool was told or asked of silence, and
	// resumedAt when that was after a gap.
	lastCall, resumedAt time.Time
}

// detectPause finds a gap in the calls of this process's own tasks. Sidecars that
// were not listened to meanwhile are not silent.
func (p *Pool) detectPause(now time.Time) {
	if !p.lastCall.IsZero() && now.Sub(p.lastCall) > pauseGap {
		p.resumedAt = now
	}
	p.lastCall = now
}

// silent says that a member has sent nothing for too long while this process
// was listening.
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

// Set makes the pool hold these members, keeping reports of those that stay.
func (p *Pool) Set(members []Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := make(map[Candidate]*Member, len(members))
	order := make([]*Member, 0, len(members))
	for _, m := range members {
		if old := p.members[m.Candidate]; old != nil {
			m.Report, m.ReportedAt, m.OpenOffers = old.Report, old.ReportedAt, old.OpenOffers
		}
		fresh[m.Candidate] = &m
		order = append(order, &m)
	}
	sort.Slice(order, func(i, j int) bool { return order[i].Candidate.VM < order[j].Candidate.VM })
	p.members, p.sorted = fresh, order
}

// SetReport takes a report.
func (p *Pool) SetReport(now time.Time, c Candidate, r Report) {
	p.withMember(c, func(m *Member) {
		p.detectPause(now)
		m.Report = r
		m.ReportedAt = now
	})
}

// AddOffer counts an offer.
func (p *Pool) AddOffer(c Candidate) { p.withMember(c, func(m *Member) { m.OpenOffers++ }) }

// RemoveOffer takes an offer back out of the count.
func (p *Pool) RemoveOffer(c Candidate) { p.withMember(c, func(m *Member) { m.OpenOffers-- }) }

func (p *Pool) withMember(c Candidate, f func(*Member)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[c]; m != nil {
		f(m)
	}
}

// Members gives a copy of all members, by name of VM.
func (p *Pool) Members() []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]Member, 0, len(p.members))
	for _, m := range p.sorted {
		all = append(all, *m)
	}
	return all
}

// Silent says that the candidate has sent no report for too long.
func (p *Pool) Silent(now time.Time, c Candidate) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detectPause(now)
	m := p.members[c]
	return m == nil || p.silent(now, m)
}

// RefusalCode gives the code of why a candidate is not offered to, OK if it is.
func (p *Pool) RefusalCode(now time.Time, c Candidate) result.Code {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[c]
	if m == nil {
		return result.SidecarUnreached
	}
	return m.RefusalCode(now)
}

// Pick gives the candidate with the least load that serves what is asked and
// takes work. Cold ones come after all others, for they bear only a little.
func (p *Pool) Pick(now time.Time, kind table.UpstreamKind, s table.ServiceName, tried map[Candidate]bool) (Candidate, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *Member
	equals := 0
	for _, m := range p.sorted {
		if tried[m.Candidate] || !m.Row.Offers(kind, s) || m.RefusalCode(now) != result.OK {
			continue
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
	if best == nil {
		return Candidate{}, false
	}
	return best.Candidate, true
}

// randomBelow gives a number below n; taking the nth of equals at 0 gives each of
// them the same chance.
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
