package placement

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// shortPrompt is the most tokens of a prompt that an engine reads in a few
	// steps, without a pause that the streams beside it would show.
	shortPrompt = 4096
	// shortShare is the part of a data centre's engines that is kept for short
	// prompts. Fewer would each lose more streams when one crashes.
	shortShare = 0.4
)

// preference is the order of choice for a prompt. It is the same at all
// gateways, so that an engine that one of them made read a part has it for the
// requests of all.
type preference struct {
	first, second route.UpstreamID
	// tokens are those of the prompt; short says that they are few.
	tokens int
	short  bool
	// holder is the engine that holds most of the shared parts as far as this
	// gateway knows; nil for none. lacking are the tokens that it would read.
	holder  *member
	lacking int
}

// shared gives the parts of a prompt that requests share: all but the last.
func shared(prompt []Part) []Part { return prompt[:max(len(prompt)-1, 0)] }

func (c *Core) prefer(now time.Time, r *Request) preference {
	p := preference{tokens: total(r.Prompt)}
	p.short = p.tokens <= shortPrompt
	if len(r.Prompt) == 0 {
		return p
	}
	c.order(r, &p)
	c.findHolder(now, r, &p)
	return p
}

// findHolder looks for an engine that others can fetch shared parts from. The
// first choice is taken to hold what gateways sent there, if none is known to.
func (c *Core) findHolder(now time.Time, r *Request, p *preference) {
	parts := shared(r.Prompt)
	if len(parts) == 0 {
		return
	}
	all := total(parts)
	most := 0
	for _, m := range c.members {
		if !m.gives(now, r.Service) {
			continue
		}
		held := all - m.cache.missing(parts)
		if held > most || held == most && held > 0 && m.upstream.ID == p.first {
			p.holder, most = m, held
		}
	}
	p.lacking = p.tokens - most
	if first := c.members[p.first]; p.holder == nil && first != nil && first.gives(now, r.Service) {
		p.holder = first
	}
}

// gives says that others may fetch from the engine.
func (m *member) gives(now time.Time, s route.ServiceName) bool {
	return m.allowed(s) && !now.Before(m.avoided) && m.overdue(now) <= 0
}

// order finds the first and second choice for a prompt.
func (c *Core) order(r *Request, p *preference) {
	// The part before the last is the most specific that requests share.
	key := strconv.FormatUint(uint64(r.Prompt[max(len(r.Prompt)-2, 0)].ID), 16)
	var most, next uint64
	for _, m := range c.members {
		id := m.upstream.ID
		if !m.allowed(r.Service) || m.short != p.short || p.short && m.upstream.DataCentre != c.DataCentre {
			continue
		}
		switch h := xxhash.Sum64String(key + "/" + string(id)); {
		case p.first == "" || h > most:
			p.second, next = p.first, most
			p.first, most = id, h
		case p.second == "" || h > next:
			p.second, next = id, h
		}
	}
}

// assignShort keeps engines for short prompts: shortShare of each service's in a
// data centre, and one at least of two or more.
func (c *Core) assignShort() {
	type place struct {
		service route.ServiceName
		centre  route.DataCentre
	}
	engines := make(map[place][]*member)
	for _, m := range c.members {
		m.short = false
		if m.allowed(m.upstream.Service) && m.service.Engine != nil {
			at := place{m.upstream.Service, m.upstream.DataCentre}
			engines[at] = append(engines[at], m)
		}
	}
	for _, some := range engines {
		if len(some) < 2 {
			continue
		}
		slices.SortFunc(some, func(a, b *member) int { return cmp.Compare(shortRank(a), shortRank(b)) })
		for _, m := range some[:max(int(shortShare*float64(len(some))), 1)] {
			m.short = true
		}
	}
}

// shortRank is the same at all gateways, so that they keep the same engines.
func shortRank(m *member) uint64 { return xxhash.Sum64String("short/" + string(m.upstream.ID)) }
