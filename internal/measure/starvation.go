package measure

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// passes counts what one sidecar granted to others while a call of the lowest
// tier had waited past its class's MaxWait.
type starvationTracker struct {
	lowestTier table.Tier
	// waiting are the calls of the lowest tier that wait here.
	waiting []*call
	// grants and tokens are the row under way.
	grants int
	tokens table.Tokens
	// longest is the longest row in grants.
	maxGrants int
	// most is the largest part of its bound that a row came to.
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

// part holds the row against the turn of the offer that is first to have one.
// It has it once others were given N-1 grants and N-1 times its own tokens, of
// which its class's MaxTokens is the most; each higher tier's own turn may go
// before.
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
