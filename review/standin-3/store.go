package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store.
type store struct {
	address string

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	down     bool
}

func newStore(address string) (*store, error) {
	s := &store{items: map[string]item{}, changed: make(chan struct{}), revision: 1}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes an entry, and reports whether the store has taken it.
func (s *store) put(key, value string) bool { return s.change(item{Key: key, Value: encode(value)}) }

func (s *store) change(i item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	s.history = append(s.history, i)
	if i.Deleted {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// setDown makes the store answer every call with 503, the waiting ones too.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	close(s.changed)
	s.changed = make(chan struct{})
}

func encode(value string) string { return base64.StdEncoding.EncodeToString([]byte(value)) }

// ServeHTTP answers a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("pathPrefix")
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for over := r.URL.Path != "/kv-watch"; ; {
		s.mu.Lock()
		down, changed, at := s.down, s.changed, s.revision
		var found []item
		if over && r.URL.Path == "/kv-range" {
			for key, i := range s.items {
				if strings.HasPrefix(key, prefix) && key > q.Get("after") {
					found = append(found, i)
				}
			}
		} else {
			after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
			for _, i := range s.history {
				if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
					found = append(found, i)
				}
			}
		}
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case r.URL.Path == "/kv-range":
			_ = json.NewEncoder(w).Encode(map[string]any{"entries": found, "hasMore": false, "at": at})
			return
		case over || len(found) > 0:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": found, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
