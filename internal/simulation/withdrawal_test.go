package simulation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// withdrawal makes a fifth of the engines leave and a third ask for pauses, while nothing
// is published of it.
func withdrawal(factor float64) Load {
	return Load{Factor: factor, Duration: 14 * time.Second, Withdrawals: []Withdrawal{{
		At: 3 * time.Second, LeavingShare: 0.2, LeavingFor: 3 * time.Second,
		PausingShare: 0.34, PausingFor: 5 * time.Second, Pause: time.Second,
	}}}
}

// Gateways that listen to engines send less to those that want nothing, and serve their
// callers no worse, at the usual load and at twice of it.
func TestEnginesOwnWordKeepsRequestsAway(t *testing.T) {
	const seeds, noise = 2, 0.03
	laudjalopp, pitchline := smallSites()
	for _, site := range []Site{laudjalopp, pitchline} {
		for _, factor := range []float64{1, 2} {
			t.Run(fmt.Sprintf("%s at %.0f", site.Name, factor), func(t *testing.T) {
				t.Parallel()
				var heard, ignored Report
				for seed := range uint64(seeds) {
					run := Run{Site: site, Load: withdrawal(factor), Seed: seed}
					heard = heard.plus(run.Play())
					run.IgnoreStatements = true
					ignored = ignored.plus(run.Play())
				}
				t.Logf("goodput %.1f, ignored %.1f; attempts at leaving engines %d, %d; at pausing ones %d, %d",
					heard.Goodput/seeds, ignored.Goodput/seeds, heard.ToLeaving, ignored.ToLeaving, heard.ToPausing, ignored.ToPausing)
				assert.Assert(t, heard.ToLeaving < ignored.ToLeaving)
				assert.Assert(t, heard.ToPausing < ignored.ToPausing)
				assert.Assert(t, heard.Goodput >= (1-noise)*ignored.Goodput)
			})
		}
	}
}

// plus adds the figures that the test compares.
func (r Report) plus(o Report) Report {
	r.Goodput += o.Goodput
	r.ToLeaving += o.ToLeaving
	r.ToPausing += o.ToPausing
	return r
}
