package placement

import (
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// gain is the weight of a new observation in a running mean.
	gain = 0.2
	// slowest and fastest bound how far an upstream's speed may seem to differ
	// from the expected one.
	slowest, fastest = 12.0, 0.4
	// avoidFirst and avoidMost bound how long an upstream is avoided that cannot
	// be reached or breaks off; the time doubles with each failure in a row.
	avoidFirst = 250 * time.Millisecond
	avoidMost  = 4 * time.Second
	// fullPause is how long an upstream gets nothing after it said it was full.
	fullPause = 150 * time.Millisecond
	// misdirectedPause is how long an upstream gets nothing whose address
	// another has: its entry will be removed.
	misdirectedPause = 2 * time.Second
	// plainQueue is how many requests more than its slots a plain upstream gets;
	// it queues a few.
	plainQueue = 2
)

// member is an upstream as this gateway knows it.
type member struct {
	upstream route.Upstream
	key      LoadKey
	service  *route.Service
	out      bool
	// short says that the engine is kept for short prompts.
	short bool

	inFlight      int
	waitingTokens int
	memory        int
	// unanswered are the requests whose answer has not begun.
	unanswered map[Ticket]*placed
	cache      *partCache

	// slow is the running mean of the time to an answer's begin against the
	// expected one.
	slow float64
	// failing is the running mean of failures, 0 to 1.
	failing float64
	row     int
	avoided time.Time

	coldUntil time.Time
	// coldTurn is this gateway's turn in which it sent last while it was cold.
	coldTurn int64
}

// publish takes over what is published of the upstream.
func (m *member) publish(now time.Time, u route.Upstream, v *route.View) {
	fresh := m.unanswered == nil
	if fresh {
		m.unanswered = make(map[Ticket]*placed)
		m.slow = 1
	}
	wasOut := m.out
	m.out = v.Out[u.DataCentre]
	if v.Table != nil {
		m.service, _ = v.Table.ServiceOf(u.Service)
	}
	if m.service != nil && m.service.Engine != nil {
		m.cache.room = m.service.Engine.MemoryTokens
	}
	if u.ColdFor > 0 && (fresh || u.ColdFor != m.upstream.ColdFor) {
		m.chill(now, u.ColdFor)
	}
	if wasOut && !m.out && m.service != nil {
		// Operators may have restarted the upstreams of the data centre.
		m.chill(now, m.service.ColdStart)
	}
	m.upstream = u
}

// chill marks the upstream as cold for a time.
func (m *member) chill(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(m.coldUntil) {
		m.coldUntil = until
	}
}

// learnSpeed takes the time to an answer's begin.
func (m *member) learnSpeed(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(expected), fastest), slowest)
	m.slow += gain * (m.slow*ratio - m.slow)
	m.slow = min(max(m.slow, fastest), slowest)
}

// learnOutcome takes how a send ended; it gives how long to avoid the upstream.
func (m *member) learnOutcome(now time.Time, o Outcome) time.Duration {
	var pause time.Duration
	switch o {
	case Left:
		return 0
	case Served:
		m.row = 0
		m.failing -= gain * m.failing
		return 0
	case Full:
		m.avoid(now, fullPause)
		return 0
	case Misdirected:
		pause = misdirectedPause
	case Unreached, Broken, Silent:
		m.row++
		m.failing += gain * (1 - m.failing)
		pause = min(avoidFirst<<min(m.row-1, 8), avoidMost)
		if o != Unreached && m.row == 1 {
			// One broken answer may be the request's or the network's fault.
			pause = 0
		}
	case Failed:
		m.failing += gain * (1 - m.failing)
	}
	m.avoid(now, pause)
	return pause
}

func (m *member) avoid(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(m.avoided) {
		m.avoided = until
	}
}
