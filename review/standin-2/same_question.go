package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// questionRate is the number of sound requests a second, all about the same question.
	questionRate    = 4
	questionEngines = 2
	questionTokens  = 6000
	// questionBadFrom is when the first request with the crashing part is sent, and
	// questionBadGap the time between two.
	questionBadFrom, questionBadGap, questionUntil = 25 * time.Second, 1500 * time.Millisecond, 85 * time.Second
)

// questions counts what sound requests have met.
type questions struct {
	play *play

	mu      sync.Mutex
	begun   map[string]bool
	sent    map[string]time.Duration
	crashes []time.Duration
}

// playSameQuestion lets a caller ask the same question again and again, with the same path and
// body, and in between sends requests with a part that crashes replicas. Broken: from twice
// contactMs after the fifth crash, or the last, the sound requests begin at the first attempt less
// than half as often as before the first.
func playSameQuestion(p *play) (bool, error) {
	return (&questions{play: p, begun: make(map[string]bool), sent: make(map[string]time.Duration)}).run()
}

func (s *questions) run() (bool, error) {
	p := s.play
	p.store.put("op/config", llmConfig(64, 505_611))
	for range questionEngines {
		if _, err := p.addReplica("pool", "z0", 64, s.answer); err != nil {
			return false, err
		}
	}
	if err := p.addGateways(2, fleet{memoryMB: 284, seeds: 2, zones: []string{"z0"}}); err != nil {
		return false, err
	}
	for _, g := range p.gateways {
		if err := g.start(); err != nil {
			return false, err
		}
	}
	if err := awaitReady(p.gateways, 10*time.Second); err != nil {
		return false, err
	}
	var sending sync.WaitGroup
	if p.trouble {
		sending.Go(func() {
			for n := 0; ; n++ {
				at := questionBadFrom + time.Duration(n)*questionBadGap
				if at > questionUntil {
					return
				}
				time.Sleep(at - p.since())
				sending.Go(func() { s.send(n, true) })
			}
		})
	}
	tick := time.NewTicker(time.Second / questionRate)
	defer tick.Stop()
	for n := 0; p.since() < questionUntil; n++ {
		<-tick.C
		sending.Go(func() { s.send(n, false) })
	}
	sending.Wait()
	return s.verdict(), nil
}

// send sends a request. The prompt of a question has a part that all callers share, one of the
// question, and one of the request; a bad one has a further part.
func (s *questions) send(n int, bad bool) {
	prompt := fmt.Sprintf("5c1e07a2:2000,91bd3f06:3800,%08x:200", 0xe0000000+n)
	body := `{"question":"which pitches are free on Saturday?"}`
	if bad {
		prompt = fmt.Sprintf("5c1e07a2:2000,%08x:200,91bd3f06:3600,%08x:200", badPart, 0xe8000000+n)
		body = fmt.Sprintf(`{"question":"bad","n":%d}`, n)
	}
	id := newAttempt()
	if !bad {
		s.mu.Lock()
		s.sent[id] = s.play.since()
		s.mu.Unlock()
	}
	a := newClient().send(s.play.gateways[n%len(s.play.gateways)], id, request{
		method: http.MethodPost, host: llmHost, path: "/chat/2f", body: body, timeout: 15 * time.Second,
		header: map[string]string{"X-Key": llmKey, "X-Model": "m", "X-Token-Count": fmt.Sprintf("%d,80", questionTokens), "X-Prompt-Prefix": prompt},
	})
	retry := ""
	if a.header != nil {
		retry = a.header.Get("Retry-After")
	}
	s.play.record("request %s, with the part %t: status %d, Retry-After %q, error %v", id, bad, a.status, retry, a.err)
}

func (s *questions) answer(r *replica, w http.ResponseWriter, q *http.Request) {
	if !strings.Contains(q.Header.Get("X-Prompt-Prefix"), fmt.Sprintf("%08x:", badPart)) {
		s.mu.Lock()
		s.begun[q.Header.Get("X-Attempt-Id")] = true
		s.mu.Unlock()
		r.stream(w, q, 200*time.Millisecond, 200*time.Millisecond, 30)
		return
	}
	if !sleepFor(q, 200*time.Millisecond) {
		return
	}
	s.mu.Lock()
	s.crashes = append(s.crashes, s.play.since())
	s.play.record("request %s crashes replica %s, the crash %d", q.Header.Get("X-Attempt-Id"), r.name(), len(s.crashes))
	s.mu.Unlock()
	r.crash()
	time.AfterFunc(replicaBack, func() {
		if err := r.start(); err != nil {
			s.play.record("a replica is not back: %v", err)
		}
	})
}

// verdict records how often sound requests have begun before and after, and reports whether the
// rule is broken.
func (s *questions) verdict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, from := questionBadFrom, questionBadFrom+2*contact
	if len(s.crashes) > 0 {
		from = s.crashes[min(len(s.crashes), 5)-1] + 2*contact
	}
	var before, beforeBegun, after, afterBegun int
	for id, at := range s.sent {
		switch {
		case at < first:
			before++
			if s.begun[id] {
				beforeBegun++
			}
		case at >= from:
			after++
			if s.begun[id] {
				afterBegun++
			}
		}
	}
	s.play.record("%d replicas crashed; of %d sound requests before, %d began; of %d later than %s after the last of the first five crashes, %d began",
		len(s.crashes), before, beforeBegun, after, 2*contact, afterBegun)
	return before >= 20 && after >= 20 && float64(afterBegun)/float64(after) < 0.5*float64(beforeBegun)/float64(before)
}
