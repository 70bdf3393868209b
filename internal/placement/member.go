package placement

import (
	"time"

	"jasminewing.dev/jasminewing/internal/availability"
	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// ewmaWeight is the weight of a new observation in a moving average.
	ewmaWeight = 0.2
	// maxSlowdown and minSlowdown clamp member.slowdown of engines, maxSlowdown and
	// minPlainSlowdown that of plain upstreams.
	maxSlowdown, minSlowdown, minPlainSlowdown = 12.0, 0.1, 0.4
	// maxLatencyRatio clamps each observed ratio of an engine's latency to the modelled
	// one. An answer that begins sooner than the inverse is an error of the engine,
	// and says nothing about its speed.
	maxLatencyRatio = 16.0
	// initialBackoff and maxBackoff bound how long an upstream is avoided after it
	// could not be reached, broke the connection or did not respond in time. The
	// backoff doubles with each consecutive failure.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// fullBackoff is how long an upstream receives no requests after it reported
	// that it was full.
	fullBackoff = 150 * time.Millisecond
	// misdirectedBackoff is how long an upstream receives no requests after another
	// upstream responded at its address. Its entry is expected to be removed soon.
	misdirectedBackoff = 2 * time.Second
	// maxInvalidBackoff bounds how long an upstream is avoided after invalid responses. It
	// is longer than maxBackoff because each attempt after a pause reaches a server that may
	// not be the upstream at all, and may be lost.
	maxInvalidBackoff = 30 * time.Second
	// plainQueueDepth is the number of requests that a plain upstream may receive
	// in excess of its slots, because it has a short queue of its own.
	plainQueueDepth = 2
)

// member is the state that this gateway keeps for an upstream.
type member struct {
	upstream route.Upstream
	key      LoadKey
	// hash is a hash of the upstream ID.
	hash          uint64
	service       *route.Service
	dataCentreOut bool
	// reservedForShort is true if the engine is reserved for short prompts.
	reservedForShort bool

	inFlight      int
	waitingTokens int
	memoryTokens  int
	// unanswered holds the requests whose response has not started.
	unanswered map[Ticket]*assignment
	cache      *prefixCache

	// slowdown is the estimated ratio of the actual to the modelled time until a response
	// starts. That of engines is from the observations of all gateways.
	slowdown float64
	// speed is what this gateway observed of it, and speedAt when it last did.
	speed   Speed
	speedAt time.Time
	// weight is the share of prompt parts that the engine is to hold, relative to the
	// mean engine of its service, and logWeight its logarithm.
	weight, logWeight float64
	// failureRate is the moving average of failures, from 0 to 1.
	failureRate         float64
	consecutiveFailures int
	// consecutiveInvalid counts invalid responses since the last valid one, those that
	// arrived while the upstream was avoided left out.
	consecutiveInvalid int
	// avoidedUntil is the end of the pause after failures, and silentUntil that of the pause
	// after silence.
	avoidedUntil, silentUntil time.Time

	// availability is what the upstream has said of itself.
	availability *availability.State

	coldUntil time.Time
	// lastColdTurn is the number of the turn in which this gateway last sent to the
	// upstream while the upstream was cold.
	lastColdTurn int64
}

// update applies the published state of the upstream.
func (m *member) update(now time.Time, u route.Upstream, v *route.View) {
	fresh := m.unanswered == nil
	if fresh {
		m.unanswered = make(map[Ticket]*assignment)
		m.weight = 1
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
		// Operators may have restarted the upstreams while the data centre was out.
		m.markCold(now, m.service.ColdStart)
	}
	m.upstream = u
}

// markCold marks the upstream as cold for at least the given duration.
func (m *member) markCold(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(m.coldUntil) {
		m.coldUntil = until
	}
}

// recordPlainLatency updates the slowdown of a plain upstream with the time until a response
// started. There are few of them, so that each gateway sees enough of each.
func (m *member) recordPlainLatency(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(max(float64(took)/float64(expected), minPlainSlowdown), maxSlowdown)
	m.slowdown += ewmaWeight * (m.slowdown*ratio - m.slowdown)
	m.slowdown = min(max(m.slowdown, minPlainSlowdown), maxSlowdown)
}

// recordOutcome updates the failure statistics with the outcome of an attempt. It
// returns how long the upstream is avoided because of a failure, or zero. The short
// pause after the outcome Full is not returned.
func (m *member) recordOutcome(now time.Time, o Outcome) time.Duration {
	var backoff time.Duration
	switch o {
	case Left, Withdrawn:
		return 0
	case Served:
		m.consecutiveFailures, m.consecutiveInvalid = 0, 0
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
			// A single broken response may be caused by the request or the network
			// rather than by the upstream.
			backoff = 0
		}
	case Failed:
		m.failureRate += ewmaWeight * (1 - m.failureRate)
	case Invalid:
		m.failureRate += ewmaWeight * (1 - m.failureRate)
		backoff = m.invalidBackoff(now)
	}
	if o == Silent {
		m.silentUntil = later(m.silentUntil, now.Add(backoff))
		return backoff
	}
	m.avoid(now, backoff)
	return backoff
}

// invalidBackoff returns how long the upstream is avoided after an invalid response. A single
// one may be caused by the network. Responses to attempts that were in flight when a pause
// began don't extend it.
func (m *member) invalidBackoff(now time.Time) time.Duration {
	if m.avoided(now) {
		return 0
	}
	m.consecutiveInvalid++
	if m.consecutiveInvalid == 1 {
		return 0
	}
	return min(initialBackoff<<min(m.consecutiveInvalid-1, 8), maxInvalidBackoff)
}

func (m *member) avoid(now time.Time, d time.Duration) {
	m.avoidedUntil = later(m.avoidedUntil, now.Add(d))
}

// avoided reports whether the upstream gets no new requests after failures or silence.
func (m *member) avoided(now time.Time) bool {
	return now.Before(m.avoidedUntil) || now.Before(m.silentUntil)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
