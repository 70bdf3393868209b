package admission

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Defaults of a Core.
const (
	DefaultMaxParked    = 1024
	DefaultGrantTimeout = 250 * time.Millisecond
	DefaultFairSlack    = table.Tokens(512)
	// DefaultReserveShare keeps one slot in five.
	DefaultReserveShare = 5
)

// reserveWindow is how long a tier's offer keeps slots from lower tiers.
const reserveWindow = 10 * time.Second

// queueRetryAfter is told to offers that a full queue turned away.
const queueRetryAfter = time.Second

// Core decides what one upstream runs. Its exported fields are set before the
// first message; a zero field takes its default.
type Core struct {
	// Upstream is the row that is in force until the first Configured.
	Upstream table.Upstream
	// MaxParked bounds the queue, in offers.
	MaxParked int
	// GrantTimeout is how long a grant waits for its body.
	GrantTimeout time.Duration
	// FairSlack is how far a class or client account may run ahead of its fair
	// share of its tier, in estimated tokens. Within it the earliest due goes
	// first.
	FairSlack table.Tokens
	// ReserveShare keeps one slot in so many free of lower tiers while a higher
	// one has offered lately, so that it need not wait for a long answer's end.
	// A negative one keeps none.
	ReserveShare int

	started       bool
	unhealthy     bool
	leaving       bool
	dataCentreOut bool
	paused        bool
	sequence      uint64
	// newOffer is the offer that the present message brought.
	newOffer *offer
	offers   map[OfferID]*offer
	queue    queue
	// inFlight holds granted and running offers in the order of their grants.
	inFlight  []*offer
	limiter   limiter
	timings   timings
	estimates estimates
	// nextExpiry is no later than the first grant that lapses and the first
	// deadline of a parked offer; zero for none.
	nextExpiry   time.Time
	lastReported State
	effects      []Effect
}

// Handle takes one message and returns what is to be done, in order. Messages
// that name unknown offers, or come twice or late, change nothing.
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

// State gives what gateways are to be told now.
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

// Runs says whether the upstream may be given the offer's body: its grant was
// followed by BodyReceived and it has not finished.
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

// report tells gateways of a change that matters to their choice.
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
