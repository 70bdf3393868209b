package placement

import (
	"cmp"
	"container/heap"
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

// turns is a heap of the accounts with waiting requests of one rank. The first is the one
// whose turn it is.
type turns []*share

func (t turns) Len() int      { return len(t) }
func (t turns) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Less puts accounts first that have waited long for a grant, then those with the least
// work, and of these the one whose request is the oldest.
func (t turns) Less(i, j int) bool {
	a, b := t[i], t[j]
	if a.overdue != b.overdue {
		return a.overdue
	}
	age := cmp.Or(a.first.since.Compare(b.first.since), cmp.Compare(a.first.ticket, b.first.ticket))
	if a.overdue {
		return age < 0
	}
	return cmp.Or(cmp.Compare(a.work, b.work), age) < 0
}

// Push implements heap.Interface.
func (t *turns) Push(x any) { *t = append(*t, x.(*share)) }

// Pop implements heap.Interface.
func (t *turns) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// considerRank considers the waiting requests of one rank, which are in order of arrival,
// and marks those that are decided. If several accounts ask for the same service, they take
// turns.
//
// It is designed for thousands of requests of hundreds of accounts in each pass. The order is
// corrected only after a grant, as nothing else changes the work of an account.
func (c *Core) considerRank(now time.Time, rank []*waitingRequest, full map[capacityClass]bool) []Effect {
	t, shared := c.collectTurns(now, rank)
	var out []Effect
	if !shared {
		for _, w := range rank {
			out = c.consider(now, w, full, out)
		}
	}
	for shared && len(t) > 0 {
		if granted := c.considerTurn(now, t[0], full, &out); granted != nil {
			granted.Overtook = overtakes(rank, t[0].considered)
			out[len(out)-1] = *granted
		}
		if t[0].first == nil {
			heap.Pop(&t)
			continue
		}
		heap.Fix(&t, 0)
	}
	for _, w := range rank {
		w.next, w.share.first, w.share.last, w.share.considered = nil, nil, nil, nil
	}
	return out
}

// considerTurn considers the requests of an account until one is granted, which it returns.
// If the account is ahead because its first request is overdue, it considers only that one.
func (c *Core) considerTurn(now time.Time, s *share, full map[capacityClass]bool, out *[]Effect) *Grant {
	for s.first != nil {
		s.considered, s.first = s.first, s.first.next
		before := len(*out)
		*out = c.consider(now, s.considered, full, *out)
		wasOverdue := s.overdue
		s.overdue = false
		if len(*out) > before {
			if g, ok := (*out)[before].(Grant); ok {
				return &g
			}
		}
		if wasOverdue {
			return nil
		}
	}
	return nil
}

// collectTurns lists the waiting requests of each account, and reports whether several
// accounts ask for the same service.
func (c *Core) collectTurns(now time.Time, rank []*waitingRequest) (t turns, shared bool) {
	for _, w := range rank {
		s := w.share
		if s.first == nil {
			s.first, s.last = w, w
			s.work = s.workAt(now)
			t = append(t, s)
			continue
		}
		s.last.next, s.last = w, w
	}
	services := make(map[route.ServiceName]bool)
	for _, s := range t {
		s.overdue = s.isOverdue(now)
		shared = shared || services[s.first.request.Service]
		services[s.first.request.Service] = true
	}
	heap.Init(&t)
	return t, shared
}

// consider decides about a waiting request, and appends the effect if there is one.
func (c *Core) consider(now time.Time, w *waitingRequest, full map[capacityClass]bool, out []Effect) []Effect {
	if e := c.decide(now, w, full); e != nil {
		w.decided = true
		return append(out, e)
	}
	return out
}

// overtakes reports whether an older request of another account for the same service still
// waits.
func overtakes(rank []*waitingRequest, w *waitingRequest) bool {
	for _, o := range rank {
		if !o.since.Before(w.since) {
			return false
		}
		if !o.decided && o.share != w.share && o.request.Service == w.request.Service {
			return true
		}
	}
	return false
}
