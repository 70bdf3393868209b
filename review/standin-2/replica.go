package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the time between two writes of a replica to the store.
const heartbeat = 1200 * time.Millisecond

// replica is a server of a service.
type replica struct {
	play          *play
	service, zone string
	slots         int
	// answer runs a request that is meant for this replica.
	answer func(r *replica, w http.ResponseWriter, q *http.Request)

	mu       sync.Mutex
	id       string
	address  string
	born     int64
	sequence int
	server   *http.Server
	stopBeat chan struct{}
}

// lastReplica numbers the starts of replicas.
var lastReplica atomic.Int64

// addReplica starts a replica.
func (p *play) addReplica(service, zone string, slots int, answer func(r *replica, w http.ResponseWriter, q *http.Request)) (*replica, error) {
	r := &replica{play: p, service: service, zone: zone, slots: slots, answer: answer}
	p.replicas = append(p.replicas, r)
	return r, r.start()
}

// start starts the replica under a new id, at the address that it had if it had one.
func (r *replica) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.address
	if at == "" {
		at = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	r.address = l.Addr().String()
	r.id = fmt.Sprintf("i-%08x", 0x7f3a0000+lastReplica.Add(1))
	r.born, r.sequence = time.Now().UnixMilli(), 0
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	server := r.server
	go func() { _ = server.Serve(l) }()
	r.stopBeat = make(chan struct{})
	go r.beat(r.id, r.stopBeat)
	return nil
}

func (r *replica) beat(id string, stop chan struct{}) {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		r.mu.Lock()
		r.sequence++
		entry := map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready",
			"coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
		}
		r.mu.Unlock()
		r.play.store.put("servers/"+id, entry)
		select {
		case <-stop:
			return
		case <-t.C:
		}
	}
}

// crash ends the replica without a word: all connections are closed, and nothing listens. Its
// entry lapses after three heartbeats.
func (r *replica) crash() {
	r.mu.Lock()
	server, id := r.server, r.id
	r.server = nil
	if server != nil {
		close(r.stopBeat)
	}
	r.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	time.AfterFunc(3*heartbeat, func() { r.play.store.remove("servers/" + id) })
}

func (r *replica) stop() { r.crash() }

func (r *replica) name() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

// serve turns away what isn't meant for this replica.
func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	id := r.name()
	if q.URL.Path == "/health" {
		w.Header().Set("X-Replica-Id", id)
		return
	}
	attempt := q.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Replica-Id", id)
	if expected := q.Header.Get("X-Expected-Replica"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.answer(r, w, q)
}

// sign sets the headers of an answer of a run.
func (r *replica) sign(w http.ResponseWriter) {
	w.Header().Set("X-Replica-Signature", "sig."+r.name())
}

// stream answers with events, the first after a time and the others after gaps.
func (r *replica) stream(w http.ResponseWriter, q *http.Request, first, gap time.Duration, events int) {
	if !sleepFor(q, first) {
		return
	}
	r.sign(w)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := range events {
		if n > 0 && !sleepFor(q, gap) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token-%d\n\n", n+1, n+1); err != nil {
			return
		}
		_ = control.Flush()
	}
}

// sleepFor waits, and reports false if the request has been cancelled meanwhile.
func sleepFor(q *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-q.Context().Done():
		return false
	}
}
