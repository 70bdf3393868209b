package admission

import (
	"cmp"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// queue holds the parked offers by tier.
type queue struct {
	// tiers are in the order of their priority.
	tiers  []*tierQueue
	parked int
	// suspectInFlight says that a suspect is in flight, so that others are held.
	suspectInFlight bool
}

// tierQueue holds the parked offers of one tier in the order they came.
type tierQueue struct {
	tier    table.Tier
	offers  []*offer
	classes group
	// otherGrants counts grants since the last that went to an overdue offer of
	// this tier out of the usual order.
	otherGrants int
	// otherTokens is what those grants were charged.
	otherTokens float64
	candidates  []*offer
	// lastOffer is when an offer of this tier last came.
	lastOffer time.Time
}

// choice is the offer that goes next.
type choice struct {
	offer *offer
	// antiStarvation says that it is its tier's one grant in N.
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

// higherTierOffered says that a higher tier than t has offered since then.
func (q *queue) higherTierOffered(t table.Tier, then time.Time) bool {
	for _, h := range q.tiers {
		if h.tier < t && h.lastOffer.After(then) {
			return true
		}
	}
	return false
}

// victim is the offer that leaves a full queue when o comes in: the newest of
// the lowest tier that holds any, which is o itself when it is of that tier.
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

// nextStarved chooses the first tier's nextStarved that is earned; its offer is nil for none.
func (q *queue) nextStarved(now time.Time, slack float64, times *timings) choice {
	for _, t := range q.tiers {
		if o := q.starvedOffer(now, t, slack, times); o != nil {
			return choice{offer: o, antiStarvation: true}
		}
	}
	return choice{}
}

// blockedBySuspect says that an offer may not run beside what is in flight.
func (q *queue) blockedBySuspect(o *offer) bool { return q.suspectInFlight && o.Suspect }

// highest is the highest tier with an offer that may run; nil for none.
func (q *queue) highest() *tierQueue {
	for _, t := range q.tiers {
		if slices.ContainsFunc(t.offers, func(o *offer) bool { return !q.blockedBySuspect(o) }) {
			return t
		}
	}
	return nil
}

// starvedOffer gives the overdue offer that a tier may now grant out of order. One
// that would not end by its deadline has none.
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

// filter puts the offers that pass into scratch.
func (t *tierQueue) filter(pass func(*offer) bool) {
	t.candidates = t.candidates[:0]
	for _, o := range t.offers {
		if pass(o) {
			t.candidates = append(t.candidates, o)
		}
	}
}

// starved says that enough went to others for o to have its tier's turn: one in N
// of the grants, and of the tokens too, so that a long answer waits longer. Its
// tokens are the class's usual ones where its account is expected to take fewer:
// turns would else go to those of whom too little is expected.
func (t *tierQueue) starved(o *offer) bool {
	return t.otherGrants >= o.minOtherGrants && t.otherTokens >= float64(o.minOtherGrants)*o.starvationCost
}

// next gives the offer of a tier that goes first: of those within their fair
// part, the earliest due that can still be in time, else the oldest that can
// still end by its deadline, else the oldest.
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

// fair says that neither class nor account is too far ahead.
func (o *offer) fair(slack float64) bool {
	return o.class.eligible(slack) && o.account.eligible(slack)
}

// recordGrant counts a grant towards the next turn of every other tier. What a tier is
// granted in the usual order needs no turn.
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
