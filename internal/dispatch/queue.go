package dispatch

import (
	"sync"

	"jasminewing.dev/jasminewing/pkg/table"
)

// Queue limits the number of requests that wait at a gateway. It is safe for
// concurrent use.
type Queue struct {
	// Max is the maximum number of waiting requests.
	Max int

	mu      sync.Mutex
	waiting map[table.Tier][]*QueueEntry
	count   int
}

// QueueEntry is a request's entry in a Queue.
type QueueEntry struct {
	// Evicted is closed when the entry is evicted in favour of a higher tier.
	Evicted chan struct{}

	tier    table.Tier
	removed bool
}

// Enqueue adds a request of the given tier. If the queue is full, it evicts the
// newest request of the lowest waiting tier below this one. It returns nil if
// the queue is full and no lower tier waits.
func (q *Queue) Enqueue(tier table.Tier) *QueueEntry {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == nil {
		q.waiting = make(map[table.Tier][]*QueueEntry)
	}
	if q.count >= q.Max && !q.evictBelow(tier) {
		return nil
	}
	e := &QueueEntry{Evicted: make(chan struct{}), tier: tier}
	q.waiting[tier] = append(q.waiting[tier], e)
	q.count++
	return e
}

// Remove removes an entry. It does nothing if the entry was removed or evicted
// before.
func (q *Queue) Remove(e *QueueEntry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeLocked(e)
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.count
}

func (q *Queue) evictBelow(tier table.Tier) bool {
	lowest := tier
	for t, entries := range q.waiting {
		if len(entries) > 0 && t > lowest {
			lowest = t
		}
	}
	if lowest == tier {
		return false
	}
	entries := q.waiting[lowest]
	newest := entries[len(entries)-1]
	q.removeLocked(newest)
	close(newest.Evicted)
	return true
}

func (q *Queue) removeLocked(e *QueueEntry) {
	if e.removed {
		return
	}
	e.removed = true
	entries := q.waiting[e.tier]
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i] == e {
			q.waiting[e.tier] = append(entries[:i], entries[i+1:]...)
			q.count--
			return
		}
	}
}
