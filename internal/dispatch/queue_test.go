package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/pkg/table"
)

func isEvicted(e *QueueEntry) bool {
	select {
	case <-e.Evicted:
		return true
	default:
		return false
	}
}

func TestQueue(t *testing.T) {
	tests := []struct {
		name string
		max  int
		// queued are the tiers of the requests enqueued before, in their order.
		queued   []table.Tier
		arriving table.Tier
		// evicted is the index in queued of the request that must be evicted, -1
		// for none.
		evicted  int
		accepted bool
	}{
		{"not full", 2, []table.Tier{3}, 3, -1, true},
		{"full of higher tiers", 2, []table.Tier{1, 2}, 3, -1, false},
		{"full of its own tier", 2, []table.Tier{2, 2}, 2, -1, false},
		{"a lower tier is evicted", 2, []table.Tier{1, 3}, 2, 1, true},
		{"the lowest tier is evicted, not the next lower", 3, []table.Tier{2, 3, 2}, 1, 1, true},
		{"the newest of the lowest tier is evicted", 4, []table.Tier{3, 3, 2, 3}, 1, 3, true},
		{"maximum of zero", 0, nil, 1, -1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			queue := &Queue{Max: tt.max}
			var queued []*QueueEntry
			for _, tier := range tt.queued {
				queued = append(queued, queue.Enqueue(tier))
			}
			assert.Equal(t, queue.Enqueue(tt.arriving) != nil, tt.accepted)
			for i, e := range queued {
				assert.Equal(t, isEvicted(e), i == tt.evicted, "queued request %d", i)
			}
			assert.Assert(t, queue.Waiting() <= tt.max)
		})
	}
}

// Removing an entry twice, or after its eviction, must not free the place of
// another request.
func TestQueueRemoveTwice(t *testing.T) {
	queue := &Queue{Max: 1}
	low := queue.Enqueue(3)
	high := queue.Enqueue(1)
	assert.Assert(t, isEvicted(low))
	queue.Remove(low)
	queue.Remove(low)
	assert.Equal(t, queue.Waiting(), 1, "the place belongs to the other request")
	assert.Assert(t, queue.Enqueue(1) == nil)
	queue.Remove(high)
	assert.Equal(t, queue.Waiting(), 0)
	assert.Assert(t, queue.Enqueue(3) != nil)
	assert.Assert(t, !isEvicted(high))
}

// In random sequences of Enqueue and Remove the queue never exceeds its maximum,
// evicts only in favour of a higher tier, and refuses only if no lower tier
// waits.
func TestQueueInvariants(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			queue := &Queue{Max: 5}
			var queued []*QueueEntry
			for range 500 {
				if len(queued) > 0 && random.IntN(3) == 0 {
					i := random.IntN(len(queued))
					queue.Remove(queued[i])
					queued = slices.Delete(queued, i, i+1)
					continue
				}
				tier := table.Tier(1 + random.IntN(4))
				lowest := tier
				for _, e := range queued {
					lowest = max(lowest, e.tier)
				}
				full := len(queued) == queue.Max
				e := queue.Enqueue(tier)
				assert.Equal(t, e == nil, full && lowest == tier)
				before := len(queued)
				queued = slices.DeleteFunc(queued, func(q *QueueEntry) bool {
					if isEvicted(q) {
						assert.Assert(t, full && q.tier == lowest && q.tier > tier)
					}
					return isEvicted(q)
				})
				if e != nil {
					assert.Equal(t, before-len(queued), map[bool]int{true: 1}[full])
					queued = append(queued, e)
				}
				assert.Equal(t, queue.Waiting(), len(queued))
			}
		})
	}
}
