package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store. It keeps all of its history.
type store struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	at      uint64
	items   map[string]item
	history []item
	// changed is closed and replaced at each change.
	changed chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), at: 1, items: make(map[string]item), changed: make(chan struct{})}
	m := http.NewServeMux()
	m.HandleFunc("GET /kv-range", s.serveRange)
	m.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: m}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes an item.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	i := item{Key: key, Value: encoded, Revision: s.at, Created: s.at}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.note(i)
}

// remove deletes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.at++
	s.note(item{Key: key, Revision: s.at, Deleted: true})
}

func (s *store) note(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("pathPrefix")
	page := struct {
		Entries []item `json:"entries"`
		HasMore bool   `json:"hasMore"`
		At      uint64 `json:"at"`
	}{Entries: []item{}}
	s.mu.Lock()
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) {
			page.Entries = append(page.Entries, i)
		}
	}
	page.At = s.at
	s.mu.Unlock()
	slices.SortFunc(page.Entries, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		page := struct {
			Events []item `json:"events"`
			At     uint64 `json:"at"`
		}{Events: []item{}}
		s.mu.Lock()
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("pathPrefix")) {
				page.Events = append(page.Events, i)
			}
		}
		page.At = s.at
		changed := s.changed
		s.mu.Unlock()
		if len(page.Events) > 0 {
			writeJSON(w, page)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			writeJSON(w, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
