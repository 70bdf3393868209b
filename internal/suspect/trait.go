package suspect

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
)

// Trait identifies something that requests have in common and that may crash upstreams,
// such as a part of their prompts.
type Trait uint64

// TraitsText formats traits in hexadecimal, for logs.
func TraitsText(traits []Trait) string {
	out := make([]string, 0, len(traits))
	for _, t := range traits {
		out = append(out, strconv.FormatUint(uint64(t), 16))
	}
	return strings.Join(out, ",")
}

// containsAll reports whether traits holds all of subset.
func containsAll(traits, subset []Trait) bool {
	for _, t := range subset {
		if !slices.Contains(traits, t) {
			return false
		}
	}
	return true
}

// candidate is a trait that may have caused a crash.
type candidate struct {
	// trusted reports that a request with the trait had completed shortly before.
	trusted bool
	// cleared reports that one has completed since, so that the trait is not the cause.
	cleared bool
	// tried reports that a request with the trait ran apart from others because of an
	// earlier crash.
	tried bool
	// change is the number of the last change.
	change uint64
}

// digest returns a hash of the candidate at a crash.
func (k *candidate) digest(e *crash, t Trait) uint64 {
	return mixHash(e.hash ^ mixHash(uint64(t)) ^ uint64(k.flags())<<56)
}

// mixHash spreads the bits of a number.
func mixHash(n uint64) uint64 {
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd
	n ^= n >> 33
	n *= 0xc4ceb9fe1a85ec53
	return n ^ n>>33
}

// crash is the end of one incarnation of an upstream.
type crash struct {
	incarnation fleet.Incarnation
	// hash is that of the incarnation.
	hash uint64
	// at is the earliest reported time.
	at time.Time
	// renewals is how often the crash was renewed because a request was refused for it, and
	// renewed when it last was; zero for never.
	renewals uint64
	renewed  time.Time
	// survived reports that the incarnation has answered since.
	survived bool
	traits   map[Trait]*candidate
	// change is the number of the last change of the fields above traits, and latest that
	// of the last change of any field.
	change, latest uint64
}

// digest returns a hash of the crash without its traits.
func (e *crash) digest() uint64 {
	return mixHash(e.hash + e.renewals<<1 + uint64(boolToInt(e.survived)))
}

// lastActive returns when the crash last mattered.
func (e *crash) lastActive() time.Time {
	if e.renewed.After(e.at) {
		return e.renewed
	}
	return e.at
}

// recentTraits remembers when requests with a trait last completed. It keeps two
// generations, and forgets the older one when the newer one is full or old enough.
type recentTraits struct {
	newer, older map[Trait]time.Time
	since        time.Time
}

// maxRecentTraits is the maximum number of traits in a generation.
const maxRecentTraits = 8192

func (r *recentTraits) add(now time.Time, t Trait) {
	if r.newer == nil || len(r.newer) >= maxRecentTraits || now.Sub(r.since) >= trustTime {
		r.older, r.newer, r.since = r.newer, make(map[Trait]time.Time), now
	}
	r.newer[t] = now
}

// last returns when a request with the trait last completed, or zero.
func (r *recentTraits) last(t Trait) time.Time {
	if at, ok := r.newer[t]; ok {
		return at
	}
	return r.older[t]
}
