package measure

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// passes counts what one sidecar granted to others while a call of the lowest
// tier had waited past its class's MaxWait.
type passes struct {
	lowest table.Tier
	// waiting are the calls of the lowest tier that wait here.
	waiting []*call
	// grants and tokens are the row under way.
	grants int
	tokens table.Tokens
	// longest is the longest row in grants.
	longest int
	// most is the largest part of its bound that a row came to.
	most float64
}

func (p *passes) came(c *call) {
	if c.class.Tier == p.lowest {
		p.waiting = append(p.waiting, c)
	}
}

func (p *passes) left(c *call) {
	if i := slices.Index(p.waiting, c); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
}

func (p *passes) granted(now time.Time, c *call) {
	p.left(c)
	overdue := p.overdue(now)
	if c.class.Tier == p.lowest || len(overdue) == 0 {
		p.grants, p.tokens = 0, 0
		return
	}
	p.grants++
	p.tokens += c.tokens
	p.longest = max(p.longest, p.grants)
	p.most = max(p.most, p.part(overdue))
}

// part holds the row against the turn of the offer that is first to have one.
// It has it once others were given N-1 grants and N-1 times its own tokens, of
// which its class's MaxTokens is the most; each higher tier's own turn may go
// before.
func (p *passes) part(overdue []*call) float64 {
	least := overdue[0].class
	for _, c := range overdue {
		if c.class.MaxTokens < least.MaxTokens {
			least = c.class
		}
	}
	others := float64(least.StarvationShare-1) + float64(least.Tier-1)
	return min(float64(p.grants)/others, float64(p.tokens)/(others*float64(least.MaxTokens)))
}

func (p *passes) overdue(now time.Time) []*call {
	var all []*call
	for _, c := range p.waiting {
		if now.Sub(c.arrived) > c.class.MaxWait {
			all = append(all, c)
		}
	}
	return all
}
