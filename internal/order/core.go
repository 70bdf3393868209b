// Package order decides when a sidecar orders its engine to load what the
// table says.
//
// The sidecar beside an engine alone gives it orders, one at a time. Each is
// numbered by the revision of the section that asks for it, which only grows:
// an engine that checks numbers refuses what is older than it has seen. One that
// ignores them is safe only because nobody else gives it orders.
//
// The core compares what is wanted with what was ordered and what the engine
// says it holds, so quick edits end with the last one's order and an engine that
// restarts is ordered again. Loads wait for a slot of time, which divides the
// rate of the weight store among all sidecars without a word between them.
//
// # Usage
//
//	c := &order.Core{LoadsPerMinute: 60}
//	for _, e := range c.Handle(now, order.Configured{Wanted: "draft@v7", Fencing: 12, Place: place}) {
//		// carry out; answer a Give with an Ended
//	}
package order

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	// MaxLoadTime is how long a load may take. Until it is over, an engine that
	// took an order may restart once, or still hold something else.
	MaxLoadTime = 10 * time.Minute

	firstBackoff = time.Second
	maxBackoff   = time.Minute
)

// Core decides on the orders for one engine. Its exported fields are set before
// use.
type Core struct {
	// LoadsPerMinute is how many loads the whole fleet may begin in a minute; 0
	// for DefaultLoadsPerMinute.
	LoadsPerMinute int

	config Configured
	// newestFencing is the highest number of a table that was told.
	newestFencing FencingToken
	paused        bool
	draining      bool

	health HealthChecked
	// generation counts the engine's instances that were seen.
	generation int

	last sentOrder
	// pending says that the last order has not ended.
	pending bool
	// refusedFencing is the highest number that the engine refusedFencing as old.
	refusedFencing FencingToken
	failures       int
	retryAt        time.Time
	// lastSlot is the last slot in which an order was given.
	lastSlot slot
}

// sentOrder is an order that went out.
type sentOrder struct {
	order      Order
	generation int
	at         time.Time
	accepted   bool
	// confirmed says that the engine said since that it holds the load.
	confirmed bool
	// restarted says that a restart was put down to the order.
	restarted bool
}

// Handle takes a message at a time and gives what is to be done.
func (c *Core) Handle(now time.Time, m Message) []Effect {
	var es []Effect
	switch m := m.(type) {
	case Configured:
		c.configure(m)
	case HealthChecked:
		c.healthChecked(now, m)
	case Ended:
		es = c.ended(now, m.Code)
	case PauseBegan:
		c.paused = true
	case PauseEnded:
		c.paused = false
	case Draining:
		c.draining = true
	}
	return append(es, c.nextOrder(now)...)
}

// configure takes a view over, unless its table is older than one that was told.
func (c *Core) configure(m Configured) {
	if m.Fencing < c.newestFencing {
		return
	}
	if m.Wanted != c.config.Wanted {
		c.failures, c.retryAt = 0, time.Time{}
	}
	c.newestFencing = m.Fencing
	c.config = m
}

// healthChecked learns of a new instance of the engine. One that does not name its
// instance counts as new when it was away.
func (c *Core) healthChecked(now time.Time, m HealthChecked) {
	if !m.Reached {
		c.health.Reached = false
		return
	}
	restarted := c.generation == 0 || m.Instance != c.health.Instance || m.Instance == "" && !c.health.Reached
	c.health = m
	if restarted {
		c.generation++
		c.attributeRestart(now)
	}
	if c.last.generation == c.generation && m.ReportsLoad && m.Loaded == c.last.order.Load {
		c.last.confirmed = true
	}
}

// attributeRestart puts a restart down to the last order, for some engines restart to
// load. Ordered again, they would never end to.
func (c *Core) attributeRestart(now time.Time) {
	l := &c.last
	if l.generation != c.generation-1 || l.confirmed || l.restarted || !c.pending && !l.accepted || now.Sub(l.at) >= MaxLoadTime {
		return
	}
	l.generation = c.generation
	l.restarted = true
}

func (c *Core) ended(now time.Time, code result.Code) []Effect {
	if !c.pending {
		return nil
	}
	c.pending = false
	o := c.last.order
	switch code {
	case result.OK:
		c.last.accepted, c.last.at = true, now
		c.failures = 0
		return []Effect{Accepted{o}}
	case result.UpstreamRefused:
		c.refusedFencing = max(c.refusedFencing, o.Fencing)
		return []Effect{Failed{Order: o, Code: code}}
	}
	c.retryAt = now.Add(min(firstBackoff<<min(c.failures, 16), maxBackoff))
	c.failures++
	return []Effect{Failed{o, code, c.retryAt}}
}

// nextOrder gives the order that is due.
func (c *Core) nextOrder(now time.Time) []Effect {
	if !c.mayOrder() || c.upToDate(now) || now.Before(c.retryAt) || !c.claimSlot(now) {
		return nil
	}
	c.last = sentOrder{order: Order{c.config.Wanted, c.config.Fencing}, generation: c.generation, at: now}
	c.pending = true
	return []Effect{SendOrder{c.last.order}}
}

// mayOrder says whether an order could be given at all.
func (c *Core) mayOrder() bool {
	switch {
	case c.paused, c.draining, c.pending, c.config.OnHold:
		return false
	case c.config.Wanted == "", !c.health.Reached:
		return false
	}
	return c.config.Fencing > c.refusedFencing
}

// upToDate says that the engine needs no order for what is wanted.
func (c *Core) upToDate(now time.Time) bool {
	l, want := &c.last, c.config.Wanted
	holds := c.health.ReportsLoad && c.health.Loaded == want
	if l.generation != c.generation {
		// No order went to this instance.
		return holds
	}
	if l.order.Load != want {
		// It may hold what is wanted, but not for long.
		return false
	}
	return holds || l.accepted && (!c.health.ReportsLoad || now.Sub(l.at) < MaxLoadTime)
}

// claimSlot says whether now is this sidecar's turn, and uses it up.
func (c *Core) claimSlot(now time.Time) bool {
	rate := c.LoadsPerMinute
	if rate == 0 {
		rate = DefaultLoadsPerMinute
	}
	k := slotAt(now, rate)
	if k <= c.lastSlot || !c.config.Schedule.owns(k) {
		return false
	}
	c.lastSlot = k
	return true
}
