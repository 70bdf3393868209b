package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/availability"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/pkg/result"
)

func stated(u route.Upstream, leaving bool, pause time.Duration) Stated {
	return Stated{Incarnation: u.Incarnation(), Statement: availability.Statement{Leaving: leaving, Pause: pause}}
}

// An upstream that has said that it leaves gets nothing more, whatever its entry says and
// however often that lapses. Only a new incarnation does.
func TestUpstreamThatSaidThatItLeavesGetsNothing(t *testing.T) {
	v := engines(1)
	c := newCore(v, 1)
	assert.Equal(t, enqueue(t, c, start, 1, question(1)), route.UpstreamID("e00"))
	effects := c.Handle(start, stated(v.Upstreams[0], true, 0))
	assert.Assert(t, slices.Contains(effects, Effect(Leaves{Upstream: "e00"})))
	assert.Assert(t, !c.Valid(start, 1), "a grant that is not sent is taken back")
	refused := func(now time.Time, ticket Ticket) result.Code {
		for _, e := range c.Handle(now, Enqueue{ticket, question(PartID(ticket))}) {
			if r, ok := e.(Refuse); ok {
				return r.Code
			}
			_, granted := e.(Grant)
			assert.Assert(t, !granted)
		}
		for _, e := range c.Handle(now.Add(time.Second), Ticked{}) {
			if r, ok := e.(Refuse); ok {
				return r.Code
			}
			_, granted := e.(Grant)
			assert.Assert(t, !granted)
		}
		return result.OK
	}
	assert.Equal(t, refused(start, 2), result.NoUpstream)
	c.Handle(start, ViewUpdate{v})
	assert.Equal(t, refused(start.Add(2*time.Second), 3), result.NoUpstream)
	lapsed := *v
	lapsed.Upstreams = nil
	c.Handle(start.Add(4*time.Second), ViewUpdate{&lapsed})
	c.Handle(start.Add(9*time.Second), ViewUpdate{v})
	assert.Equal(t, refused(start.Add(10*time.Second), 4), result.NoUpstream)
	restarted := *v
	restarted.Upstreams = slices.Clone(v.Upstreams)
	restarted.Upstreams[0].StartedAtMillis = 7
	now := start.Add(11 * time.Second)
	c.Handle(now, ViewUpdate{&restarted})
	c.Handle(now, stated(v.Upstreams[0], true, time.Second))
	r := question(5)
	r.Deadline = now.Add(time.Second)
	assert.Equal(t, enqueue(t, c, now, 5, r), route.UpstreamID("e00"), "a late word of the old incarnation counts for the new one")
}

// A refusal's pause keeps requests away. If all upstreams pause, requests that can't wait
// are refused at once, to come back after the pause, and not at the same moment.
func TestPauseOfAllUpstreams(t *testing.T) {
	v := engines(2)
	c := newCore(v, 1)
	c.Handle(start, stated(v.Upstreams[0], false, 3*time.Second))
	assert.Equal(t, enqueue(t, c, start, 1, question(1)), route.UpstreamID("e01"))
	c.Handle(start, ResponseStarted{1})
	c.Handle(start, stated(v.Upstreams[1], false, 2*time.Second))
	delays := map[time.Duration]bool{}
	for n := range 10 {
		effects := c.Handle(start, Enqueue{Ticket(10 + n), question(PartID(n))})
		assert.Equal(t, len(effects), 1)
		r := effects[0].(Refuse)
		assert.Equal(t, r.Code, result.UpstreamsPaused)
		assert.Assert(t, r.RetryAfter >= 2*time.Second && r.RetryAfter <= 2*time.Second+2*maxReturnSpread, "%s", r.RetryAfter)
		delays[r.RetryAfter] = true
	}
	assert.Assert(t, len(delays) > 5)
	// A request that can wait for the end of the pause waits.
	patient := draft(1, 1)
	patient.Objective = 5 * time.Second
	assert.Equal(t, enqueue(t, c, start, 30, patient), route.UpstreamID(""))
	assert.Equal(t, c.Waiting(), 1)
	now := start.Add(2*time.Second + maxReturnSpread)
	effects := c.Handle(now, Ticked{})
	assert.Equal(t, effects[0].(Grant).Upstream.ID, route.UpstreamID("e01"))
}

// After a pause an upstream gets one request until its answer begins, then more.
func TestRequestsReturnGraduallyAfterPause(t *testing.T) {
	v := engines(1)
	c := newCore(v, 1)
	c.Handle(start, stated(v.Upstreams[0], false, 100*time.Millisecond))
	now := start.Add(time.Second)
	granted := func(first Ticket) int {
		n := 0
		for i := range Ticket(40) {
			r := question(PartID(first + i))
			r.Deadline = now.Add(10 * time.Second)
			if enqueue(t, c, now, first+i, r) != "" {
				n++
			} else {
				c.Handle(now, Cancelled{first + i})
			}
		}
		return n
	}
	assert.Equal(t, granted(100), 1)
	c.Handle(now, ResponseStarted{100})
	assert.Equal(t, granted(200), 2)
	c.Handle(now, ResponseStarted{200})
	c.Handle(now, ResponseStarted{201})
	assert.Equal(t, granted(300), 8)
}

// Random orders of answers, entries that come, lapse and change, incarnations and
// addresses that are used again. No request goes to an incarnation after it has said that
// it leaves, or during a pause that it asked for, and no other upstream loses requests
// because of what one says.
func TestRandomStatementsAndViews(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 26))
		c := newCore(engines(0), 1)
		said := map[route.Incarnation]*availability.State{}
		view := engines(4)
		listed := map[int]bool{0: true, 1: true, 2: true, 3: true}
		publish := func(now time.Time) {
			v := *view
			v.Upstreams = nil
			for i, u := range view.Upstreams {
				if listed[i] {
					v.Upstreams = append(v.Upstreams, u)
				}
			}
			c.Handle(now, ViewUpdate{&v})
		}
		now := start
		publish(now)
		granted := 0
		for ticket := range Ticket(400) {
			now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
			i := random.IntN(4)
			u := &view.Upstreams[i]
			switch random.IntN(8) {
			case 0:
				m := stated(*u, random.IntN(12) == 0, time.Duration(random.IntN(2000))*time.Millisecond)
				if s := said[u.Incarnation()]; s == nil {
					said[u.Incarnation()] = &availability.State{}
				}
				said[u.Incarnation()].Record(now, m.Statement, 0)
				c.Handle(now, m)
			case 1:
				listed[i] = !listed[i]
				publish(now)
			case 2:
				// A new incarnation, which may have the address of another upstream.
				listed[i] = true
				u.StartedAtMillis = int64(ticket) + 1
				u.Address = fmt.Sprintf("10.0.0.%d:80", random.IntN(4))
				publish(now)
			default:
				r := question(PartID(ticket))
				r.Deadline = now.Add(10 * time.Second)
				id := enqueue(t, c, now, ticket, r)
				c.Handle(now, Cancelled{ticket})
				if id == "" {
					continue
				}
				granted++
				at := slices.IndexFunc(view.Upstreams, func(u route.Upstream) bool { return u.ID == id })
				assert.Assert(t, listed[at])
				if s := said[view.Upstreams[at].Incarnation()]; s != nil {
					assert.Assert(t, !s.Leaving() && s.PauseLeft(now) == 0, "seed %d: sent to %s, which wants no requests", seed, id)
				}
				c.Handle(now, ResponseStarted{ticket})
				c.Handle(now, Done{ticket, Served})
			}
		}
		assert.Assert(t, granted > 100, "seed %d: %d granted, too few for a meaningful test", seed, granted)
	}
}
