package main

import (
	"path/filepath"
	"time"
)

const (
	// idleLimit is idleTimeoutMs of the configuration.
	idleLimit = 15 * time.Second
	// shortTimeout is timeoutMs of the routes to the booking desk. Their clients wait longer.
	shortTimeout = 800 * time.Millisecond
	// answerSlack is how long after timeoutMs a request must have its answer.
	answerSlack = 500 * time.Millisecond
	// minUnanswered is the number of unanswered requests that breaks the rule, if it is also
	// more than half of those that lasted longer than timeoutMs.
	minUnanswered = 8
)

// playIdle lets clients use a new connection for each request and leave it open, and counts
// the requests that have no answer half a second after the time-out of their route. Without
// the trouble, the clients close each connection at the limit for idle ones.
func playIdle(folder string, trouble bool) (int, error) {
	const traffic = 80 * time.Second
	s, err := startSession(1, func(*replica) {}, func(c *clients) {
		c.alwaysNew = true
		if !trouble {
			c.openFor = idleLimit
		}
	})
	defer s.end()
	if err != nil {
		return notRun, err
	}
	time.Sleep(traffic)
	s.finish()
	late, unanswered := s.record.unansweredAtTimeout()
	s.record.note("CONFIG: %d requests to the booking desk were unanswered at timeoutMs, %d of them half a second later; %d or more, and over half, break the rule", late, unanswered, minUnanswered)
	if err := s.record.write(filepath.Join(folder, "record.txt")); err != nil {
		return notRun, err
	}
	if unanswered >= minUnanswered && 2*unanswered > late {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// unansweredAtTimeout returns how many requests of the routes with shortTimeout had no
// answer then, and how many of these had none answerSlack later.
func (r *record) unansweredAtTimeout() (late, unanswered int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.requests {
		if q.kind != "lot-booking" && q.kind != "crate-lookup" || q.sent.IsZero() || q.failedToConnect {
			continue
		}
		took := q.ended.Sub(q.sent)
		if took > shortTimeout {
			late++
		}
		if took > shortTimeout+answerSlack {
			unanswered++
		}
	}
	return late, unanswered
}
