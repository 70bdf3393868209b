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
	// suspectRuns says that a suspect is in flight, so that others are held.
	suspectRuns bool
}

// tierQueue holds the parked offers of one tier in the order they came.
type tierQueue struct {
	tier    table.Tier
	offers  []*offer
	classes group
	// sinceTurn counts grants since the last that went to an overdue offer of
	// this tier out of the usual order.
	sinceTurn int
	// tokensSince is what those grants were charged.
	tokensSince float64
	scratch     []*offer
	// lastOffer is when an offer of this tier last came.
	lastOffer time.Time
}

// choice is the offer that goes next.
type choice struct {
	offer *offer
	// turn says that it is its tier's one grant in N.
	turn bool
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
	o.class = t.classes.hold(string(o.Class.Name), int(o.Class.Weight))
	o.account = o.class.accounts.hold(string(o.Account), int(o.Weight))
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

// higherSince says that a higher tier than t has offered since then.
func (q *queue) higherSince(t table.Tier, then time.Time) bool {
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

// turn chooses the first tier's turn that is earned; its offer is nil for none.
func (q *queue) turn(now time.Time, slack float64, times *timings) choice {
	for _, t := range q.tiers {
		if o := q.turnOf(now, t, slack, times); o != nil {
			return choice{offer: o, turn: true}
		}
	}
	return choice{}
}

// held says that an offer may not run beside what is in flight.
func (q *queue) held(o *offer) bool { return q.suspectRuns && o.Suspect }

// highest is the highest tier with an offer that may run; nil for none.
func (q *queue) highest() *tierQueue {
	for _, t := range q.tiers {
		if slices.ContainsFunc(t.offers, func(o *offer) bool { return !q.held(o) }) {
			return t
		}
	}
	return nil
}

// turnOf gives the overdue offer that a tier may now grant out of order. One
// that would not end by its deadline has none.
func (q *queue) turnOf(now time.Time, t *tierQueue, slack float64, times *timings) *offer {
	if t.sinceTurn < minStarvationShare-1 {
		return nil
	}
	t.keep(func(o *offer) bool {
		return !q.held(o) && t.earned(o) && o.overdue(now) && !o.inVain(now, times)
	})
	measure(&t.classes, t.scratch)
	var best *offer
	for _, o := range t.scratch {
		if !o.fair(slack) {
			continue
		}
		if best == nil || o.older(best) {
			best = o
		}
	}
	return best
}

// keep puts the offers that pass into scratch.
func (t *tierQueue) keep(pass func(*offer) bool) {
	t.scratch = t.scratch[:0]
	for _, o := range t.offers {
		if pass(o) {
			t.scratch = append(t.scratch, o)
		}
	}
}

// earned says that enough went to others for o to have its tier's turn: one in N
// of the grants, and of the tokens too, so that a long answer waits longer.
func (t *tierQueue) earned(o *offer) bool {
	return t.sinceTurn >= o.others && t.tokensSince >= float64(o.others)*o.cost
}

// next gives the offer of a tier that goes first: of those within their fair
// part, the earliest due that can still be in time, else the oldest that can
// still end by its deadline, else the oldest.
func (q *queue) next(now time.Time, t *tierQueue, slack float64, times *timings) *offer {
	t.keep(func(o *offer) bool { return !q.held(o) })
	measure(&t.classes, t.scratch)
	var timely, late, vain *offer
	for _, o := range t.scratch {
		if !o.fair(slack) {
			continue
		}
		switch due := o.due(); {
		case !due.Before(now.Add(times.expect(o.Class.Name))):
			if timely == nil || due.Before(timely.due()) {
				timely = o
			}
		case o.inVain(now, times):
			if vain == nil || o.older(vain) {
				vain = o
			}
		case late == nil || o.older(late):
			late = o
		}
	}
	return cmp.Or(timely, late, vain)
}

// fair says that neither class nor account is too far ahead.
func (o *offer) fair(slack float64) bool {
	return o.class.eligible(slack) && o.account.eligible(slack)
}

// took counts a grant towards the next turn of every other tier. What a tier is
// granted in the usual order needs no turn.
func (q *queue) took(ch choice) {
	own := q.tier(ch.offer.Class.Tier)
	for _, t := range q.tiers {
		if t != own {
			t.sinceTurn++
			t.tokensSince += ch.offer.cost
		}
	}
	if ch.turn {
		own.sinceTurn, own.tokensSince = 0, 0
	}
}
