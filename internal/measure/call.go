package measure

import (
	"time"

	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// call is one request of a caller, from its arrival to its end.
type call struct {
	world    *world
	gateway  *gateway
	id       dispatch.RequestID
	class    table.Class
	service  table.ServiceName
	account  table.Account
	tokens   table.Tokens
	streamed bool
	arrived  time.Time

	core     dispatch.Attempts
	place    *dispatch.QueueEntry
	attempts map[dispatch.AttemptNumber]*attempt
	// wakes invalidates the wake-ups of before the last WakeAt.
	wakes int
	done  bool

	// began is when an engine first ran it, firstToken when the caller had its
	// first token; zero for never.
	began      time.Time
	firstToken time.Time
	// upstream ran it last.
	upstream table.UpstreamName
}

// attempt is one offer of a call at one door.
type attempt struct {
	call    *call
	door    *door
	number  dispatch.AttemptNumber
	offset  table.Tokens
	offer   admission.OfferID
	job     *job
	forward time.Time
	first   time.Time
	// closed says that the gateway listens no more.
	closed bool
}

func (c *call) start() {
	c.attempts = make(map[dispatch.AttemptNumber]*attempt)
	c.core = dispatch.Attempts{
		Request: dispatch.Request{
			ID: c.id, Class: c.class, Arrived: c.arrived, Deadline: c.arrived.Add(c.class.Deadline), Streamed: c.streamed,
		},
		Pick:       c.gateway.pick(c),
		Budget:     &c.gateway.budget,
		WidenAfter: c.world.policy.WidenAfter,
		MaxOpen:    c.world.policy.MaxOpen,
	}
	c.tell(dispatch.Started{})
}

// tell hands a message to the core and carries out its effects.
func (c *call) tell(m dispatch.Message) {
	if c.done {
		return
	}
	for _, e := range c.core.Handle(c.world.loop.now, m) {
		c.carryOut(e)
	}
}

func (c *call) carryOut(e dispatch.Effect) {
	switch e := e.(type) {
	case dispatch.WakeAt:
		c.wakeAt(e.Time)
	case dispatch.Offer:
		c.offer(e)
	case dispatch.SendBody:
		c.sendBody(e.Attempt)
	case dispatch.Withdraw:
		c.withdraw(e.Attempt)
	case dispatch.Finish:
		c.conclude(e)
	}
}

func (c *call) wakeAt(t time.Time) {
	c.wakes++
	wake := c.wakes
	c.world.loop.at(t, func() {
		if wake == c.wakes {
			c.tell(dispatch.Ticked{})
		}
	})
}

func (c *call) offer(e dispatch.Offer) {
	a := &attempt{call: c, door: c.world.door(e.Candidate), number: e.Attempt, offset: e.ResumeOffset}
	c.attempts[e.Attempt] = a
	c.world.offers++
	c.gateway.pool.AddOffer(e.Candidate)
	if c.world.policy.pushes() {
		a.reply(0, dispatch.Granted{Attempt: a.number})
		return
	}
	a.send(func() { a.door.offered(a) })
}

func (c *call) sendBody(n dispatch.AttemptNumber) {
	a := c.attempts[n]
	if a == nil {
		return
	}
	c.gateway.room.Remove(c.place)
	a.send(func() { a.door.bodyCame(a) })
}

func (c *call) withdraw(n dispatch.AttemptNumber) {
	a := c.attempts[n]
	if a == nil {
		return
	}
	a.close()
	a.send(func() { a.door.withdrawn(a) })
}

// close ends the gateway's part of an attempt.
func (a *attempt) close() {
	if a.closed {
		return
	}
	a.closed = true
	a.call.gateway.pool.RemoveOffer(a.door.candidate())
	delete(a.call.attempts, a.number)
}

// send runs f at the door, one way later.
func (a *attempt) send(f func()) {
	w := a.call.world
	w.loop.after(w.delay(a.call.gateway, a.door), f)
}

// reply tells the gateway, one way later.
func (a *attempt) tell(m dispatch.Message) {
	w := a.call.world
	a.reply(w.delay(a.call.gateway, a.door), m)
}

func (a *attempt) reply(delay time.Duration, m dispatch.Message) {
	a.call.world.loop.after(delay, func() {
		if a.closed {
			return
		}
		a.call.note(m)
		switch m.(type) {
		case dispatch.Refused, dispatch.Ended:
			a.close()
		}
		a.call.tell(m)
	})
}

func (c *call) note(m dispatch.Message) {
	if _, ok := m.(dispatch.HeadReceived); ok && c.firstToken.IsZero() {
		c.firstToken = c.world.loop.now
	}
}

func (c *call) conclude(f dispatch.Finish) {
	if c.done {
		return
	}
	c.done = true
	for _, a := range c.attempts {
		a.close()
	}
	if c.place != nil {
		c.gateway.forget(c)
	}
	c.world.score.call(c, f.Code)
}

// cause says how a call missed its target; empty if it did not.
func (c *call) cause(code result.Code) string {
	now := c.world.loop.now
	switch {
	case code != result.OK:
		return code.String()
	case c.firstToken.Sub(c.arrived) > c.class.FirstToken:
		return "late first token"
	case c.class.TokenGap > 0 && c.tokens > 1 && now.Sub(c.firstToken)/time.Duration(c.tokens-1) > c.class.TokenGap:
		return "slow tokens"
	default:
		return ""
	}
}
