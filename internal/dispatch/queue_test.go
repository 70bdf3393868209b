package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/pkg/table"
)

func isEvicted(p *QueueEntry) bool {
	select {
	case <-p.Evicted:
		return true
	default:
		return false
	}
}

func TestQueue(t *testing.T) {
	tests := []struct {
		name string
		max  int
		// queued are the tiers that came before, in their order.
		queued   []table.Tier
		arriving table.Tier
		// evicted is the index in inside of who must go, -1 for nobody.
		evicted  int
		accepted bool
	}{
		{"room", 2, []table.Tier{3}, 3, -1, true},
		{"full of higher tiers", 2, []table.Tier{1, 2}, 3, -1, false},
		{"full of its own tier", 2, []table.Tier{2, 2}, 2, -1, false},
		{"a lower tier goes", 2, []table.Tier{1, 3}, 2, 1, true},
		{"the lowest tier goes, not the next", 3, []table.Tier{2, 3, 2}, 1, 1, true},
		{"the newest of the lowest goes", 4, []table.Tier{3, 3, 2, 3}, 1, 3, true},
		{"no room at all", 0, nil, 1, -1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &Queue{Max: tt.max}
			var inside []*QueueEntry
			for _, tier := range tt.queued {
				inside = append(inside, r.Enqueue(tier))
			}
			assert.Equal(t, r.Enqueue(tt.arriving) != nil, tt.accepted)
			for i, p := range inside {
				assert.Equal(t, isEvicted(p), i == tt.evicted, "place %d", i)
			}
			assert.Assert(t, r.Waiting() <= tt.max)
		})
	}
}

// A place is given back once, also by a request that was evicted meanwhile.
func TestQueueRemoveTwice(t *testing.T) {
	r := &Queue{Max: 1}
	low := r.Enqueue(3)
	high := r.Enqueue(1)
	assert.Assert(t, isEvicted(low))
	r.Remove(low)
	r.Remove(low)
	assert.Equal(t, r.Waiting(), 1, "the place is the other's")
	assert.Assert(t, r.Enqueue(1) == nil)
	r.Remove(high)
	assert.Equal(t, r.Waiting(), 0)
	assert.Assert(t, r.Enqueue(3) != nil)
	assert.Assert(t, !isEvicted(high))
}

// In random comings and goings the room never holds too many, evicts only for
// a higher tier, and refuses only when nothing lower waits.
func TestQueueInvariants(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			r := &Queue{Max: 5}
			var inside []*QueueEntry
			for range 500 {
				if len(inside) > 0 && random.IntN(3) == 0 {
					i := random.IntN(len(inside))
					r.Remove(inside[i])
					inside = slices.Delete(inside, i, i+1)
					continue
				}
				tier := table.Tier(1 + random.IntN(4))
				lowest := tier
				for _, p := range inside {
					lowest = max(lowest, p.tier)
				}
				full := len(inside) == r.Max
				p := r.Enqueue(tier)
				assert.Equal(t, p == nil, full && lowest == tier)
				before := len(inside)
				inside = slices.DeleteFunc(inside, func(q *QueueEntry) bool {
					if isEvicted(q) {
						assert.Assert(t, full && q.tier == lowest && q.tier > tier)
					}
					return isEvicted(q)
				})
				if p != nil {
					assert.Equal(t, before-len(inside), map[bool]int{true: 1}[full])
					inside = append(inside, p)
				}
				assert.Equal(t, r.Waiting(), len(inside))
			}
		})
	}
}
