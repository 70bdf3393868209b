package placement

import (
	"cmp"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
)

// waitingRequest is a queued request.
type waitingRequest struct {
	ticket  Ticket
	request Request
	since   time.Time
	// draw is a random number from 0 to 1. The request may leave the data centre if the
	// share of requests that do is above it.
	draw float64
	// share is that of the request's account, once the request waits.
	share *share
	// next is the next request of the same share in the current pass, and decided is set
	// once the request has been granted or refused.
	next    *waitingRequest
	decided bool
}

// admitAtOnce decides about a new request that no other request waits ahead of, or
// queues it. It returns nil if the request waits.
func (c *Core) admitAtOnce(now time.Time, m Enqueue) Effect {
	c.countTier(now, &m.Request)
	w := &waitingRequest{ticket: m.Ticket, request: m.Request, since: now, draw: float64(c.hash(^uint64(m.Ticket))>>11) / (1 << 53)}
	ahead := func(o *waitingRequest) bool {
		return o.request.Service == m.Request.Service && o.request.Rank <= m.Request.Rank
	}
	if !slices.ContainsFunc(c.waiting, ahead) {
		if e := c.decide(now, w, map[capacityClass]bool{}); e != nil {
			return e
		}
	}
	w.share = c.shareOf(now, &w.request)
	c.waiting = append(c.waiting, w)
	return nil
}

// schedule grants upstreams to waiting requests, in order of rank and then in turns of the
// client accounts, and refuses those that have waited too long.
func (c *Core) schedule(now time.Time) []Effect {
	if len(c.waiting) == 0 {
		return nil
	}
	c.expirePeerReports(now)
	slices.SortStableFunc(c.waiting, func(a, b *waitingRequest) int {
		return cmp.Or(cmp.Compare(a.request.Rank, b.request.Rank), a.since.Compare(b.since))
	})
	var out []Effect
	full := make(map[capacityClass]bool)
	for begin := 0; begin < len(c.waiting); {
		end := begin + 1
		for end < len(c.waiting) && c.waiting[end].request.Rank == c.waiting[begin].request.Rank {
			end++
		}
		out = append(out, c.considerRank(now, c.waiting[begin:end], full)...)
		begin = end
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(w *waitingRequest) bool { return w.decided })
	return out
}

// decide returns the effect for a waiting request, or nil if it keeps waiting. Classes
// in full are known to have no room; decide adds to them.
func (c *Core) decide(now time.Time, w *waitingRequest, full map[capacityClass]bool) Effect {
	r := &w.request
	class := capacityClass{r.Service, r.Rank}
	if !full[class] {
		l := c.limitsFor(class, r.Objective)
		c.planCrossing(now, w, l)
		if ch := c.choose(now, r, l); ch.member != nil {
			if reason, ok := c.mayPlace(ch.member, r); ok {
				c.assign(now, w, ch, reason)
				return Grant{Ticket: w.ticket, Upstream: ch.member.upstream, Expected: ch.expected, KVSource: ch.kvSource(), Crossing: reason}
			}
		}
		full[class] = !c.hasRoom(class, l)
	}
	maxWait := r.MaxWait
	if maxWait == 0 {
		maxWait = time.Duration(maxWaitFraction * float64(r.Objective))
	}
	if pause := c.pauseLeft(now, r.Service); pause > 0 && now.Add(pause).After(earlier(w.since.Add(maxWait), r.Deadline.Add(-minTimeLeft))) {
		return Refuse{w.ticket, result.UpstreamsPaused, pause + c.returnSpread()}
	}
	if now.Sub(w.since) >= maxWait || r.Deadline.Sub(now) < minTimeLeft {
		return Refuse{w.ticket, c.refusalCode(r), RetryAfter(r.Deadline.Sub(now), c.nextRandom())}
	}
	return nil
}

// refusalCode returns the result code for a request that no upstream could take.
func (c *Core) refusalCode(r *Request) result.Code {
	if c.limitsFor(capacityClass{r.Service, r.Rank}, r.Objective).batchShare < 1 &&
		c.hasRoom(capacityClass{r.Service, r.Rank}, limits{batchShare: 1}) {
		return result.RoomReserved
	}
	for _, m := range c.members {
		if m.upstream.Service == r.Service && !m.leaving() {
			return result.QueueFull
		}
	}
	return result.NoUpstream
}

// RetryAfter returns the delay after which a refused caller may retry, given the
// time left until its deadline. The random number, which differs between callers,
// adds jitter: the delay is between 0.5 and 1.5 times the base delay.
func RetryAfter(left time.Duration, random uint64) time.Duration {
	wait := min(time.Duration(retryAfterFraction*float64(left)), maxRetryAfter)
	return max(wait/2+time.Duration(random%1000)*wait/1000, 0)
}
