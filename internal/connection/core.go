// Package connection bounds the connections of callers: how many there are, how long each
// may be idle or take to send a head, and how large a head may be.
//
// Core decides which connection is closed. It does no I/O, and the time is passed in. Tracker
// connects it to an http.Server: its listener wraps each connection, and its ConnState hook
// tells when a request has been read and when it has been answered.
//
// # Usage
//
//	t := &connection.Tracker{Bounds: connection.NewBounds(memory, descriptors), Log: log}
//	t.Init()
//	go t.Run(ctx)
//	s := &http.Server{Handler: h}
//	t.Configure(s)
//	s.Serve(t.Listener(l))
package connection

import "time"

// Core knows each connection of callers, its phase and the start of that phase. It is designed
// for a few thousand connections: every operation takes constant time. It must not be used
// concurrently.
type Core struct {
	Bounds Bounds
	Limits Limits
	// Upstreams is the number of connections to upstreams that are open, and Gateways the
	// number of other gateways. Both use descriptors.
	Upstreams, Gateways int

	lists [phaseCount]list
	// closing is the number of connections that are to be closed and are still open.
	closing int
	// unreadHeads is the memory of the heads that have not been read whole, and readHeads that
	// of the heads of requests that are being served. Connections that are to be closed don't
	// count.
	unreadHeads, readHeads int64
	shortage               Shortage
}

// Open adds a connection that has been accepted. It returns nil if the connection must be
// closed because no other can be. Otherwise Excess must be called.
func (c *Core) Open(now time.Time, owner any) *Entry {
	e := &Entry{Owner: owner, phase: New, since: now}
	c.lists[New].push(e)
	if b, over := c.exceeded(); over && c.victim(now, b) == e {
		c.shortage.begin(now, b)
		c.lists[New].remove(e)
		return nil
	}
	return e
}

// BeginHead tells that the first bytes of a head have arrived.
func (c *Core) BeginHead(now time.Time, e *Entry) {
	if e.phase != Head {
		c.enter(now, e, Head)
	}
}

// GrowHead adds to the memory of the head that a connection sends. Excess must be called after
// it.
func (c *Core) GrowHead(e *Entry, memory int64) {
	if e.reason == none {
		c.unreadHeads += memory
	}
	e.head += memory
}

// EndHead tells that a whole head has been read. The connection stays open even if it was to be
// closed. Excess must be called after it.
func (c *Core) EndHead(now time.Time, e *Entry) {
	if e.phase == Body || e.phase == Served {
		return
	}
	if e.reason != none {
		e.reason = none
		c.closing--
		c.lists[e.phase].push(e)
		c.unreadHeads += e.head
	}
	c.unreadHeads -= e.head
	c.readHeads += e.head
	c.enter(now, e, Body)
}

// Serve tells that the whole request has been read. It returns false if the connection was to be
// closed while the body was arriving; the request must then be refused.
func (c *Core) Serve(now time.Time, e *Entry) bool {
	if e.phase == Body && e.reason == none {
		c.enter(now, e, Served)
	}
	return e.phase == Served
}

// Rest tells that the answer has been sent.
func (c *Core) Rest(now time.Time, e *Entry) {
	if e.phase != Body && e.phase != Served {
		return
	}
	if e.reason == none {
		c.readHeads -= e.head
	}
	e.head = 0
	c.enter(now, e, Idle)
}

// Close removes a connection that has been closed.
func (c *Core) Close(e *Entry) {
	if e.phase == closed {
		return
	}
	switch {
	case e.reason != none:
		c.closing--
	case e.phase == Body || e.phase == Served:
		c.readHeads -= e.head
		c.lists[e.phase].remove(e)
	default:
		c.unreadHeads -= e.head
		c.lists[e.phase].remove(e)
	}
	e.phase = closed
}

// Excess returns a connection that is to be closed because a bound is exceeded, or nil. It is
// called until it returns nil.
func (c *Core) Excess(now time.Time) *Entry {
	b, over := c.exceeded()
	if !over {
		return nil
	}
	e := c.victim(now, b)
	if e == nil {
		return nil
	}
	c.shortage.begin(now, b)
	c.end(e, ReasonRoom)
	return e
}

// ForceExcess returns a connection that is to be closed because the process has no descriptors
// left, whatever the bounds say, or nil.
func (c *Core) ForceExcess(now time.Time) *Entry {
	c.shortage.begin(now, BoundDescriptors)
	e := c.victim(now, BoundDescriptors)
	if e != nil {
		c.end(e, ReasonRoom)
	}
	return e
}

// Expired returns a connection that is to be closed because it has been idle for too long, or
// has taken too long to send a head, or nil. It is called until it returns nil.
func (c *Core) Expired(now time.Time) *Entry {
	for _, p := range []Phase{New, Idle} {
		if e := c.lists[p].first; e != nil && now.Sub(e.since) >= c.Limits.IdleTimeout {
			c.end(e, ReasonIdle)
			return e
		}
	}
	if e := c.lists[Head].first; e != nil && now.Sub(e.since) >= c.Limits.HeadTimeout {
		c.end(e, ReasonSlowHead)
		return e
	}
	return nil
}

// Count returns the number of connections in a phase that are not to be closed.
func (c *Core) Count(p Phase) int { return c.lists[p].length }

// Closing returns the number of connections that are to be closed and are still open.
func (c *Core) Closing() int { return c.closing }

// Shortage returns whether connections had to be closed for others shortly before now.
func (c *Core) Shortage(now time.Time) Shortage { return c.shortage.at(now) }

// end marks a connection, which is not served, as one that is to be closed.
func (c *Core) end(e *Entry, r Reason) {
	c.lists[e.phase].remove(e)
	if e.phase == Body {
		c.readHeads -= e.head
	} else {
		c.unreadHeads -= e.head
	}
	e.reason = r
	c.closing++
}

func (c *Core) enter(now time.Time, e *Entry, p Phase) {
	if e.reason == none {
		c.lists[e.phase].remove(e)
		c.lists[p].push(e)
	}
	e.phase, e.since = p, now
}

// exceeded returns the first bound that is exceeded.
func (c *Core) exceeded() (Bound, bool) {
	open := 0
	for p := range c.lists {
		open += c.lists[p].length
	}
	served := c.lists[Body].length + c.lists[Served].length
	b := &c.Bounds
	switch {
	case b.Descriptors > 0 && open+max(served, c.Upstreams) > b.forConnections(c.Gateways):
		return BoundDescriptors, true
	case b.Memory > 0 && int64(open)*entryMemory+int64(served)*servedMemory+c.unreadHeads+c.readHeads > b.Memory:
		return BoundMemory, true
	case b.Heads > 0 && c.unreadHeads > b.Heads:
		return BoundHeads, true
	}
	return 0, false
}

// victim returns the connection that is closed first. Clients open connections ahead of need,
// but one that has sent nothing for longer than a head may take is worth least. After it comes
// the one that has been idle longest, then one whose body takes longer than usual bodies do, and
// then the one that has been waiting for its first head or sending one for longest. The memory of heads is freed by closing connections that send one.
func (c *Core) victim(now time.Time, b Bound) *Entry {
	waiting, idle, head := c.lists[New].first, c.lists[Idle].first, c.lists[Head].first
	if b == BoundHeads {
		return head
	}
	if waiting != nil && now.Sub(waiting.since) >= c.Limits.HeadTimeout {
		return waiting
	}
	if idle != nil {
		return idle
	}
	if body := c.lists[Body].first; body != nil && now.Sub(body.since) >= slowBody {
		return body
	}
	if head == nil || waiting != nil && waiting.since.Before(head.since) {
		return waiting
	}
	return head
}
