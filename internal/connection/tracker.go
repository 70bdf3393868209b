package connection

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	// sweepInterval is how often connections are checked for time-outs. One timer for all of
	// them costs less than one for each.
	sweepInterval = 250 * time.Millisecond
	// refusalTime limits how long a refused request may take to be answered and its body to be
	// dropped. Other requests have deadlines of their own by the time their body is read.
	refusalTime = 10 * time.Second
	// answerMargin is how much later the answer may be written, because package net/http reads
	// a body before it writes the answer.
	answerMargin = 2 * time.Second
	// serverHeadBytes is the limit of package net/http on heads. It is never reached, because
	// the limit of the table is at most MaxHeadBytes.
	serverHeadBytes = MaxHeadBytes + 64<<10
	// MaxHeadBytes is the largest HeadBytes of Limits.
	MaxHeadBytes = 16 << 20
)

// Tracker tracks the connections of the callers of an http.Server, and closes those that are
// over a limit or for which there is no room. Set its exported fields before calling Init.
type Tracker struct {
	Bounds Bounds
	// Upstreams returns the number of open connections to upstreams, and Gateways that of other
	// gateways; nil if there are none.
	Upstreams, Gateways func() int
	// CountRefusal counts an answer to a head that is refused; it may be nil.
	CountRefusal func(result.Code)
	Log          *event.Log

	limits  atomic.Pointer[Limits]
	metrics metricSet
	// freed is signalled when a connection has been closed.
	freed chan struct{}

	mu   sync.Mutex
	core Core
	// short is the bound that was reported last.
	short Bound
}

// Init prepares the tracker for use.
func (t *Tracker) Init() {
	t.freed = make(chan struct{}, 1)
	t.core.Bounds = t.Bounds
	t.SetLimits(Limits{})
	t.metrics.init(t)
}

// SetLimits replaces the limits, also for the connections that are open. DefaultLimits apply
// where a limit is zero.
func (t *Tracker) SetLimits(l Limits) {
	l = l.Or(DefaultLimits)
	l.HeadBytes = min(l.HeadBytes, MaxHeadBytes)
	t.limits.Store(&l)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.Limits = l
}

// Configure makes a server use the tracker. Its time-outs for heads and idle connections, and
// its limit for heads, are replaced by those of the tracker.
func (t *Tracker) Configure(s *http.Server) {
	s.ConnState = t.connState
	s.ConnContext = func(ctx context.Context, n net.Conn) context.Context { return context.WithValue(ctx, connKey{}, n) }
	s.ReadHeaderTimeout, s.IdleTimeout = -1, -1
	s.MaxHeaderBytes = serverHeadBytes
}

type connKey struct{}

// RequestRead tells that the body of a request has been read. It returns false if the connection
// is to be closed because the body took too long while there was no room for others; the request
// must then be refused. The context is that of the request. Without a Tracker it returns true.
func RequestRead(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return true
	}
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	return c.tracker.core.Serve(time.Now(), c.entry)
}

// Run closes connections that have been idle, or have been sending a head, for too long, until
// ctx is done. It always returns nil.
func (t *Tracker) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			t.sweep()
		}
	}
}

func (t *Tracker) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for e := t.core.Expired(now); e != nil; e = t.core.Expired(now) {
		t.interrupt(e)
	}
	if t.Gateways != nil {
		t.core.Gateways = t.Gateways()
	}
	t.makeRoom(now)
}

// interrupt makes the reads of a connection fail. It does not close the connection, because a
// head may have been read from it at this moment: then connState takes this back, and else the
// server closes the connection. A request whose body was still arriving is refused.
func (t *Tracker) interrupt(e *Entry) {
	c := e.Owner.(*conn)
	c.closing.Store(true)
	_ = c.SetReadDeadline(longAgo)
}

// makeRoom closes connections until no bound is exceeded, and logs when this begins and ends.
func (t *Tracker) makeRoom(now time.Time) {
	if t.Upstreams != nil {
		t.core.Upstreams = t.Upstreams()
	}
	for e := t.core.Excess(now); e != nil; e = t.core.Excess(now) {
		t.interrupt(e)
	}
	t.report(now)
}

func (t *Tracker) report(now time.Time) {
	b := t.core.Shortage(now).Bound
	if (b == 0) == (t.short == 0) {
		return
	}
	t.short = b
	fields := []any{"new", t.core.Count(New), "head", t.core.Count(Head), "body", t.core.Count(Body), "served", t.core.Count(Served), "idle", t.core.Count(Idle), "upstreams", t.core.Upstreams}
	if b == 0 {
		t.Log.Write(event.ConnectionsEnough, fields...)
		return
	}
	t.Log.Write(event.ConnectionsShort, append([]any{"bound", b}, fields...)...)
}

// connState is the ConnState hook of the server.
func (t *Tracker) connState(n net.Conn, s http.ConnState) {
	c, ok := n.(*conn)
	if !ok || c.refused {
		return
	}
	switch s {
	case http.StateActive:
		t.endHead(c)
	case http.StateIdle:
		t.rest(c)
	}
}

// endHead tells that a head has been read from a connection, or that it is invalid.
func (t *Tracker) endHead(c *conn) {
	c.headBytes = 0
	c.served.Store(true)
	t.mu.Lock()
	now := time.Now()
	t.core.EndHead(now, c.entry)
	c.closing.Store(false)
	t.makeRoom(now)
	t.mu.Unlock()
	_ = c.SetReadDeadline(now.Add(refusalTime))
	_ = c.SetWriteDeadline(now.Add(refusalTime + answerMargin))
}

// rest tells that a request has been answered.
func (t *Tracker) rest(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.core.Rest(time.Now(), c.entry)
	c.served.Store(false)
}

// received tells that a part of a head has been read.
func (t *Tracker) received(c *conn, part []byte) {
	c.headBytes += int64(len(part))
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.core.BeginHead(now, c.entry)
	t.core.GrowHead(c.entry, headMemory(part))
	t.makeRoom(now)
}

// linger allows reads for lingerTime, and reports false if the connection is to be closed.
func (t *Tracker) linger(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.entry.reason != none {
		return false
	}
	c.largeHead = true
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	return true
}

func (t *Tracker) closed(c *conn) {
	t.mu.Lock()
	r := c.entry.reason
	switch {
	case c.largeHead:
		r = ReasonLargeHead
	case r == none:
		r = ReasonOther
	}
	t.core.Close(c.entry)
	t.mu.Unlock()
	t.metrics.closed[r].Inc()
	select {
	case t.freed <- struct{}{}:
	default:
	}
}

func (t *Tracker) countRefusal(c result.Code) {
	if t.CountRefusal != nil {
		t.CountRefusal(c)
	}
}
