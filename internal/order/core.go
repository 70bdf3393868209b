// Package order decides when a sidecar orders its engine to load what the
// table names.
//
// Only the sidecar of an engine sends it orders, one at a time. The fencing
// token of an order is the revision of the table section that asks for it, which
// only grows. An engine that checks fencing tokens refuses an order older than
// one it has seen. An engine that ignores them is safe only because no other
// process sends it orders.
//
// Core compares the wanted load with the last order and with the load that the
// engine reports, so a series of quick edits ends with the order of the last
// one, and an engine that restarts gets its order again. Each load waits for a
// time slot of its sidecar. The slots divide the rate of the weight store among
// all sidecars without communication between them.
//
// # Usage
//
//	c := &order.Core{LoadsPerMinute: 60}
//	for _, e := range c.Handle(now, order.Configured{Wanted: "draft@v7", Fencing: 12, Schedule: schedule}) {
//		// carry out e; report the result of a SendOrder with an Ended
//	}
package order

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	// MaxLoadTime is the maximum duration of a load. During this time an engine
	// that accepted an order may restart once, or still report another load.
	MaxLoadTime = 10 * time.Minute

	firstBackoff = time.Second
	maxBackoff   = time.Minute
)

// Core decides on the orders for one engine. Its exported field is set before
// the first message. It is not safe for concurrent use.
type Core struct {
	// LoadsPerMinute is how many loads the whole fleet may start per minute. Zero
	// means DefaultLoadsPerMinute.
	LoadsPerMinute int

	config Configured
	// newestFencing is the highest fencing token of a Configured so far.
	newestFencing FencingToken
	paused        bool
	draining      bool

	health HealthChecked
	// generation counts the instances of the engine, which change when it
	// restarts.
	generation int

	last sentOrder
	// pending reports that the last order has not ended.
	pending bool
	// refusedFencing is the highest fencing token that the engine refused as too
	// old.
	refusedFencing FencingToken
	failures       int
	retryAt        time.Time
	// lastSlot is the last slot in which an order was sent.
	lastSlot slot
}

// sentOrder is an order that was sent to the engine.
type sentOrder struct {
	order      Order
	generation int
	at         time.Time
	accepted   bool
	// confirmed reports that the engine has since reported the ordered load.
	confirmed bool
	// restartAttributed reports that a restart was attributed to the order.
	restartAttributed bool
}

// Handle processes a message that arrives at time now and returns the effects to
// carry out, in order.
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

// configure applies a configuration, unless its table is older than one applied
// before.
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

// healthChecked records a health check and detects restarts of the engine. An
// engine that does not report its instance counts as restarted if it was
// unreachable before.
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

// attributeRestart attributes a restart to the last order, because some engines
// restart in order to load. If they got the order again after each restart, they
// would restart forever.
func (c *Core) attributeRestart(now time.Time) {
	l := &c.last
	if l.generation != c.generation-1 || l.confirmed || l.restartAttributed || !c.pending && !l.accepted || now.Sub(l.at) >= MaxLoadTime {
		return
	}
	l.generation = c.generation
	l.restartAttributed = true
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

// nextOrder returns a SendOrder if an order is due.
func (c *Core) nextOrder(now time.Time) []Effect {
	if !c.mayOrder() || c.upToDate(now) || now.Before(c.retryAt) || !c.claimSlot(now) {
		return nil
	}
	c.last = sentOrder{order: Order{c.config.Wanted, c.config.Fencing}, generation: c.generation, at: now}
	c.pending = true
	return []Effect{SendOrder{c.last.order}}
}

// mayOrder reports whether an order is allowed now, whether or not the engine
// needs one.
func (c *Core) mayOrder() bool {
	switch {
	case c.paused, c.draining, c.pending, c.config.OnHold:
		return false
	case c.config.Wanted == "", !c.health.Reached:
		return false
	}
	return c.config.Fencing > c.refusedFencing
}

// upToDate reports whether the engine needs no order for the wanted load.
func (c *Core) upToDate(now time.Time) bool {
	l, want := &c.last, c.config.Wanted
	holds := c.health.ReportsLoad && c.health.Loaded == want
	if l.generation != c.generation {
		// This instance got no order.
		return holds
	}
	if l.order.Load != want {
		// The engine may report the wanted load now, but the last order makes it
		// load another.
		return false
	}
	return holds || l.accepted && (!c.health.ReportsLoad || now.Sub(l.at) < MaxLoadTime)
}

// claimSlot reports whether the current slot belongs to this sidecar and is
// unused, and marks it as used. A slot more than a minute and a round of slots
// before the last one means that the clock was set back.
func (c *Core) claimSlot(now time.Time) bool {
	rate := c.LoadsPerMinute
	if rate == 0 {
		rate = DefaultLoadsPerMinute
	}
	k := slotAt(now, rate)
	if !c.config.Schedule.owns(k) || k <= c.lastSlot && int(c.lastSlot-k) < max(rate, c.config.Schedule.Members) {
		return false
	}
	c.lastSlot = k
	return true
}
