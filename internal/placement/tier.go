package placement

import (
	"math"
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// tierHalfLife is the time after which a request counts half as much for the
	// tiers of its service.
	tierHalfLife = 10 * time.Second
	// minTierShare is the share of a service's recent requests that a rank needs to
	// count as a tier. Single requests of an unusual rank should not move the limits
	// of all others.
	minTierShare = 0.02
)

// tiers tracks the ranks of a service's recent requests. Only these count for the
// limits of admission: a table has routes and accounts that nobody uses.
type tiers struct {
	weights [route.MaxRank + 1]float64
	at      time.Time
	// passedOver is the number of grants since a request of the least urgent tier was
	// granted.
	passedOver int
	pace       pace
}

// granted records that a request of the rank was granted an upstream.
func (t *tiers) granted(r route.Rank) {
	t.passedOver++
	if t.position(r) == 1 {
		t.passedOver = 0
	}
}

// count records a request.
func (t *tiers) count(now time.Time, r route.Rank) {
	if since := now.Sub(t.at); since > 0 {
		decay := math.Exp2(-since.Seconds() / tierHalfLife.Seconds())
		for i := range t.weights {
			t.weights[i] *= decay
		}
		t.at = now
	}
	t.weights[r]++
}

// position returns the place of a rank among the ranks of recent requests, from 0
// for the most urgent to 1 for the least urgent. It is 0 if there is only one.
func (t *tiers) position(r route.Rank) float64 {
	total := 0.0
	for _, w := range t.weights {
		total += w
	}
	before, others := 0, 0
	for i, w := range t.weights {
		if w < minTierShare*total || route.Rank(i) == r {
			continue
		}
		others++
		if route.Rank(i) < r {
			before++
		}
	}
	if others == 0 {
		return 0
	}
	return float64(before) / float64(others)
}
