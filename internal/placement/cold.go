package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/route"
)

// ColdBounds bound what all gateways together may send to a cold upstream in
// any second: Factor times the rate that its service names, and Slack.
type ColdBounds struct {
	Factor, Slack float64
}

const (
	// coldSafetyFactor is the part of the bound that is used: upstreams count arrivals,
	// and clocks of gateways differ.
	coldSafetyFactor = 0.8
	// minColdWindow is the least time in which a gateway may send in its turn.
	minColdWindow = 100 * time.Millisecond
)

// coldSchedule deals out the rate that a cold upstream bears among gateways that do
// not ask each other: each has a turn in every period, in the order of their
// ranks, and sends one request at most in a turn. Turns are counted by the time
// of day, which gateways share well enough.
//
// Allowances that each gateway fills up for itself would do with few gateways,
// but many full ones may be spent in the same second.
type coldSchedule struct {
	bounds ColdBounds
	// rank is this gateway's among all, from 0; count is their number.
	rank     int
	gateways float64
}

// turn gives the number of this gateway's turn at a time, and whether it may
// send now if it has not yet sent in that turn.
func (t coldSchedule) turn(now time.Time, id route.UpstreamID, rate float64) (number int64, open bool) {
	period := time.Duration(t.gateways / rate * float64(time.Second))
	begin := time.Duration(float64(t.rank) / t.gateways * float64(period))
	// Upstreams differ, or the first gateways would send to all of them at once.
	begin += time.Duration(xxhash.Sum64String(string(id)) % uint64(period))
	since := time.Duration(now.UnixNano()) - begin
	number = int64(since / period)
	return number, since%period < t.window(period, rate)
}

// window is how long a turn is open: all gateways whose turns are open within a
// second may send in it.
func (t coldSchedule) window(period time.Duration, rate float64) time.Duration {
	maxRate := coldSafetyFactor * (t.bounds.Factor*rate + t.bounds.Slack)
	open := time.Duration((maxRate/rate - 1) * float64(time.Second))
	return min(max(open, minColdWindow), period)
}

// coldSchedule gives this gateway's turns.
func (c *Core) coldSchedule() coldSchedule {
	t := coldSchedule{bounds: c.Cold, gateways: c.gatewayEstimate(), rank: c.rank}
	if c.gateways == 0 {
		t.rank = int(c.Seed % assumedGateways)
	}
	return t
}

// admitsCold says that the upstream is warm, or admitsCold a request of this gateway while
// it is cold.
func (m *member) admitsCold(now time.Time, t coldSchedule) bool {
	if !now.Before(m.coldUntil) || m.service == nil || m.service.ColdRate <= 0 {
		return true
	}
	number, open := t.turn(now, m.upstream.ID, m.service.ColdRate)
	return open && number != m.lastColdTurn
}

// recordColdSend notes a request that goes to the upstream.
func (m *member) recordColdSend(now time.Time, t coldSchedule) {
	if now.Before(m.coldUntil) && m.service.ColdRate > 0 {
		m.lastColdTurn, _ = t.turn(now, m.upstream.ID, m.service.ColdRate)
	}
}
