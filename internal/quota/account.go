package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// minEvenUnits is the number of units from which most units are divided
	// evenly. Below it, each unit has one owner.
	minEvenUnits = 32
	// maxOwnedUnits is the maximum number of units with an owner if the other units
	// are divided evenly.
	maxOwnedUnits = 256
	// minTokensPerUnit is the minimum number of tokens per minute in a unit. A
	// smaller limit is a single unit.
	minTokensPerUnit = 4096
)

// limits holds the columns of an account that its shares depend on.
type limits struct {
	rate     float64
	burst    int
	tokens   table.Tokens
	inFlight int
}

// account is the state of a client account at this gateway.
type account struct {
	limits      limits
	version     uint64
	isolated    bool
	inFlight    int
	maxInFlight int
	requests    bucket
	tokens      bucket
}

// bucket is a token bucket. Its level may be negative.
type bucket struct {
	level    float64
	capacity float64
	// rate is the refill per second.
	rate float64
	at   time.Time
}

func limitsOf(a table.Account) limits {
	return limits{a.RequestsPerSecond, a.Burst, a.TokensPerMinute, a.InFlight}
}

// updateShare computes this gateway's share of the account's limits.
func (s *account) updateShare(a table.Account, self fleet.VMName, all []fleet.VMName, isolated bool) {
	s.limits, s.isolated = limitsOf(a), isolated
	s.maxInFlight = heldUnits(a.Name, a.InFlight, self, all, isolated)

	burst := max(a.Burst, int(math.Ceil(a.RequestsPerSecond)), 1)
	units := heldUnits(a.Name, burst, self, all, isolated)
	if a.RequestsPerSecond == 0 {
		units = 0
	}
	s.requests.resize(float64(units), a.RequestsPerSecond*float64(units)/float64(burst))

	count := max(1, int(a.TokensPerMinute)/minTokensPerUnit)
	even, owners := split(count)
	part := float64(even)/float64(max(1, len(all))) + float64(ownedUnits(a.Name, owners, self, all))
	if isolated {
		part /= 2
	}
	tokens := float64(a.TokensPerMinute) * part / float64(count)
	s.tokens.resize(tokens, tokens/time.Minute.Seconds())
}

// heldUnits returns the number of whole units of a limit that this gateway holds.
func heldUnits(name table.AccountName, units int, self fleet.VMName, all []fleet.VMName, isolated bool) int {
	even, owners := split(units)
	n := even/max(1, len(all)) + ownedUnits(name, owners, self, all)
	if isolated {
		n /= 2
	}
	return n
}

// split returns how many units are divided evenly and how many have an owner. It
// depends only on the limit, so that all gateways split in the same way.
func split(units int) (even, owners int) {
	if units < minEvenUnits {
		return 0, units
	}
	owners = min(units/4, maxOwnedUnits)
	return units - owners, owners
}

// ownedUnits counts the units for which this gateway is first in the rendezvous
// order.
func ownedUnits(name table.AccountName, units int, self fleet.VMName, all []fleet.VMName) int {
	hashes := make([]uint64, len(all))
	for i, g := range all {
		hashes[i] = xxhash.Sum64String(string(g))
	}
	seed := xxhash.Sum64String(string(name))
	n := 0
	for u := range units {
		key := mix(seed + uint64(u))
		best, bestHash := 0, uint64(0)
		for i, h := range hashes {
			if m := mix(key ^ h); m > bestHash {
				best, bestHash = i, m
			}
		}
		if all[best] == self {
			n++
		}
	}
	return n
}

// mix is the finalizer of SplitMix64: each bit of x changes half of the bits of
// the result.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (b *bucket) resize(capacity, rate float64) {
	b.capacity, b.rate = capacity, rate
	b.level = min(b.level, capacity)
}

func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.level = min(b.capacity, b.level+b.rate*d.Seconds())
		b.at = now
	}
}

// has reports whether n may be taken. More than the capacity may be taken from a
// full bucket; the refill then has to cover the debt before anything else is
// admitted.
func (b *bucket) has(n float64) bool {
	return b.capacity > 0 && b.level >= min(n, b.capacity)
}

func (b *bucket) full() bool { return b.level >= b.capacity }

// wait returns how long the refill takes until n may be taken.
func (b *bucket) wait(n float64) time.Duration {
	if b.rate <= 0 {
		return defaultRetryAfter
	}
	seconds := (min(n, b.capacity) - b.level) / b.rate
	return min(maxRetryAfter, max(time.Millisecond, time.Duration(seconds*float64(time.Second))))
}
