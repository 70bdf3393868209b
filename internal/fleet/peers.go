package fleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// neighbourCount is the number of peers that a process contacts on its own
	// initiative. They stay the same while the VM list is unchanged, so that
	// connections are reused.
	neighbourCount = 8
	// rankedCount is the number of ranked peers that are kept. Those after the
	// first neighbourCount replace neighbours that do not answer.
	rankedCount = 24
	// failedPeerDelay is how long a peer that did not answer is skipped.
	failedPeerDelay = 10 * time.Second
)

// peers chooses the peers to contact, by rendezvous hashing over the VM list.
type peers struct {
	ranked []Address
	failed map[Address]time.Time
	next   int
}

func (p *peers) rank(self VM, l VMList) {
	type entry struct {
		hash    uint64
		address Address
	}
	es := make([]entry, 0, len(l.VMs))
	for _, v := range l.VMs {
		if v.Address != self.Address && v.Address != "" {
			es = append(es, entry{hashPair(string(self.Address), string(v.Address)), v.Address})
		}
	}
	slices.SortFunc(es, func(a, b entry) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	p.ranked = p.ranked[:0]
	for _, e := range es[:min(len(es), rankedCount)] {
		p.ranked = append(p.ranked, e.address)
	}
}

// neighbours returns up to neighbourCount peers that have not failed recently,
// in the order of their rank, and then seeds if there are too few.
func (p *peers) neighbours(now time.Time, self Address, seeds []Address) []Address {
	var as []Address
	add := func(a Address) {
		if len(as) < neighbourCount && a != self && !p.isFailed(now, a) && !slices.Contains(as, a) {
			as = append(as, a)
		}
	}
	for _, a := range p.ranked {
		add(a)
	}
	for _, a := range seeds {
		add(a)
	}
	if len(as) == 0 && len(p.failed) > 0 {
		// All peers have failed: retry them instead of contacting none.
		clear(p.failed)
		return p.neighbours(now, self, seeds)
	}
	return as
}

// choose returns the next n neighbours, round robin.
func (p *peers) choose(now time.Time, n int, self Address, seeds []Address) []Address {
	as := p.neighbours(now, self, seeds)
	n = min(n, len(as))
	var chosen []Address
	for range n {
		p.next++
		chosen = append(chosen, as[p.next%len(as)])
	}
	return chosen
}

func (p *peers) isFailed(now time.Time, a Address) bool {
	return now.Before(p.failed[a])
}

func (p *peers) markFailed(now time.Time, a Address) {
	if p.failed == nil {
		p.failed = make(map[Address]time.Time)
	}
	for b, until := range p.failed {
		if !now.Before(until) {
			delete(p.failed, b)
		}
	}
	p.failed[a] = now.Add(failedPeerDelay)
}

func (p *peers) clearFailed(a Address) { delete(p.failed, a) }

func hashPair(a, b string) uint64 { return xxhash.Sum64String(a + "|" + b) }
