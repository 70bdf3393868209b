package admission

import (
	"cmp"
	"math"
	"slices"
)

// maxIdleShares bounds how many shares a group remembers of those that have
// nothing here but ran ahead of their part.
const maxIdleShares = 512

// group shares work between its members by weight: start-time fair queueing on
// estimated tokens.
type group struct {
	// virtualTime is the tag of the last member served; it only grows while any
	// member has work here.
	virtualTime float64
	members     map[string]*share
	// offerCount counts the offers of all members.
	offerCount int
	pruneAt    int
	// minTag is the smallest tag in the set that a choice is made from.
	minTag float64
}

// share is the part of one member of a group: a class of a tier, or a client
// account of a class.
type share struct {
	group  *group
	name   string
	weight float64
	// tag is the member's virtual time: tokens charged over its weight.
	tag float64
	// offerCount counts the member's offers, parked and in flight.
	offerCount int
	// accounts are the client accounts of a class.
	accounts group
}

// acquire finds or makes the member's share and counts one more offer on it.
func (g *group) acquire(name string, weight int) *share {
	if g.members == nil {
		g.members = map[string]*share{}
	}
	s := g.members[name]
	if s == nil {
		g.prune()
		s = &share{group: g, name: name}
		g.members[name] = s
	}
	s.weight = float64(max(weight, 1))
	if s.offerCount == 0 {
		s.tag = max(s.tag, g.virtualTime)
	}
	s.offerCount++
	g.offerCount++
	return s
}

// release counts one offer less, and forgets a member that owes nothing.
func (s *share) release() {
	g := s.group
	s.offerCount--
	g.offerCount--
	if g.offerCount == 0 {
		g.members, g.virtualTime, g.pruneAt = nil, 0, 0
		return
	}
	if s.offerCount == 0 && s.tag <= g.virtualTime {
		delete(g.members, s.name)
	}
}

// charge moves the member's virtual time by an amount of tokens.
func (s *share) charge(tokens float64) { s.tag += tokens / s.weight }

// advanceVirtualTime moves the group's virtual time up to the least tag that waits.
func (s *share) advanceVirtualTime() { s.group.virtualTime = max(s.group.virtualTime, s.group.minTag) }

// eligible says that the member is within slack tokens of its fair part.
func (s *share) eligible(slack float64) bool {
	return (s.tag-s.group.minTag)*s.weight <= slack
}

// prune forgets members without offers here: those that owe nothing, then
// those that owe least until few enough are left.
func (g *group) prune() {
	if len(g.members) < max(g.pruneAt, maxIdleShares) {
		return
	}
	var idle []*share
	for _, s := range g.members {
		switch {
		case s.offerCount > 0:
		case s.tag <= g.virtualTime:
			delete(g.members, s.name)
		default:
			idle = append(idle, s)
		}
	}
	slices.SortFunc(idle, func(a, b *share) int {
		return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.name, b.name))
	})
	for len(idle) > maxIdleShares/2 {
		delete(g.members, idle[0].name)
		idle = idle[1:]
	}
	g.pruneAt = len(g.members) + maxIdleShares/2
}

// updateMinTags finds the smallest tags among the offers of a choice.
func updateMinTags(tier *group, offers []*offer) {
	tier.minTag = math.Inf(1)
	for _, o := range offers {
		o.class.accounts.minTag = math.Inf(1)
	}
	for _, o := range offers {
		tier.minTag = min(tier.minTag, o.class.tag)
		o.class.accounts.minTag = min(o.class.accounts.minTag, o.account.tag)
	}
}

// charge moves both of the offer's shares.
func (o *offer) charge(tokens float64) {
	o.class.charge(tokens)
	o.account.charge(tokens)
}

// release gives both of the offer's shares back.
func (o *offer) release() {
	o.account.release()
	o.class.release()
}
