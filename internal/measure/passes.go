package measure

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// passes counts how often one sidecar granted something else while a call of
// the lowest tier had waited past its class's MaxWait.
type passes struct {
	lowest table.Tier
	// waiting are the calls of the lowest tier that wait here.
	waiting []*call
	row     int
	longest int
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
	if c.class.Tier == p.lowest || !p.overdue(now) {
		p.row = 0
		return
	}
	p.row++
	p.longest = max(p.longest, p.row)
}

func (p *passes) overdue(now time.Time) bool {
	return slices.ContainsFunc(p.waiting, func(c *call) bool { return now.Sub(c.arrived) > c.class.MaxWait })
}
