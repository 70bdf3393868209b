package process

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// finalReadTime is how long a stopping server still waits for bytes that the kernel
	// holds, on the listener for connections and on connections without a request. A read
	// whose deadline has passed fails even if bytes are there.
	finalReadTime = 50 * time.Millisecond
	// finalAcceptTime bounds how long a stopping server accepts connections if they keep
	// coming, so that the requests on them can be answered before the end of the stop.
	finalAcceptTime = 200 * time.Millisecond
	// lingerTime is how long a connection whose request was answered may still send the rest
	// of the body. Closing it earlier resets it, so that the caller may lose the answer.
	lingerTime = 250 * time.Millisecond
	// lingerBytes limits what is read and dropped before a connection is closed.
	lingerBytes = 256 << 10
)

// callerListener accepts connections of callers and ends them without cutting off requests.
// http.Server.Shutdown can't do that: it drops requests whose heads it reads during the
// shutdown, and closes connections on which the first bytes of a request have arrived.
//
// The connections that it returns must be those that the server gets: a listener that wraps
// connections belongs inside it.
type callerListener struct {
	net.Listener
	// acceptTime is how long connections are accepted after the end.
	acceptTime time.Duration

	mu     sync.Mutex
	conns  map[*callerConn]struct{}
	ending bool
	// acceptUntil is set at the end.
	acceptUntil time.Time
	closed      bool
	// connsCut reports that connections are closed at once.
	connsCut bool
	// ended is closed when the listener and all connections are closed.
	ended chan struct{}
}

func newCallerListener(l net.Listener) *callerListener {
	return &callerListener{
		Listener: l, acceptTime: finalAcceptTime, conns: make(map[*callerConn]struct{}), ended: make(chan struct{}),
	}
}

// attach adds hooks to a server so that the listener knows which connections have an
// unanswered request, and returns the server. It keeps the hooks of the server, which get the
// connections that the listener inside has accepted.
func (l *callerListener) attach(s *http.Server) *http.Server {
	handler, connContext, connState := s.Handler, s.ConnContext, s.ConnState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c.(*callerConn).Conn)
		}
		return context.WithValue(ctx, callerConnKey{}, c)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if connState != nil {
			connState(c.(*callerConn).Conn, state)
		}
		switch state {
		case http.StateActive:
			c.(*callerConn).setPhase(requestUnanswered)
		case http.StateIdle:
			c.(*callerConn).setPhase(requestNone)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer r.Context().Value(callerConnKey{}).(*callerConn).setPhase(requestHandled)
		handler.ServeHTTP(w, r)
	})
	return s
}

// Accept returns http.ErrServerClosed after the end when no connection waits any more, or
// acceptTime is over.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		ending := l.prepareAccept()
		c, err := l.Listener.Accept()
		switch {
		case err == nil:
			return l.add(c), nil
		case ending:
			_ = l.Close()
			return nil, http.ErrServerClosed
		case l.isEnding():
			// end has interrupted the call; connections may still wait in the kernel.
		default:
			return nil, err
		}
	}
}

func (l *callerListener) prepareAccept() (ending bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ending {
		at := time.Now().Add(finalReadTime)
		if l.acceptUntil.Before(at) {
			at = l.acceptUntil
		}
		l.setDeadline(at)
	}
	return l.ending
}

func (l *callerListener) isEnding() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ending
}

// setDeadline sets the deadline of Accept. A listener without deadlines is closed.
func (l *callerListener) setDeadline(at time.Time) {
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok && d.SetDeadline(at) == nil {
		return
	}
	_ = l.closeLocked()
}

func (l *callerListener) add(c net.Conn) *callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	added := &callerConn{Conn: c, listener: l, ending: l.ending}
	l.conns[added] = struct{}{}
	return added
}

func (l *callerListener) remove(c *callerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; ok {
		delete(l.conns, c)
		l.checkEnded()
	}
}

// Close closes the listener, but no connection.
func (l *callerListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closeLocked()
}

func (l *callerListener) closeLocked() error {
	if l.closed {
		return nil
	}
	l.closed = true
	l.checkEnded()
	return l.Listener.Close()
}

// checkEnded closes ended once nothing is open. The caller holds the mutex, and has just
// closed the listener or the last connection.
func (l *callerListener) checkEnded() {
	if !l.closed || len(l.conns) > 0 {
		return
	}
	select {
	case <-l.ended:
	default:
		close(l.ended)
	}
}

// hasEnded reports whether the listener and all connections are closed.
func (l *callerListener) hasEnded() bool {
	select {
	case <-l.ended:
		return true
	default:
		return false
	}
}

// end makes the listener accept the connections that wait already and no others, and closes
// each connection as soon as it has no unanswered request.
func (l *callerListener) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ending, l.acceptUntil = true, time.Now().Add(l.acceptTime)
	l.setDeadline(longAgo)
	for c := range l.conns {
		c.end()
	}
}

// cut makes connections close at once, without reading what their callers have sent on.
func (l *callerListener) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connsCut = true
}

func (l *callerListener) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connsCut
}

// unanswered returns the number of connections from which at least one byte of a request has
// been read whose answer has not been written.
func (l *callerListener) unanswered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		if c.unanswered() {
			n++
		}
	}
	return n
}
