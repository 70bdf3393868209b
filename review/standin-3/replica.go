package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeat is the time between two entries of a replica in the store.
const heartbeat = 1200 * time.Millisecond

// arrival is a request that has reached a replica.
type arrival struct {
	at   time.Time
	id   string
	cold bool
}

// replica is a stand-in for a replica. It keeps its ID and its address over restarts.
type replica struct {
	id, service, zone, address string
	slots                      int
	coldFor                    time.Duration
	// work is how long a request takes.
	work time.Duration
	// crashAbove is the number of requests in one second above which a cold replica crashes;
	// zero for never.
	crashAbove int
	// backAfter is how long it is down after such a crash.
	backAfter time.Duration
	store     *store
	record    *record

	mu        sync.Mutex
	server    *http.Server
	conns     map[net.Conn]struct{}
	born      time.Time
	coldUntil time.Time
	sequence  int
	arrivals  []arrival
	crashes   int
	stopBeat  context.CancelFunc
}

// start starts the replica, cold or warm.
func (r *replica) start(cold bool) error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address = l.Addr().String()
	r.conns = map[net.Conn]struct{}{}
	r.born, r.coldUntil = time.Now(), time.Time{}
	if cold {
		r.coldUntil = r.born.Add(r.coldFor)
	}
	r.server = &http.Server{Handler: r, ConnState: r.connState}
	ctx, cancel := context.WithCancel(context.Background())
	r.stopBeat = cancel
	go func() { _ = r.server.Serve(l) }()
	go r.beat(ctx)
	return nil
}

// crash ends the replica without a word. Its connections are reset.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server == nil {
		return
	}
	r.stopBeat()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	_ = r.server.Close()
	r.server = nil
}

func (r *replica) connState(c net.Conn, s http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch s {
	case http.StateNew:
		r.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(r.conns, c)
	}
}

// beat writes the entry at once and at each heartbeat at which more than its sequence changes. A
// write that the store does not take is tried again soon.
func (r *replica) beat(ctx context.Context) {
	for written := false; ; {
		r.mu.Lock()
		r.sequence++
		left := max(time.Until(r.coldUntil).Milliseconds(), 0)
		entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","coldRemainingMs":%d,"sequence":%d,"born":%d}`,
			r.service, r.address, r.zone, r.slots, left, r.sequence, r.born.UnixMilli())
		r.mu.Unlock()
		next := heartbeat
		switch {
		case written && left == 0:
		case !r.store.put("servers/"+r.id, entry):
			next = heartbeat / 4
		default:
			written = left == 0
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(next):
		}
	}
}

// ServeHTTP runs a request.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id, now := q.Header.Get("X-Attempt-Id"), time.Now()
	_, _ = io.Copy(io.Discard, q.Body)
	w.Header().Set("X-Replica-Id", r.id)
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if expected := q.Header.Get("X-Expected-Replica"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	cold := now.Before(r.coldUntil)
	r.arrivals = append(r.arrivals, arrival{now, id, cold})
	lastSecond := 0
	for n := len(r.arrivals) - 1; n >= 0 && r.arrivals[n].cold && now.Sub(r.arrivals[n].at) < time.Second; n-- {
		lastSecond++
	}
	falls := cold && r.crashAbove > 0 && lastSecond > r.crashAbove && r.server != nil
	if falls {
		r.crashes++
	}
	r.mu.Unlock()
	r.record.add("run", "replica", r.id, "request", id, "cold", cold, "in_last_second", lastSecond)
	if falls {
		r.record.add("crash", "replica", r.id, "in_last_second", lastSecond)
		r.crash()
		time.AfterFunc(r.backAfter, func() { _ = r.start(true) })
		return
	}
	left, _ := strconv.ParseFloat(q.Header.Get("X-Deadline-Remaining"), 64)
	select {
	case <-time.After(min(r.work, time.Duration(left*float64(time.Millisecond)))):
	case <-q.Context().Done():
		return
	}
	w.Header().Set("X-Replica-Signature", "s."+r.id+"."+id)
	_, _ = fmt.Fprintf(w, "answer to %s", id)
}

// mostCold returns the largest number of requests that reached the replica in one second while
// it was cold, and the begin of that second.
func (r *replica) mostCold() (most int, begin time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := 0
	for n, a := range r.arrivals {
		for a.at.Sub(r.arrivals[first].at) >= time.Second {
			first++
		}
		count := 0
		for _, b := range r.arrivals[first : n+1] {
			if b.cold {
				count++
			}
		}
		if count > most {
			most, begin = count, r.arrivals[first].at
		}
	}
	return most, begin
}
