package admission

import (
	"cmp"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// queue holds the parked offers by tier.
type queue struct {
	// tiers is sorted by priority, the highest tier first.
	tiers  []*tierQueue
	parked int
	// suspectInFlight is set while a suspect is in flight, which blocks other
	// suspects.
	suspectInFlight bool
}

// tierQueue holds the parked offers of one tier in order of arrival.
type tierQueue struct {
	tier    table.Tier
	offers  []*offer
	classes group
	// otherGrants counts the grants to other tiers since the last
	// anti-starvation grant of this tier, which is a grant to an overdue offer
	// out of the usual order.
	otherGrants int
	// otherTokens is the number of tokens charged for those grants.
	otherTokens float64
	candidates  []*offer
	// lastOffer is when an offer of this tier last arrived.
	lastOffer time.Time
}

// choice is the offer to grant next.
type choice struct {
	offer *offer
	// antiStarvation is set for the one grant in StarvationShare that a tier
	// receives out of the usual order.
	antiStarvation bool
}

func (q *queue) tier(t table.Tier) *tierQueue {
	i, found := slices.BinarySearchFunc(q.tiers, t, func(t *tierQueue, want table.Tier) int {
		return cmp.Compare(t.tier, want)
	})
	if !found {
		q.tiers = slices.Insert(q.tiers, i, &tierQueue{tier: t})
	}
	return q.tiers[i]
}

func (q *queue) add(now time.Time, o *offer) {
	t := q.tier(o.Class.Tier)
	t.lastOffer = now
	o.class = t.classes.acquire(string(o.Class.Name), int(o.Class.Weight))
	o.account = o.class.accounts.acquire(string(o.Account), int(o.Weight))
	t.offers = append(t.offers, o)
	q.parked++
}

func (q *queue) remove(o *offer) {
	t := q.tier(o.Class.Tier)
	i := slices.Index(t.offers, o)
	if i < 0 {
		return
	}
	t.offers = slices.Delete(t.offers, i, i+1)
	q.parked--
}

// higherTierOffered reports whether a tier higher than t has received an offer
// since then.
func (q *queue) higherTierOffered(t table.Tier, then time.Time) bool {
	for _, h := range q.tiers {
		if h.tier < t && h.lastOffer.After(then) {
			return true
		}
	}
	return false
}

// victim selects the offer to shed from a full queue when o arrives: the newest
// of the lowest tier that has any, or o itself if it is in that tier.
func (q *queue) victim(o *offer) *offer {
	for _, t := range slices.Backward(q.tiers) {
		if len(t.offers) == 0 {
			continue
		}
		if t.tier <= o.Class.Tier {
			return o
		}
		return t.newest()
	}
	return o
}

func (t *tierQueue) newest() *offer {
	newest := t.offers[0]
	for _, o := range t.offers {
		if newest.older(o) {
			newest = o
		}
	}
	return newest
}

// nextStarved selects the anti-starvation grant of the highest tier that
// qualifies for one; its offer is nil if no tier does.
func (q *queue) nextStarved(now time.Time, slack float64, times *timings) choice {
	for _, t := range q.tiers {
		if o := q.starvedOffer(now, t, slack, times); o != nil {
			return choice{offer: o, antiStarvation: true}
		}
	}
	return choice{}
}

// blockedBySuspect reports whether an offer may not run beside the requests in
// flight.
func (q *queue) blockedBySuspect(o *offer) bool { return q.suspectInFlight && o.Suspect }

// highest returns the highest tier with an offer that may run, or nil if there
// is none.
func (q *queue) highest() *tierQueue {
	for _, t := range q.tiers {
		if slices.ContainsFunc(t.offers, func(o *offer) bool { return !q.blockedBySuspect(o) }) {
			return t
		}
	}
	return nil
}

// starvedOffer returns the overdue offer to which a tier may now give an
// anti-starvation grant, or nil. An offer that would probably not finish by its
// deadline does not qualify.
func (q *queue) starvedOffer(now time.Time, t *tierQueue, slack float64, times *timings) *offer {
	if t.otherGrants < minStarvationShare-1 {
		return nil
	}
	t.filter(func(o *offer) bool {
		return !q.blockedBySuspect(o) && t.starved(o) && o.overdue(now) && !o.likelyTimesOut(now, times)
	})
	updateMinTags(&t.classes, t.candidates)
	var best *offer
	for _, o := range t.candidates {
		if !o.fair(slack) {
			continue
		}
		if best == nil || o.older(best) {
			best = o
		}
	}
	return best
}

// filter collects the offers that satisfy pass in candidates.
func (t *tierQueue) filter(pass func(*offer) bool) {
	t.candidates = t.candidates[:0]
	for _, o := range t.offers {
		if pass(o) {
			t.candidates = append(t.candidates, o)
		}
	}
}

// starved reports whether enough went to other tiers for o to receive an
// anti-starvation grant. The tier is entitled to one in StarvationShare of the
// grants, and of the tokens too, so that a long answer waits longer. The tokens
// are those usual for the class if the account is expected to take fewer;
// otherwise these grants would go to accounts whose answers are underestimated.
func (t *tierQueue) starved(o *offer) bool {
	return t.otherGrants >= o.minOtherGrants && t.otherTokens >= float64(o.minOtherGrants)*o.starvationCost
}

// next returns the offer of a tier to grant next: among those within their fair
// share, the earliest due that can still be in time, else the oldest that can
// still finish by its deadline, else the oldest.
func (q *queue) next(now time.Time, t *tierQueue, slack float64, times *timings) *offer {
	t.filter(func(o *offer) bool { return !q.blockedBySuspect(o) })
	updateMinTags(&t.classes, t.candidates)
	var timely, late, unlikely *offer
	for _, o := range t.candidates {
		if !o.fair(slack) {
			continue
		}
		switch due := o.due(); {
		case !due.Before(now.Add(times.expectedFirstToken(o.Class.Name))):
			if timely == nil || due.Before(timely.due()) {
				timely = o
			}
		case o.likelyTimesOut(now, times):
			if unlikely == nil || o.older(unlikely) {
				unlikely = o
			}
		case late == nil || o.older(late):
			late = o
		}
	}
	return cmp.Or(timely, late, unlikely)
}

// fair reports whether neither the class nor the account is too far ahead of
// its fair share.
func (o *offer) fair(slack float64) bool {
	return o.class.eligible(slack) && o.account.eligible(slack)
}

// recordGrant counts a grant towards the next anti-starvation grant of every
// other tier. A tier's own grants in the usual order do not count, because a
// tier that receives them does not starve.
func (q *queue) recordGrant(ch choice) {
	own := q.tier(ch.offer.Class.Tier)
	for _, t := range q.tiers {
		if t != own {
			t.otherGrants++
			t.otherTokens += ch.offer.cost
		}
	}
	if ch.antiStarvation {
		own.otherGrants, own.otherTokens = 0, 0
	}
}
