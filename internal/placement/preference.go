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
	// maxShortPromptTokens is the most tokens of a prompt that an engine reads in a few
	// steps, without a pause that the streams beside it would show.
	maxShortPromptTokens = 4096
	// shortEngineFraction is the part of a data centre's engines that is kept for short
	// prompts. Fewer would each lose more streams when one crashes.
	shortEngineFraction = 0.4
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
	holder         *member
	uncachedTokens int
}

// sharedParts gives the parts of a prompt that requests share: all but the last.
func sharedParts(prompt []Part) []Part { return prompt[:max(len(prompt)-1, 0)] }

func (c *Core) preferenceFor(now time.Time, r *Request) preference {
	p := preference{tokens: countTokens(r.Prompt)}
	p.short = p.tokens <= maxShortPromptTokens
	if len(r.Prompt) == 0 {
		return p
	}
	c.rankEngines(r, &p)
	c.findHolder(now, r, &p)
	return p
}

// findHolder looks for an engine that others can fetch shared parts from. The
// first choice is taken to hold what gateways sent there, if none is known to.
func (c *Core) findHolder(now time.Time, r *Request, p *preference) {
	parts := sharedParts(r.Prompt)
	if len(parts) == 0 {
		return
	}
	all := countTokens(parts)
	most := 0
	for _, m := range c.members {
		if !m.canServeFetches(now, r.Service) {
			continue
		}
		held := all - m.cache.missingTokens(parts)
		if held > most || held == most && held > 0 && m.upstream.ID == p.first {
			p.holder, most = m, held
		}
	}
	p.uncachedTokens = p.tokens - most
	if first := c.members[p.first]; p.holder == nil && first != nil && first.canServeFetches(now, r.Service) {
		p.holder = first
	}
}

// canServeFetches says that others may fetch from the engine.
func (m *member) canServeFetches(now time.Time, s route.ServiceName) bool {
	return m.eligible(s) && !now.Before(m.avoidedUntil) && m.overdue(now) <= 0
}

// rankEngines finds the first and second choice for a prompt.
func (c *Core) rankEngines(r *Request, p *preference) {
	// The part before the last is the most specific that requests share.
	key := strconv.FormatUint(uint64(r.Prompt[max(len(r.Prompt)-2, 0)].ID), 16)
	var firstHash, secondHash uint64
	for _, m := range c.members {
		id := m.upstream.ID
		if !m.eligible(r.Service) || m.reservedForShort != p.short || p.short && m.upstream.DataCentre != c.DataCentre {
			continue
		}
		switch h := xxhash.Sum64String(key + "/" + string(id)); {
		case p.first == "" || h > firstHash:
			p.second, secondHash = p.first, firstHash
			p.first, firstHash = id, h
		case p.second == "" || h > secondHash:
			p.second, secondHash = id, h
		}
	}
}

// reserveShortEngines keeps engines for short prompts: shortShare of each service's in a
// data centre, and one at least of two or more.
func (c *Core) reserveShortEngines() {
	type engineGroup struct {
		service route.ServiceName
		centre  route.DataCentre
	}
	engines := make(map[engineGroup][]*member)
	for _, m := range c.members {
		m.reservedForShort = false
		if m.eligible(m.upstream.Service) && m.service.Engine != nil {
			group := engineGroup{m.upstream.Service, m.upstream.DataCentre}
			engines[group] = append(engines[group], m)
		}
	}
	for _, group := range engines {
		if len(group) < 2 {
			continue
		}
		slices.SortFunc(group, func(a, b *member) int { return cmp.Compare(reservationHash(a), reservationHash(b)) })
		for _, m := range group[:max(int(shortEngineFraction*float64(len(group))), 1)] {
			m.reservedForShort = true
		}
	}
}

// reservationHash is the same at all gateways, so that they keep the same engines.
func reservationHash(m *member) uint64 { return xxhash.Sum64String("short/" + string(m.upstream.ID)) }
