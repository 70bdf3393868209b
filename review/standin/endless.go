package main

import (
	"path/filepath"
	"sync/atomic"
	"time"
)

const (
	// settle is how long the system runs before the traffic, and calm how long traffic
	// runs before the trouble.
	settle = 4 * time.Second
	calm   = 10 * time.Second
)

// playEndless lets the engines answer a part of their requests with bytes without end for a
// while, twice, and counts the requests on kept connections that were passed on to sound replicas
// and got no answer.
func playEndless(folder string, trouble bool) (int, error) {
	const troubleFor, after = 4 * time.Second, 16 * time.Second
	var inTrouble atomic.Bool
	s, err := startSession(1, func(r *replica) {
		if r.engine {
			r.endless = inTrouble.Load
		}
	}, func(*clients) {})
	defer s.end()
	if err != nil {
		return notRun, err
	}
	time.Sleep(calm)
	for range 2 {
		inTrouble.Store(trouble)
		s.record.note("trouble: %v", trouble)
		time.Sleep(troubleFor)
		inTrouble.Store(false)
		s.record.note("end of the trouble")
		time.Sleep(after)
	}
	s.finish()
	return s.judgeLost(folder)
}

// judgeLost counts the requests on kept connections that were passed on to a sound replica
// and got no answer.
func (s *session) judgeLost(folder string) (int, error) {
	lost := s.record.lostOnKept()
	for _, g := range s.gateways {
		s.record.note("%s: peak memory %d MB, limit %d MB; ended for memory %d times, otherwise %d times", g.name, g.peakMB, memoryLimitMB, g.overLimit, g.unexpected)
	}
	s.record.note("LOST: %d requests on kept connections were passed on to a sound replica and got no answer; more than three break the rule", lost)
	if err := s.record.write(filepath.Join(folder, "record.txt")); err != nil {
		return notRun, err
	}
	if lost > 3 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// lostOnKept counts the requests on kept connections that reached a sound replica and
// whose connection was closed without an answer, before the client left.
func (r *record) lostOnKept() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sound := map[string]bool{}
	for _, a := range r.arrivals {
		sound[a.id] = a.sound
	}
	n := 0
	for id, q := range r.requests {
		if q.kept && q.status == 0 && !q.left && sound[id] {
			n++
		}
	}
	return n
}
