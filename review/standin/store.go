package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store: /kv-range and /kv-watch as
// PROTOCOL.md describes them, with the whole history.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 100, items: map[string]item{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes an entry, as the operator or a replica does.
func (s *store) put(key string, value any) {
	encoded, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: base64.StdEncoding.EncodeToString(encoded), Revision: s.revision, Created: s.items[key].Created}
	if i.Created == 0 {
		i.Created = s.revision
	}
	s.items[key] = i
	s.publish(i)
}

// remove deletes an entry, as the platform does when it has lapsed.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.publish(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) publish(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("pathPrefix")
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/kv-range":
		_ = json.NewEncoder(w).Encode(s.page(prefix, q.Get("after")))
	case "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.watch(w, r, prefix, after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) page(prefix, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, i)
		}
	}
	slices.SortFunc(entries, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	return map[string]any{"entries": entries, "hasMore": false, "at": s.revision}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		changed, at := s.changed, s.revision
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline:
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "at": at})
		return
	}
}
