package dispatch

import (
	"sync"

	"jasminewing.dev/jasminewing/pkg/table"
)

// Queue bounds the requests that wait at a gateway. It is safe for concurrent use.
type Queue struct {
	// Max is how many requests may wait.
	Max int

	mu      sync.Mutex
	waiting map[table.Tier][]*QueueEntry
	count   int
}

// QueueEntry is a request's place in the room.
type QueueEntry struct {
	// Evicted is closed when the place goes to a higher tier.
	Evicted chan struct{}

	tier    table.Tier
	removed bool
}

// Enqueue takes a place, if need be that of the newest request of the lowest
// tier below this one. It gives nil if there is none.
func (q *Queue) Enqueue(tier table.Tier) *QueueEntry {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == nil {
		q.waiting = make(map[table.Tier][]*QueueEntry)
	}
	if q.count >= q.Max && !q.evictBelow(tier) {
		return nil
	}
	p := &QueueEntry{Evicted: make(chan struct{}), tier: tier}
	q.waiting[tier] = append(q.waiting[tier], p)
	q.count++
	return p
}

// Remove gives the place back; a second call does nothing.
func (q *Queue) Remove(p *QueueEntry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeLocked(p)
}

// Waiting gives how many requests wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.count
}

func (q *Queue) evictBelow(tier table.Tier) bool {
	lowest := tier
	for t, places := range q.waiting {
		if len(places) > 0 && t > lowest {
			lowest = t
		}
	}
	if lowest == tier {
		return false
	}
	places := q.waiting[lowest]
	newest := places[len(places)-1]
	q.removeLocked(newest)
	close(newest.Evicted)
	return true
}

func (q *Queue) removeLocked(p *QueueEntry) {
	if p.removed {
		return
	}
	p.removed = true
	places := q.waiting[p.tier]
	for i := len(places) - 1; i >= 0; i-- {
		if places[i] == p {
			q.waiting[p.tier] = append(places[:i], places[i+1:]...)
			q.count--
			return
		}
	}
}
