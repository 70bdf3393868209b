package admission

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Default values for the fields of Core.
const (
	DefaultMaxParked    = 1024
	DefaultGrantTimeout = 250 * time.Millisecond
	DefaultFairSlack    = table.Tokens(512)
	// DefaultReserveShare reserves one slot in five.
	DefaultReserveShare = 5
)

// reserveWindow is how long an offer of a tier reserves slots from lower tiers.
const reserveWindow = 10 * time.Second

// queueRetryAfter is the retry delay sent with offers that a full queue refuses
// or evicts.
const queueRetryAfter = time.Second

// Core decides which requests one upstream runs. Its exported fields are set
// before the first message; a zero field takes its default.
type Core struct {
	// Upstream is the row in force until the first Configured message.
	Upstream table.Upstream
	// MaxParked is the maximum number of parked offers.
	MaxParked int
	// GrantTimeout is how long a grant waits for the request body.
	GrantTimeout time.Duration
	// FairSlack is how far a class or client account may run ahead of its fair
	// share of its tier, in estimated tokens. Within this slack, the offer that
	// is due earliest is granted first.
	FairSlack table.Tokens
	// ReserveShare reserves one slot in this many from lower tiers while a
	// higher tier has sent an offer recently, so that the higher tier need not
	// wait for a long answer to end. A negative value reserves none.
	ReserveShare int

	started       bool
	unhealthy     bool
	leaving       bool
	dataCentreOut bool
	paused        bool
	sequence      uint64
	// newOffer is the offer that the current message added.
	newOffer *offer
	offers   map[OfferID]*offer
	queue    queue
	// inFlight holds the granted and running offers in the order of their
	// grants.
	inFlight  []*offer
	limiter   limiter
	timings   timings
	estimates estimates
	// nextExpiry is no later than the first expiry of a grant and the first
	// deadline of a parked offer; zero means none.
	nextExpiry   time.Time
	lastReported State
	effects      []Effect
}

// Handle processes one message and returns the effects to carry out, in order.
// Messages that name unknown offers, or arrive twice or late, change nothing.
func (c *Core) Handle(now time.Time, m Message) []Effect {
	c.start()
	c.newOffer = nil
	c.apply(now, m)
	c.expire(now)
	c.schedule(now)
	c.parkOrEvict()
	c.report()
	effects := c.effects
	c.effects = nil
	return effects
}

// State returns the current state as reported to gateways.
func (c *Core) State() State {
	c.start()
	return State{
		Refusing: c.refusalCode(),
		Limit:    c.limiter.limit(),
		InFlight: len(c.inFlight),
		Parked:   c.queue.parked,
		Cold:     c.limiter.cold,
	}
}

// Runs reports whether the offer's body may be sent to the upstream:
// BodyReceived followed its grant and the request has not finished.
func (c *Core) Runs(id OfferID) bool {
	o := c.offers[id]
	return o != nil && o.phase == running
}

func (c *Core) start() {
	if c.started {
		return
	}
	c.started = true
	if c.MaxParked <= 0 {
		c.MaxParked = DefaultMaxParked
	}
	if c.GrantTimeout <= 0 {
		c.GrantTimeout = DefaultGrantTimeout
	}
	if c.FairSlack <= 0 {
		c.FairSlack = DefaultFairSlack
	}
	if c.ReserveShare == 0 {
		c.ReserveShare = DefaultReserveShare
	}
	c.limiter.reserveShare = c.ReserveShare
	c.offers = map[OfferID]*offer{}
	c.limiter.configure(c.Upstream)
	c.limiter.turnCold()
	c.lastReported = c.State()
}

func (c *Core) apply(now time.Time, m Message) {
	switch m := m.(type) {
	case Offered:
		c.offered(now, m)
	case Withdrawn:
		c.withdrawn(m)
	case BodyReceived:
		c.bodyReceived(now, m)
	case FirstTokenReceived:
		c.firstTokenReceived(m)
	case Finished:
		c.finished(m)
	case Configured:
		c.configured(m)
	case HealthChanged:
		c.healthChanged(m)
	case LeaveRequested:
		c.updateAvailability(func() { c.leaving = true })
	case PauseBegan:
		c.updateAvailability(func() { c.paused = true })
	case PauseEnded:
		c.paused = false
		c.turnCold()
	case Ticked:
	}
}

// report emits ReportChanged if the state changed in a way that affects which
// upstream gateways choose.
func (c *Core) report() {
	s, old := c.State(), c.lastReported
	same := s.Refusing == old.Refusing &&
		s.Limit == old.Limit &&
		s.Cold == old.Cold &&
		(s.Parked == 0) == (old.Parked == 0)
	if same {
		return
	}
	c.lastReported = s
	c.emit(ReportChanged{State: s})
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) refuse(id OfferID, code result.Code, after time.Duration) {
	c.emit(Refuse{ID: id, Code: code, RetryAfter: after})
}
