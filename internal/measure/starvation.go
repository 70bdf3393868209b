package measure

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// starvationTracker counts the consecutive grants of one sidecar to higher tiers
// while a call of the lowest tier has waited longer than its class's MaxWait.
type starvationTracker struct {
	lowestTier table.Tier
	// waiting holds the calls of the lowest tier that wait at the sidecar.
	waiting []*call
	// grants and tokens are the totals of the current run of grants to higher
	// tiers.
	grants int
	tokens table.Tokens
	// maxGrants is the maximum of grants.
	maxGrants int
	// maxRatio is the maximum of boundRatio over all runs of grants.
	maxRatio float64
}

func (t *starvationTracker) add(c *call) {
	if c.class.Tier == t.lowestTier {
		t.waiting = append(t.waiting, c)
	}
}

func (t *starvationTracker) remove(c *call) {
	if i := slices.Index(t.waiting, c); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
	}
}

func (t *starvationTracker) granted(now time.Time, c *call) {
	t.remove(c)
	overdue := t.overdue(now)
	if c.class.Tier == t.lowestTier || len(overdue) == 0 {
		t.grants, t.tokens = 0, 0
		return
	}
	t.grants++
	t.tokens += c.tokens
	t.maxGrants = max(t.maxGrants, t.grants)
	t.maxRatio = max(t.maxRatio, t.boundRatio(overdue))
}

// boundRatio returns the size of the current run of grants relative to its bound.
// The bound is that of the overdue offer that is the first to get an
// anti-starvation grant. The offer gets it once others have received N-1 grants
// and N-1 times the offer's own tokens, where N is its class's StarvationShare
// and its class's MaxTokens is the maximum of its tokens. One anti-starvation
// grant of each higher tier may come before it.
func (t *starvationTracker) boundRatio(overdue []*call) float64 {
	smallest := overdue[0].class
	for _, c := range overdue {
		if c.class.MaxTokens < smallest.MaxTokens {
			smallest = c.class
		}
	}
	otherGrants := float64(smallest.StarvationShare-1) + float64(smallest.Tier-1)
	return min(float64(t.grants)/otherGrants, float64(t.tokens)/(otherGrants*float64(smallest.MaxTokens)))
}

func (t *starvationTracker) overdue(now time.Time) []*call {
	var all []*call
	for _, c := range t.waiting {
		if now.Sub(c.arrived) > c.class.MaxWait {
			all = append(all, c)
		}
	}
	return all
}
