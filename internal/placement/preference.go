package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// maxShortPromptTokens is the maximum length of a prompt that an engine can
	// process in a few steps, without a noticeable pause in its other streams.
	maxShortPromptTokens = 4096
	// maxShortEngineFraction is the fraction of a data centre's engines that is
	// reserved for short prompts if their batches have up to shortEngineSlots slots. With
	// fewer engines, a crash of one of them would break more streams. Engines with
	// larger batches run more streams each, so fewer are reserved, down to
	// minShortEngineFraction.
	maxShortEngineFraction, minShortEngineFraction = 0.4, 0.25
	// shortEngineSlots is in slots of a batch.
	shortEngineSlots = 64
	// minShortEngines is reserved if maxShortEngineFraction allows it. A crash of the only
	// one would break all streams of short prompts.
	minShortEngines = 2
)

// preference holds the preferred engines for a prompt. First and second choice are
// computed the same way on all gateways, so that a prompt part that one gateway's
// request put into an engine's cache is reused by requests from all gateways.
type preference struct {
	first, second route.UpstreamID
	// tokens is the length of the prompt, and short reports whether it is at most
	// maxShortPromptTokens.
	tokens int
	short  bool
	// holder is the engine that, as far as this gateway knows, has the most tokens
	// of the shared parts cached, or nil. uncachedTokens is the number of prompt
	// tokens that the holder itself would have to process.
	holder         *member
	uncachedTokens int
}

// sharedParts returns the parts of a prompt that several requests share, which are
// all but the last.
func sharedParts(prompt []Part) []Part { return prompt[:max(len(prompt)-1, 0)] }

func (c *Core) preferenceFor(now time.Time, r *Request) preference {
	p := preference{tokens: countTokens(r.Prompt)}
	p.short = p.tokens <= maxShortPromptTokens
	if len(r.Prompt) == 0 {
		return p
	}
	c.rankEngines(now, r, &p)
	c.findHolder(now, r, &p)
	return p
}

// findHolder selects the engine that others can fetch the shared parts from. If no
// engine is known to have them, the first choice is assumed to, because other
// gateways send the prompt there.
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
		if held > most || held == most && held > 0 && preferredHolder(m, p) {
			p.holder, most = m, held
		}
	}
	p.uncachedTokens = p.tokens - most
	if first := c.members[p.first]; p.holder == nil && first != nil && first.canServeFetches(now, r.Service) {
		p.holder = first
	}
}

// preferredHolder reports whether an engine goes before the present holder, which has
// as many tokens cached: the first choice does, then the smaller ID.
func preferredHolder(m *member, p *preference) bool {
	id, present := m.upstream.ID, p.holder.upstream.ID
	return id == p.first || present != p.first && id < present
}

// canServeFetches reports whether other engines may fetch from the engine.
func (m *member) canServeFetches(now time.Time, s route.ServiceName) bool {
	return m.eligible(s) && !m.resting(now) && m.overdue(now) <= 0
}

// rankEngines sets the first and second choice for a prompt by rendezvous hashing.
func (c *Core) rankEngines(now time.Time, r *Request, p *preference) {
	// The second to last part is the most specific part that requests share.
	part := r.Prompt[max(len(r.Prompt)-2, 0)].ID
	var firstHash, secondHash float64
	for _, m := range c.members {
		id := m.upstream.ID
		if !m.eligible(r.Service) || m.resting(now) || now.Before(m.coldUntil) || m.reservedForShort != p.short || p.short && m.upstream.DataCentre != c.DataCentre {
			continue
		}
		switch h := m.weigh(rendezvousHash(part, m.hash)); {
		case p.first == "" || h > firstHash:
			p.second, secondHash = p.first, firstHash
			p.first, firstHash = id, h
		case p.second == "" || h > secondHash:
			p.second, secondHash = id, h
		}
	}
}

// rendezvousHash returns the weight of an engine for a prompt part. It is the same on
// all gateways.
func rendezvousHash(part PartID, engine uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15
	h := (uint64(part)*multiplier ^ engine) * multiplier
	h = (h ^ h>>32) * multiplier
	return h ^ h>>29
}

// weigh returns the rank of the engine for a prompt part from the hash of both. An engine
// has the highest rank for a share of all parts that is proportional to its weight.
func (m *member) weigh(hash uint64) float64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -m.weight / math.Log(uniform)
}

// shortEngines returns the number of engines of a data centre that are reserved for short
// prompts.
func shortEngines(engines int, e *route.Engine) int {
	fraction := maxShortEngineFraction * shortEngineSlots / float64(max(e.BatchSize, 1))
	fraction = min(max(fraction, minShortEngineFraction), maxShortEngineFraction)
	most := int(maxShortEngineFraction * float64(engines))
	return max(int(fraction*float64(engines)), min(most, minShortEngines), 1)
}

// reserveShortEngines reserves engines for short prompts: shortEngineFraction of
// the engines of a service in each data centre, and at least one if there are two
// or more.
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
		for _, m := range group[:shortEngines(len(group), group[0].service.Engine)] {
			m.reservedForShort = true
		}
	}
}

// reservationHash orders the engines for the reservation. It is the same on all
// gateways, so that all of them reserve the same engines.
func reservationHash(m *member) uint64 { return xxhash.Sum64String("short/" + string(m.upstream.ID)) }
