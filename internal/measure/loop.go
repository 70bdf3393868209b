package measure

import (
	"container/heap"
	"time"
)

// loop is an event loop that runs functions in the order of their virtual times.
type loop struct {
	now          time.Time
	events       events
	lastSequence uint64
}

type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// events is a heap ordered by time. Events at the same time run in the order in
// which they were added.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].sequence < e[j].sequence
	}
	return e[i].at.Before(e[j].at)
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

func (l *loop) at(t time.Time, f func()) {
	l.lastSequence++
	heap.Push(&l.events, event{t, l.lastSequence, f})
}

func (l *loop) after(d time.Duration, f func()) { l.at(l.now.Add(d), f) }

// every runs f at a fixed interval, first after offset.
func (l *loop) every(interval, offset time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		l.after(interval, tick)
	}
	l.after(offset, tick)
}

// runUntil runs all events that are due up to and including t, then sets the
// time to t.
func (l *loop) runUntil(t time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(t) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = t
}
