// Package eventloop runs functions in the order of their virtual times. Simulations
// use it in place of timers, so that a run does not depend on the machine's speed.
//
// # Usage
//
//	l := &eventloop.Loop{Now: start}
//	l.After(time.Second, func() { fmt.Println(l.Now) })
//	l.RunUntil(start.Add(time.Minute))
package eventloop

import (
	"container/heap"
	"time"
)

// Loop is an event loop in virtual time. It is not safe for concurrent use.
type Loop struct {
	// Now is the virtual time. Set it before the first event; RunUntil advances it.
	Now time.Time

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

// At runs f at the given time.
func (l *Loop) At(t time.Time, f func()) {
	l.lastSequence++
	heap.Push(&l.events, event{t, l.lastSequence, f})
}

// After runs f after the given duration.
func (l *Loop) After(d time.Duration, f func()) { l.At(l.Now.Add(d), f) }

// Every runs f at a fixed interval, first after offset.
func (l *Loop) Every(interval, offset time.Duration, f func()) {
	var tick func()
	tick = func() {
		f()
		l.After(interval, tick)
	}
	l.After(offset, tick)
}

// RunUntil runs all events that are due up to and including t, then sets the time
// to t.
func (l *Loop) RunUntil(t time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(t) {
		e := heap.Pop(&l.events).(event)
		l.Now = e.at
		e.run()
	}
	l.Now = t
}
