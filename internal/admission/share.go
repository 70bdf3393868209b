package admission

import (
	"cmp"
	"math"
	"slices"
)

// maxIdleShares bounds how many shares a group keeps for members that have no
// offers here but are ahead of their fair share.
const maxIdleShares = 512

// group divides work between its members by weight, with start-time fair
// queueing on estimated tokens.
type group struct {
	// virtualTime is the smallest tag among the candidates at the last grant
	// in the usual order; it only grows while any member has offers here.
	virtualTime float64
	members     map[string]*share
	// offerCount is the number of offers of all members.
	offerCount int
	pruneAt    int
	// minTag is the smallest tag among the candidates for a grant.
	minTag float64
}

// share is one member's part of a group: a class of a tier, or a client account
// of a class.
type share struct {
	group  *group
	name   string
	weight float64
	// tag is the member's virtual time: the tokens charged, divided by its
	// weight.
	tag float64
	// offerCount is the number of the member's offers, parked and in flight.
	offerCount int
	// accounts holds the shares of the client accounts of a class.
	accounts group
}

// acquire returns the member's share, creating it if necessary, and adds one to
// its offer count.
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

// release subtracts one from the offer count, and removes a member that has no
// offers and is not ahead of its fair share.
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

// charge advances the member's virtual time by an amount of tokens; a negative
// amount is a refund.
func (s *share) charge(tokens float64) { s.tag += tokens / s.weight }

// advanceVirtualTime advances the group's virtual time to the smallest tag
// among the candidates.
func (s *share) advanceVirtualTime() { s.group.virtualTime = max(s.group.virtualTime, s.group.minTag) }

// eligible reports whether the member is ahead of its fair share by at most
// slack tokens.
func (s *share) eligible(slack float64) bool {
	return (s.tag-s.group.minTag)*s.weight <= slack
}

// prune removes members without offers: first those that are not ahead of their
// fair share, then those that are the least ahead, until few enough are left.
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

// updateMinTags finds the smallest tags of a tier's classes and their accounts
// among the given offers.
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

// charge charges both the class and the account of the offer.
func (o *offer) charge(tokens float64) {
	o.class.charge(tokens)
	o.account.charge(tokens)
}

// release releases the shares of both the class and the account of the offer.
func (o *offer) release() {
	o.account.release()
	o.class.release()
}
