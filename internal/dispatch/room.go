package dispatch

import (
	"sync"

	"jasminewing.dev/jasminewing/pkg/table"
)

// Room bounds the requests that wait at a gateway. It is safe for concurrent use.
type Room struct {
	// Max is how many requests may wait.
	Max int

	mu      sync.Mutex
	waiting map[table.Tier][]*Place
	count   int
}

// Place is a request's place in the room.
type Place struct {
	// Evicted is closed when the place goes to a higher tier.
	Evicted chan struct{}

	tier table.Tier
	gone bool
}

// Enter takes a place, if need be that of the newest request of the lowest
// tier below this one. It gives nil if there is none.
func (r *Room) Enter(tier table.Tier) *Place {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting == nil {
		r.waiting = make(map[table.Tier][]*Place)
	}
	if r.count >= r.Max && !r.evictBelow(tier) {
		return nil
	}
	p := &Place{Evicted: make(chan struct{}), tier: tier}
	r.waiting[tier] = append(r.waiting[tier], p)
	r.count++
	return p
}

// Leave gives the place back; a second call does nothing.
func (r *Room) Leave(p *Place) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(p)
}

// Waiting gives how many requests wait.
func (r *Room) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

func (r *Room) evictBelow(tier table.Tier) bool {
	lowest := tier
	for t, places := range r.waiting {
		if len(places) > 0 && t > lowest {
			lowest = t
		}
	}
	if lowest == tier {
		return false
	}
	places := r.waiting[lowest]
	newest := places[len(places)-1]
	r.remove(newest)
	close(newest.Evicted)
	return true
}

func (r *Room) remove(p *Place) {
	if p.gone {
		return
	}
	p.gone = true
	places := r.waiting[p.tier]
	for i := len(places) - 1; i >= 0; i-- {
		if places[i] == p {
			r.waiting[p.tier] = append(places[:i], places[i+1:]...)
			r.count--
			return
		}
	}
}
