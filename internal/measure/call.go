package measure

import (
	"time"

	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// call is one request of a caller, from its arrival to its completion.
type call struct {
	sim      *simulation
	gateway  *gateway
	id       dispatch.RequestID
	class    table.Class
	service  table.ServiceName
	account  table.Account
	tokens   table.Tokens
	streamed bool
	arrived  time.Time

	core       dispatch.Attempts
	queueEntry *dispatch.QueueEntry
	attempts   map[dispatch.AttemptNumber]*attempt
	// timerGeneration invalidates timers set before the last WakeAt effect.
	timerGeneration int
	done            bool

	// startedAt is when an engine first started to run the call. firstTokenAt is
	// when the gateway received the first token. Both are zero until then.
	startedAt    time.Time
	firstTokenAt time.Time
	// upstream is the upstream that the call was last forwarded to.
	upstream table.UpstreamName
}

// attempt is one offer of a call to one sidecar.
type attempt struct {
	call         *call
	sidecar      *sidecar
	number       dispatch.AttemptNumber
	offset       table.Tokens
	offerID      admission.OfferID
	job          *job
	forwardedAt  time.Time
	firstTokenAt time.Time
	// closed reports that the gateway ignores further messages of the attempt.
	closed bool
}

func (c *call) start() {
	c.attempts = make(map[dispatch.AttemptNumber]*attempt)
	c.core = dispatch.Attempts{
		Request: dispatch.Request{
			ID: c.id, Class: c.class, Arrived: c.arrived, Deadline: c.arrived.Add(c.class.Deadline), Streamed: c.streamed,
		},
		Pick:       c.gateway.picker(c),
		Budget:     &c.gateway.budget,
		WidenAfter: c.sim.policy.WidenAfter,
		MaxOpen:    c.sim.policy.MaxOpen,
	}
	c.handle(dispatch.Started{})
}

// handle passes a message to the state machine of package dispatch and carries
// out its effects.
func (c *call) handle(m dispatch.Message) {
	if c.done {
		return
	}
	for _, e := range c.core.Handle(c.sim.loop.Now, m) {
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
		c.finish(e)
	}
}

func (c *call) wakeAt(t time.Time) {
	c.timerGeneration++
	generation := c.timerGeneration
	c.sim.loop.At(t, func() {
		if generation == c.timerGeneration {
			c.handle(dispatch.Ticked{})
		}
	})
}

func (c *call) offer(e dispatch.Offer) {
	a := &attempt{call: c, sidecar: c.sim.sidecar(e.Candidate), number: e.Attempt, offset: e.ResumeOffset}
	c.attempts[e.Attempt] = a
	c.sim.offerCount++
	c.gateway.pool.AddOffer(e.Candidate)
	if c.sim.policy.pushes() {
		a.deliver(0, dispatch.Granted{Attempt: a.number})
		return
	}
	a.sendToSidecar(func() { a.sidecar.handleOffer(a) })
}

func (c *call) sendBody(n dispatch.AttemptNumber) {
	a := c.attempts[n]
	if a == nil {
		return
	}
	c.gateway.queue.Remove(c.queueEntry)
	a.sendToSidecar(func() { a.sidecar.handleBody(a) })
}

func (c *call) withdraw(n dispatch.AttemptNumber) {
	a := c.attempts[n]
	if a == nil {
		return
	}
	a.close()
	a.sendToSidecar(func() { a.sidecar.handleWithdrawal(a) })
}

// close ends the gateway's side of an attempt.
func (a *attempt) close() {
	if a.closed {
		return
	}
	a.closed = true
	a.call.gateway.pool.RemoveOffer(a.sidecar.candidate())
	delete(a.call.attempts, a.number)
}

// sendToSidecar runs f at the sidecar after the one-way network delay.
func (a *attempt) sendToSidecar(f func()) {
	sim := a.call.sim
	sim.loop.After(sim.delay(a.call.gateway, a.sidecar), f)
}

// sendToGateway delivers m to the gateway after the one-way network delay.
func (a *attempt) sendToGateway(m dispatch.Message) {
	sim := a.call.sim
	a.deliver(sim.delay(a.call.gateway, a.sidecar), m)
}

func (a *attempt) deliver(delay time.Duration, m dispatch.Message) {
	a.call.sim.loop.After(delay, func() {
		if a.closed {
			return
		}
		a.call.recordFirstToken(m)
		switch m.(type) {
		case dispatch.Refused, dispatch.Ended:
			a.close()
		}
		a.call.handle(m)
	})
}

func (c *call) recordFirstToken(m dispatch.Message) {
	if _, ok := m.(dispatch.HeadReceived); ok && c.firstTokenAt.IsZero() {
		c.firstTokenAt = c.sim.loop.Now
	}
}

func (c *call) finish(f dispatch.Finish) {
	if c.done {
		return
	}
	c.done = true
	for _, a := range c.attempts {
		a.close()
	}
	if c.queueEntry != nil {
		c.gateway.remove(c)
	}
	c.sim.stats.recordCall(c, f.Code)
}

// missCause returns why the call missed its class's targets, or the empty string
// if it met them.
func (c *call) missCause(code result.Code) string {
	now := c.sim.loop.Now
	switch {
	case code != result.OK:
		return code.String()
	case c.firstTokenAt.Sub(c.arrived) > c.class.FirstToken:
		return "late first token"
	case c.class.TokenGap > 0 && c.tokens > 1 && now.Sub(c.firstTokenAt)/time.Duration(c.tokens-1) > c.class.TokenGap:
		return "slow tokens"
	default:
		return ""
	}
}
