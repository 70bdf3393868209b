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
	// LoadBound is how long a load may take. Until it is over, an engine that
	// took an order may restart once, or still hold something else.
	LoadBound = 10 * time.Minute

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
	// newest is the highest number of a table that was told.
	newest   Fencing
	paused   bool
	draining bool

	seen EngineSeen
	// life counts the engine's instances that were seen.
	life int

	last given
	// giving says that the last order has not ended.
	giving bool
	// refused is the highest number that the engine refused as old.
	refused  Fencing
	failures int
	retryAt  time.Time
	// used is the last slot in which an order was given.
	used slot
}

// given is an order that went out.
type given struct {
	order Order
	life  int
	at    time.Time
	taken bool
	// held says that the engine said since that it holds the load.
	held bool
	// moved says that a restart was put down to the order.
	moved bool
}

// Handle takes a message at a time and gives what is to be done.
func (c *Core) Handle(now time.Time, m Message) []Effect {
	var es []Effect
	switch m := m.(type) {
	case Configured:
		c.configure(m)
	case EngineSeen:
		c.see(now, m)
	case Ended:
		es = c.end(now, m.Code)
	case PauseBegan:
		c.paused = true
	case PauseEnded:
		c.paused = false
	case Draining:
		c.draining = true
	}
	return append(es, c.next(now)...)
}

// configure takes a view over, unless its table is older than one that was told.
func (c *Core) configure(m Configured) {
	if m.Fencing < c.newest {
		return
	}
	if m.Wanted != c.config.Wanted {
		c.failures, c.retryAt = 0, time.Time{}
	}
	c.newest = m.Fencing
	c.config = m
}

// see learns of a new instance of the engine. One that does not name its
// instance counts as new when it was away.
func (c *Core) see(now time.Time, m EngineSeen) {
	if !m.Reached {
		c.seen.Reached = false
		return
	}
	restarted := c.life == 0 || m.Instance != c.seen.Instance || m.Instance == "" && !c.seen.Reached
	c.seen = m
	if restarted {
		c.life++
		c.moveOrder(now)
	}
	if c.last.life == c.life && m.Tells && m.Loaded == c.last.order.Load {
		c.last.held = true
	}
}

// moveOrder puts a restart down to the last order, for some engines restart to
// load. Ordered again, they would never end to.
func (c *Core) moveOrder(now time.Time) {
	l := &c.last
	if l.life != c.life-1 || l.held || l.moved || !c.giving && !l.taken || now.Sub(l.at) >= LoadBound {
		return
	}
	l.life = c.life
	l.moved = true
}

func (c *Core) end(now time.Time, code result.Code) []Effect {
	if !c.giving {
		return nil
	}
	c.giving = false
	o := c.last.order
	switch code {
	case result.OK:
		c.last.taken, c.last.at = true, now
		c.failures = 0
		return []Effect{Taken{o}}
	case result.UpstreamRefused:
		c.refused = max(c.refused, o.Fencing)
		return []Effect{Failed{Order: o, Code: code}}
	}
	c.retryAt = now.Add(min(firstBackoff<<min(c.failures, 16), maxBackoff))
	c.failures++
	return []Effect{Failed{o, code, c.retryAt}}
}

// next gives the order that is due.
func (c *Core) next(now time.Time) []Effect {
	if !c.may() || c.done(now) || now.Before(c.retryAt) || !c.takeSlot(now) {
		return nil
	}
	c.last = given{order: Order{c.config.Wanted, c.config.Fencing}, life: c.life, at: now}
	c.giving = true
	return []Effect{Give{c.last.order}}
}

// may says whether an order could be given at all.
func (c *Core) may() bool {
	switch {
	case c.paused, c.draining, c.giving, c.config.Held:
		return false
	case c.config.Wanted == "", !c.seen.Reached:
		return false
	}
	return c.config.Fencing > c.refused
}

// done says that the engine needs no order for what is wanted.
func (c *Core) done(now time.Time) bool {
	l, want := &c.last, c.config.Wanted
	holds := c.seen.Tells && c.seen.Loaded == want
	if l.life != c.life {
		// No order went to this instance.
		return holds
	}
	if l.order.Load != want {
		// It may hold what is wanted, but not for long.
		return false
	}
	return holds || l.taken && (!c.seen.Tells || now.Sub(l.at) < LoadBound)
}

// takeSlot says whether now is this sidecar's turn, and uses it up.
func (c *Core) takeSlot(now time.Time) bool {
	rate := c.LoadsPerMinute
	if rate == 0 {
		rate = DefaultLoadsPerMinute
	}
	k := slotAt(now, rate)
	if k <= c.used || !c.config.Place.owns(k) {
		return false
	}
	c.used = k
	return true
}
