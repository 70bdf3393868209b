package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/route"
)

// ColdBounds limits the number of requests that all gateways together may send to
// a cold upstream in any second to Factor times the cold rate of its service, plus
// Slack.
type ColdBounds struct {
	Factor, Slack float64
}

const (
	// coldSafetyFactor is the fraction of the bound that the gateways use. The rest
	// is a margin because upstreams count a request when it arrives rather than when
	// it is sent, and because the clocks of the gateways differ.
	coldSafetyFactor = 0.8
	// minColdWindow is the minimum time for which a gateway's turn is open.
	minColdWindow = 100 * time.Millisecond
)

// coldSchedule divides the request rate of a cold upstream among the gateways
// without coordination. Each gateway has one turn in every period, in rank order,
// and sends at most one request per turn. Turns are derived from the wall clock,
// which is sufficiently synchronized between gateways.
//
// A token bucket per gateway would be enough for a few gateways, but the full
// buckets of many gateways could be spent within the same second.
type coldSchedule struct {
	bounds ColdBounds
	// rank is the zero-based rank of this gateway, and gateways the estimated
	// number of all gateways.
	rank     int
	gateways float64
}

// turn returns the number of this gateway's current turn and whether the turn is
// open. The caller may send if it has not yet sent in that turn. The rate is in
// requests per second.
func (t coldSchedule) turn(now time.Time, id route.UpstreamID, rate float64) (number int64, open bool) {
	period := t.period(rate)
	begin := time.Duration(float64(t.rank) / t.gateways * float64(period))
	// Offset the turns per upstream, so that the first gateways don't send to all
	// upstreams at the same time.
	begin += time.Duration(xxhash.Sum64String(string(id)) % uint64(period))
	since := time.Duration(now.UnixNano()) - begin
	number = int64(since / period)
	return number, since%period < t.window(period, rate)
}

// maxColdPeriod is the maximum time between two turns of a gateway.
const maxColdPeriod = 24 * time.Hour

// period returns the time between two turns of a gateway.
func (t coldSchedule) period(rate float64) time.Duration {
	return time.Duration(min(max(t.gateways/rate*float64(time.Second), 1), float64(maxColdPeriod)))
}

// window returns how long a turn stays open, such that the turns that are open
// within any one second stay within the bounds even if every gateway sends.
func (t coldSchedule) window(period time.Duration, rate float64) time.Duration {
	maxRate := coldSafetyFactor * (t.bounds.Factor*rate + t.bounds.Slack)
	open := min((maxRate/rate-1)*float64(time.Second), float64(period))
	return min(max(time.Duration(open), minColdWindow), period)
}

// coldSchedule returns the schedule of this gateway's turns. As long as the
// fleet is unknown, the rank is derived from the seed.
func (c *Core) coldSchedule() coldSchedule {
	t := coldSchedule{bounds: c.Cold, gateways: c.gatewayEstimate(), rank: c.gatewayRank}
	if c.gateways == 0 {
		t.rank = int(c.Seed % assumedGateways)
	}
	return t
}

// admitsCold reports whether the upstream is warm, or is cold and may receive a
// request from this gateway now.
func (m *member) admitsCold(now time.Time, t coldSchedule) bool {
	if !now.Before(m.coldUntil) || m.service == nil || m.service.ColdRate <= 0 {
		return true
	}
	number, open := t.turn(now, m.upstream.ID, m.service.ColdRate)
	return open && number != m.lastColdTurn
}

// recordColdAttempt marks the current turn as used if the upstream is cold.
func (m *member) recordColdAttempt(now time.Time, t coldSchedule) {
	if now.Before(m.coldUntil) && m.service.ColdRate > 0 {
		m.lastColdTurn, _ = t.turn(now, m.upstream.ID, m.service.ColdRate)
	}
}
