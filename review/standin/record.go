package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run, and writes it to record.txt.
type record struct {
	started time.Time

	mu       sync.Mutex
	lines    []string
	requests map[string]*request
	arrivals []arrival
}

// request is one client attempt.
type request struct {
	id, kind, gateway string
	sent, ended       time.Time
	// kept reports that the connection had carried an answer before.
	kept bool
	// status is that of the answer; 0 if none began. whole reports that it was complete.
	status int
	whole  bool
	// left reports that the client closed the connection first.
	left bool
	// failedToConnect reports that there was no connection to send it on.
	failedToConnect bool
	err             string
}

// arrival is a request that reached a replica.
type arrival struct {
	id, replica string
	at          time.Time
	// sound reports that the replica was without fault then.
	sound bool
	// bad reports that the request has the prompt part that crashes replicas.
	bad bool
}

func newRecord() *record {
	return &record{started: time.Now(), requests: map[string]*request{}}
}

func (r *record) at(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(r.started).Seconds()) }

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, r.at(time.Now())+" "+fmt.Sprintf(format, args...))
}

func (r *record) begin(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.id] = q
	r.lines = append(r.lines, fmt.Sprintf("%s client: sends %s (%s) to %s, kept connection %v", r.at(q.sent), q.id, q.kind, q.gateway, q.kept))
}

func (r *record) end(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%s client: %s ends: status %d, whole %v, left %v %s", r.at(q.ended), q.id, q.status, q.whole, q.left, q.err))
}

func (r *record) arrive(a arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
	r.lines = append(r.lines, fmt.Sprintf("%s replica %s: gets %s, sound %v, bad part %v", r.at(a.at), a.replica, a.id, a.sound, a.bad))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
