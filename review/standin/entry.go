package main

import (
	"net"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"time"
)

// Bounds of the rule DENIED: deniedBase requests and one in deniedShare of all.
const deniedBase, deniedShare = 5, 500

// playEntry lets another writer put an entry with missing fields, whose address is that of a
// server that is no replica, and counts the requests that are ended with a 4xx that no
// replica gave.
func playEntry(folder string, trouble bool) (int, error) {
	const after = 20 * time.Second
	s, err := startSession(2, func(*replica) {}, func(*clients) {})
	defer s.end()
	if err != nil {
		return notRun, err
	}
	var foreign atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return notRun, err
	}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			foreign.Add(1)
			s.record.note("the server that is no replica: gets %s, answers 404", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("Connection", "close")
			http.NotFound(w, r)
		}))
	}()
	time.Sleep(calm)
	if trouble {
		s.store.put("servers/i-other", map[string]any{"service": "desk", "address": l.Addr().String(), "zone": "sabarmati", "state": "ready"})
		s.record.note("another writer puts servers/i-other, without version, slots, coldRemainingMs and sequence")
	}
	time.Sleep(after)
	s.finish()
	denied, all := s.record.denied()
	s.record.note("%d requests were sent to the server that is no replica", foreign.Load())
	s.record.note("DENIED: %d of %d requests were ended with a 4xx that no replica gave; more than %d and one in %d of all break the rule", denied, all, deniedBase, deniedShare)
	if err := s.record.write(filepath.Join(folder, "record.txt")); err != nil {
		return notRun, err
	}
	if float64(denied) > deniedBase+float64(all)/deniedShare {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// denied counts the requests that were ended with a 3xx or 4xx other than 408, 421 and 429.
// All requests are proper, and the replicas give none of these.
func (r *record) denied() (denied, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, q := range r.requests {
		switch q.status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		default:
			if q.status >= 300 && q.status < 500 {
				denied++
			}
		}
	}
	return denied, len(r.requests)
}
