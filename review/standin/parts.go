package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

const (
	// badPart crashes each replica that begins to answer a request with it, crashDelay after
	// the beginning.
	badPart    = "0badc0de"
	crashDelay = 80 * time.Millisecond
	// lapseTime is three heartbeat intervals, after which the entry of a crashed replica is
	// removed, and crashTime how long a replica is away.
	lapseTime, crashTime = 3600 * time.Millisecond, 4 * time.Second
	// countedCrashes is the number of crashes after which requests with the part are counted,
	// and allowedRequests how many of them may reach replicas.
	countedCrashes, allowedRequests = 5, 3
)

// crashes notes the crashes of replicas, and starts others in their place.
type crashes struct {
	mu    sync.Mutex
	at    []time.Time
	store *store
}

func (c *crashes) crashed(r *replica) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
	next := &replica{id: fmt.Sprintf("i-f%d", len(c.at)), service: r.service, zone: r.zone, engine: true, record: r.record, poison: badPart, crashed: c.crashed}
	time.AfterFunc(lapseTime, func() { c.store.remove("servers/" + r.id) })
	time.AfterFunc(crashTime, func() { _ = startReplica(next, c.store) })
}

// playCleared sends requests with a part that crashes replicas, one after the other. Their
// answers are so short that they are complete before the crash. It counts those that reach
// replicas later than contactMs after the fifth crash.
func playCleared(folder string, trouble bool) (int, error) {
	const perSecond, requests, after = 2, 50, 5 * time.Second
	c := &crashes{}
	s, err := startSession(4, func(r *replica) {
		if r.engine {
			r.poison, r.crashed = badPart, c.crashed
		}
	}, func(*clients) {})
	defer s.end()
	if err != nil {
		return notRun, err
	}
	c.mu.Lock()
	c.store = s.store
	c.mu.Unlock()
	time.Sleep(calm)
	label := kinds[slices.IndexFunc(kinds, func(k kind) bool { return k.name == "crate-label" })]
	label.events = 2
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 99))
	s.record.note("trouble: %v", trouble)
	for n := range requests {
		if trouble {
			to := s.clients[n%len(s.clients)]
			prompt := label.prompt(random)
			prompt[0] = badPart + ":210"
			to.wait.Add(1)
			go func() {
				defer to.wait.Done()
				to.sendNew(fmt.Sprintf("bad-%d", n), label, prompt)
			}()
		}
		time.Sleep(time.Second / perSecond)
	}
	time.Sleep(after)
	s.finish()
	return s.judgeParts(folder, c)
}

// judgeParts counts the requests with the bad part that reached replicas later than contactMs
// after the fifth crash.
func (s *session) judgeParts(folder string, c *crashes) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	late, total := 0, 0
	for _, a := range s.record.arrivals {
		if !a.bad {
			continue
		}
		total++
		if len(c.at) >= countedCrashes && a.at.After(c.at[countedCrashes-1].Add(contact)) {
			late++
		}
	}
	s.record.note("%d crashes, %d requests with the bad part reached replicas", len(c.at), total)
	s.record.note("%d sound requests that reached engines got no whole answer", s.record.brokenOff())
	s.record.note("BUDGET: %d requests with the bad part reached replicas later than %s after the fifth crash; more than %d break the rule", late, contact, allowedRequests)
	if err := s.record.write(filepath.Join(folder, "record.txt")); err != nil {
		return notRun, err
	}
	if late > allowedRequests {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// brokenOff counts the requests without the bad part that reached a replica and got no whole
// answer.
func (r *record) brokenOff() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	reached := map[string]bool{}
	for _, a := range r.arrivals {
		reached[a.id] = reached[a.id] || !a.bad
	}
	n := 0
	for id := range reached {
		if q := r.requests[id]; reached[id] && q != nil && (!q.whole || q.status != http.StatusOK) {
			n++
		}
	}
	return n
}
