package connection

import "time"

// Phase is what a connection is doing.
type Phase int

// Phases of a connection.
const (
	// New is a connection on which nothing has been received.
	New Phase = iota
	// Head is a connection on which a part of a head has been received.
	Head
	// Body is a connection whose head has been read, and whose body may still be arriving.
	Body
	// Served is a connection whose request has been read and is not answered.
	Served
	// Idle is a connection whose last request has been answered.
	Idle
	phaseCount
	// closed is a connection that has been removed.
	closed
)

var phaseNames = [phaseCount]string{"new", "head", "body", "served", "idle"}

// String returns the name of the phase.
func (p Phase) String() string {
	if p < New || p >= phaseCount {
		return "closed"
	}
	return phaseNames[p]
}

// Reason is why a connection was closed.
type Reason int

// Reasons to close a connection.
const (
	none Reason = iota
	// ReasonIdle is a connection on which nothing arrived for the idle time-out.
	ReasonIdle
	// ReasonSlowHead is a head that took too long to arrive, and ReasonLargeHead one that is
	// over the limit.
	ReasonSlowHead
	ReasonLargeHead
	// ReasonRoom is a connection that was closed for others.
	ReasonRoom
	// ReasonRefused is a connection that was closed as it was accepted, because no other
	// could be closed.
	ReasonRefused
	// ReasonOther is a connection that the caller closed, or that ended with an answer.
	ReasonOther
	reasonCount
)

var reasonNames = [reasonCount]string{"", "idle", "slow_head", "large_head", "room", "refused", "other"}

// String returns the name of the reason.
func (r Reason) String() string { return reasonNames[r] }

// Entry is a connection in a Core.
type Entry struct {
	// Owner is what Open was called with.
	Owner any

	phase Phase
	since time.Time
	// reason is set once the connection is to be closed.
	reason Reason
	// head is the memory of the head that is being read or served.
	head           int64
	previous, next *Entry
}

// list holds connections in the order in which they were added.
type list struct {
	first, last *Entry
	length      int
}

func (l *list) push(e *Entry) {
	e.previous, e.next = l.last, nil
	if l.last != nil {
		l.last.next = e
	} else {
		l.first = e
	}
	l.last = e
	l.length++
}

func (l *list) remove(e *Entry) {
	if e.previous != nil {
		e.previous.next = e.next
	} else {
		l.first = e.next
	}
	if e.next != nil {
		e.next.previous = e.previous
	} else {
		l.last = e.previous
	}
	e.previous, e.next = nil, nil
	l.length--
}
