package main

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

const (
	// badPart crashes each replica that begins to answer a request with it.
	badPart = "0badc0de"
	// badAtOnce is the number of requests with the part that come at the same moment.
	badAtOnce = 20
	// lapseTime is three heartbeat intervals, after which the entry of a crashed replica is
	// removed, and crashTime how long a replica is away.
	lapseTime, crashTime = 3600 * time.Millisecond, 4 * time.Second
	// countedCrashes is the number of crashes after which requests with the part are counted.
	countedCrashes = 5
)

// crashes notes the crashes of replicas, and starts others in their place.
type crashes struct {
	mu       sync.Mutex
	at       []time.Time
	replaced int
	store    *store
}

func (c *crashes) crashed(r *replica) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now())
	c.replaced++
	next := &replica{id: fmt.Sprintf("i-f%d", c.replaced), service: r.service, zone: r.zone, engine: true, record: r.record, poison: badPart, crashed: c.crashed}
	time.AfterFunc(lapseTime, func() { c.store.remove("servers/" + r.id) })
	time.AfterFunc(crashTime, func() { _ = startReplica(next, c.store) })
}

// playParts sends requests with a part that crashes replicas, some at the same moment, twice,
// and counts those that reach replicas later than contactMs after the fifth crash.
func playParts(folder string, trouble bool) (int, error) {
	const between, after = 5 * time.Second, 8 * time.Second
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
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 99))
	for batch := range 2 {
		for n := 0; trouble && n < badAtOnce; n++ {
			to := s.clients[n%len(s.clients)]
			prompt := label.prompt(random)
			prompt[0] = badPart + ":210"
			to.wait.Add(1)
			go func() {
				defer to.wait.Done()
				to.sendNew(fmt.Sprintf("bad-%d-%d", batch, n), label, prompt)
			}()
		}
		time.Sleep(between)
	}
	time.Sleep(after)
	s.finish()
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
	s.record.note("%d other requests at engines ended without a whole answer", s.record.brokenOff())
	s.record.note("BUDGET: %d requests with the bad part reached replicas later than %s after the fifth crash; more than three break the rule", late, contact)
	if err := s.record.write(filepath.Join(folder, "record.txt")); err != nil {
		return notRun, err
	}
	if late > 3 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// brokenOff counts the requests without the bad part that reached a replica and got no whole
// answer.
func (r *record) brokenOff() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, a := range r.arrivals {
		if q := r.requests[a.id]; !a.bad && q != nil && (!q.whole || q.status != 200) {
			n++
		}
	}
	return n
}
