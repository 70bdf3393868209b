package placement

import (
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// ewmaWeight is the weight of a new observation in a running mean.
	ewmaWeight = 0.2
	// maxSlowdown and minSlowdown bound how far an upstream's speed may seem to differ
	// from the expected one.
	maxSlowdown, minSlowdown = 12.0, 0.4
	// initialBackoff and avoidMost bound how long an upstream is avoided that cannot
	// be reached or breaks off; the time doubles with each failure in a row.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// fullBackoff is how long an upstream gets nothing after it said it was full.
	fullBackoff = 150 * time.Millisecond
	// misdirectedBackoff is how long an upstream gets nothing whose address
	// another has: its entry will be removed.
	misdirectedBackoff = 2 * time.Second
	// plainQueueDepth is how many requests more than its slots a plain upstream gets;
	// it queues a few.
	plainQueueDepth = 2
)

// member is an upstream as this gateway knows it.
type member struct {
	upstream      route.Upstream
	key           LoadKey
	service       *route.Service
	dataCentreOut bool
	// reservedForShort says that the engine is kept for reservedForShort prompts.
	reservedForShort bool

	inFlight      int
	waitingTokens int
	memoryTokens  int
	// unanswered are the requests whose answer has not begun.
	unanswered map[Ticket]*assignment
	cache      *prefixCache

	// slowdown is the running mean of the time to an answer's begin against the
	// expected one.
	slowdown float64
	// failureRate is the running mean of failures, 0 to 1.
	failureRate         float64
	consecutiveFailures int
	avoidedUntil        time.Time

	coldUntil time.Time
	// lastColdTurn is this gateway's turn in which it sent last while it was cold.
	lastColdTurn int64
}

// update takes over what is published of the upstream.
func (m *member) update(now time.Time, u route.Upstream, v *route.View) {
	fresh := m.unanswered == nil
	if fresh {
		m.unanswered = make(map[Ticket]*assignment)
		m.slowdown = 1
	}
	wasOut := m.dataCentreOut
	m.dataCentreOut = v.DataCentresOut[u.DataCentre]
	if v.Table != nil {
		m.service, _ = v.Table.ServiceByName(u.Service)
	}
	if m.service != nil && m.service.Engine != nil {
		m.cache.capacity = m.service.Engine.MemoryTokens
	}
	if u.ColdFor > 0 && (fresh || u.ColdFor != m.upstream.ColdFor) {
		m.markCold(now, u.ColdFor)
	}
	if wasOut && !m.dataCentreOut && m.service != nil {
		// Operators may have restarted the upstreams of the data centre.
		m.markCold(now, m.service.ColdStart)
	}
	m.upstream = u
}

// markCold marks the upstream as cold for a time.
func (m *member) markCold(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(m.coldUntil) {
		m.coldUntil = until
	}
}

// recordLatency takes the time to an answer's begin.
func (m *member) recordLatency(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(expected), minSlowdown), maxSlowdown)
	m.slowdown += ewmaWeight * (m.slowdown*ratio - m.slowdown)
	m.slowdown = min(max(m.slowdown, minSlowdown), maxSlowdown)
}

// recordOutcome takes how a send ended; it gives how long to avoid the upstream.
func (m *member) recordOutcome(now time.Time, o Outcome) time.Duration {
	var backoff time.Duration
	switch o {
	case Left:
		return 0
	case Served:
		m.consecutiveFailures = 0
		m.failureRate -= ewmaWeight * m.failureRate
		return 0
	case Full:
		m.avoid(now, fullBackoff)
		return 0
	case Misdirected:
		backoff = misdirectedBackoff
	case Unreached, Broken, Silent:
		m.consecutiveFailures++
		m.failureRate += ewmaWeight * (1 - m.failureRate)
		backoff = min(initialBackoff<<min(m.consecutiveFailures-1, 8), maxBackoff)
		if o != Unreached && m.consecutiveFailures == 1 {
			// One broken answer may be the request's or the network's fault.
			backoff = 0
		}
	case Failed:
		m.failureRate += ewmaWeight * (1 - m.failureRate)
	}
	m.avoid(now, backoff)
	return backoff
}

func (m *member) avoid(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(m.avoidedUntil) {
		m.avoidedUntil = until
	}
}
