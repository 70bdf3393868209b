package quota

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// ownedUnits is the count of units from which a limit is divided equally.
	// Below, each unit has one owner.
	ownedUnits = 1024
	// tokenUnit is the least tokens a minute that are worth a unit.
	tokenUnit = 4096
)

// limits are the columns of an account that shares depend on.
type limits struct {
	rate     float64
	burst    int
	tokens   table.Tokens
	inFlight int
}

// account is the state of an account at this gateway.
type account struct {
	limits      limits
	version     uint64
	apart       bool
	inFlight    int
	maxInFlight int
	requests    bucket
	tokens      bucket
}

// bucket is a token bucket. Its level may be below zero.
type bucket struct {
	level    float64
	capacity float64
	// rate is for a second.
	rate float64
	at   time.Time
}

func limitsOf(a table.Account) limits {
	return limits{a.RequestsPerSecond, a.Burst, a.TokensPerMinute, a.InFlight}
}

// share works out what this gateway holds of the account's limits.
func (s *account) share(a table.Account, self fleet.VMName, all []fleet.VMName, apart bool) {
	s.limits, s.apart = limitsOf(a), apart
	s.maxInFlight = held(a.Name, "in_flight", a.InFlight, self, all, apart)

	burst := max(a.Burst, int(math.Ceil(a.RequestsPerSecond)), 1)
	units := held(a.Name, "burst", burst, self, all, apart)
	if a.RequestsPerSecond == 0 {
		units = 0
	}
	s.requests.resize(float64(units), a.RequestsPerSecond*float64(units)/float64(burst))

	count := max(1, int(a.TokensPerMinute)/tokenUnit)
	units = held(a.Name, "tokens", count, self, all, apart)
	tokens := float64(a.TokensPerMinute) * float64(units) / float64(count)
	if count >= ownedUnits {
		tokens = float64(a.TokensPerMinute) / float64(max(1, len(all)))
		if apart {
			tokens /= 2
		}
	}
	s.tokens.resize(tokens, tokens/time.Minute.Seconds())
}

// held gives how many of a limit's units this gateway holds.
func held(name table.AccountName, kind string, units int, self fleet.VMName, all []fleet.VMName, apart bool) int {
	n := 0
	if units >= ownedUnits {
		n = units / max(1, len(all))
	} else {
		for u := range units {
			if owner(name, kind, u, all) == self {
				n++
			}
		}
	}
	if apart {
		n /= 2
	}
	return n
}

// owner gives the gateway that is first by rendezvous hash for a unit.
func owner(name table.AccountName, kind string, unit int, all []fleet.VMName) fleet.VMName {
	var best fleet.VMName
	var bestHash uint64
	prefix := string(name) + "|" + kind + "|" + strconv.Itoa(unit) + "|"
	for _, g := range all {
		if h := xxhash.Sum64String(prefix + string(g)); best == "" || h > bestHash {
			best, bestHash = g, h
		}
	}
	return best
}

func (b *bucket) resize(capacity, rate float64) {
	b.capacity, b.rate = capacity, rate
	b.level = min(b.level, capacity)
}

func (b *bucket) fill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.level = min(b.capacity, b.level+b.rate*d.Seconds())
		b.at = now
	}
}

// has says that n may be taken. More than the whole bucket may be taken from
// a full one; the debt is paid before anything else is.
func (b *bucket) has(n float64) bool {
	return b.capacity > 0 && b.level >= min(n, b.capacity)
}

func (b *bucket) full() bool { return b.level >= b.capacity }

// wait gives how long the refill for n takes.
func (b *bucket) wait(n float64) time.Duration {
	if b.rate <= 0 {
		return joinRetry
	}
	seconds := (min(n, b.capacity) - b.level) / b.rate
	return min(mostRetry, max(time.Millisecond, time.Duration(seconds*float64(time.Second))))
}
