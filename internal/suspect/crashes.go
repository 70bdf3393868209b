package suspect

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
)

const (
	// trustTime is how long a completed answer speaks for the traits of its request.
	trustTime = time.Minute
	// DefaultMaxCrashes is the default of Crashes.MaxCrashes.
	DefaultMaxCrashes = 256
	// maxCrashTraits is the maximum number of traits of one crash. An engine runs some
	// hundred requests with a few traits each.
	maxCrashTraits = 1024
	// renewInterval is the minimum time between two renewals of a crash.
	renewInterval = time.Minute
	// survivalTime is how long after a supposed crash an answer must end to show that the
	// upstream still runs. Answers that had arrived before the crash may be read after it.
	survivalTime = 300 * time.Millisecond
	// sameBreakTime is the time within which broken answers of an incarnation are one crash.
	sameBreakTime = time.Second
	// maxBreaks is the number of times that one incarnation may break off answers. The rest
	// counts as the last one.
	maxBreaks = 32
)

// Flags of a trait in wire.UpstreamCrash.
const (
	flagTrusted = 1 << iota
	flagCleared
	flagTried
)

// Crashes finds the traits that crash upstreams, from what was in flight at each crash
// and what has completed since. It does no I/O and is not safe for concurrent use. All
// fields are merged so that peers which know the same reports agree, in whatever order
// these arrive.
type Crashes struct {
	// Quarantine is how long a crash counts after it happened, or after a request was
	// last refused because of it.
	Quarantine time.Duration
	// MaxCrashes is the maximum number of crashes held. The oldest are evicted.
	MaxCrashes int

	crashes   map[fleet.Incarnation]*crash
	completed recentTraits
	unsettled unsettledAnswers
	// suspected counts the crashes of which a trait has not been cleared.
	suspected map[Trait]int
	changes   *changeCounter
	// evictedUntil is the time of the newest crash that was evicted. Peers may report it
	// again, and older ones, which would evict others in turn.
	evictedUntil time.Time
	// digest is a hash of all crashes and their traits.
	digest uint64
	// findings is what follows from the crashes, and stale reports that it has not been
	// computed since the last change.
	findings *findings
	stale    bool
	// trials holds when this process last let a request through in spite of a finding.
	trials map[Trait]time.Time
}

// changeCounter numbers the changes of a process.
type changeCounter struct{ last uint64 }

func (c *changeCounter) next() uint64 {
	c.last++
	return c.last
}

func (c *Crashes) setDefaults() {
	if c.crashes != nil {
		return
	}
	c.crashes = make(map[fleet.Incarnation]*crash)
	c.suspected = make(map[Trait]int)
	c.trials = make(map[Trait]time.Time)
	if c.changes == nil {
		c.changes = &changeCounter{}
	}
	if c.Quarantine <= 0 {
		c.Quarantine = DefaultQuarantine
	}
	if c.MaxCrashes <= 0 {
		c.MaxCrashes = DefaultMaxCrashes
	}
}

// Report records that an incarnation crashed while requests with the traits were in
// flight. tried lists those traits because of which a request ran apart. It reports
// whether that makes anything more suspect.
func (c *Crashes) Report(now time.Time, i fleet.Incarnation, traits, tried []Trait) (urgent bool) {
	if len(traits) == 0 {
		return c.Refused(now, i)
	}
	c.setDefaults()
	e := &crash{incarnation: c.breakOf(now, i), at: now, traits: make(map[Trait]*candidate, len(traits))}
	for _, t := range traits {
		e.traits[t] = &candidate{tried: slices.Contains(tried, t)}
	}
	return c.merge(e)
}

// Answered records that an incarnation has completed an answer to a request that was sent
// at a time. If that was before its supposed crash, and the answer ended well after it, the
// incarnation has only closed a connection.
func (c *Crashes) Answered(now time.Time, i fleet.Incarnation, sent time.Time) {
	for n := range maxBreaks {
		e := c.crashes[breakName(i, n)]
		if e == nil {
			return
		}
		if !e.survived && sent.Before(e.at) && now.Sub(e.at) >= survivalTime {
			c.merge(&crash{incarnation: e.incarnation, at: e.at, survived: true})
		}
	}
}

// breakOf returns the name under which to record that an incarnation broke off answers now:
// that of the last time, if that was just before, or else a new one. An incarnation that only
// closed a connection then may crash now.
func (c *Crashes) breakOf(now time.Time, i fleet.Incarnation) fleet.Incarnation {
	name := i
	for n := range maxBreaks {
		name = breakName(i, n)
		if e := c.crashes[name]; e == nil || !e.survived && now.Sub(e.at) < sameBreakTime {
			break
		}
	}
	return name
}

// breakMark separates an incarnation from the number of the time that it broke off answers.
const breakMark = "#"

// breakName returns the name of the n-th time that an incarnation broke off answers.
func breakName(i fleet.Incarnation, n int) fleet.Incarnation {
	if n == 0 {
		return i
	}
	return fleet.Incarnation(fmt.Sprint(i, breakMark, n+1))
}

// isBreakOf reports whether a name is one of those under which breaks of an incarnation are
// recorded.
func isBreakOf(name, i fleet.Incarnation) bool {
	return name == i || strings.HasPrefix(string(name), string(i)+breakMark)
}

// merge adds what is known of a crash to what is held of it: the earlier time, the latest
// renewal, and all flags that are set in either. It reports whether that makes any trait
// more suspect. What makes traits less suspect can wait for the next regular exchange.
func (c *Crashes) merge(r *crash) (urgent bool) {
	c.setDefaults()
	changed := false
	e := c.crashes[r.incarnation]
	if e == nil {
		if !r.at.After(c.evictedUntil) {
			return false
		}
		e = &crash{incarnation: r.incarnation, hash: xxhash.Sum64String(string(r.incarnation)), at: r.at, traits: make(map[Trait]*candidate)}
		c.crashes[r.incarnation] = e
		c.digest ^= e.digest()
		changed, urgent = true, true
	}
	if r.at.Before(e.at) {
		e.at = r.at
		c.stale = true
	}
	if r.survived && !e.survived {
		c.digest ^= e.digest()
		e.survived, changed = true, true
		c.digest ^= e.digest()
	}
	if r.renewals > e.renewals {
		c.digest ^= e.digest()
		e.renewals, e.renewed, changed = r.renewals, r.renewed, true
		c.digest ^= e.digest()
	}
	if changed {
		e.change = c.changes.next()
		e.latest = e.change
		c.stale = true
	}
	for t, k := range r.traits {
		_, known := e.traits[t]
		if c.update(e, t, *k) && !known && !e.traits[t].cleared {
			urgent = true
		}
	}
	urgent = c.implicate(e) || urgent
	c.evict()
	return urgent
}

// update merges the flags of a trait into a crash, and adds what this process has seen
// complete. It reports whether that changed anything.
func (c *Crashes) update(e *crash, t Trait, add candidate) (changed bool) {
	k := e.traits[t]
	if k == nil {
		if len(e.traits) >= maxCrashTraits {
			return false
		}
		k = &candidate{}
		e.traits[t] = k
		c.suspected[t]++
		changed = true
	} else {
		c.digest ^= k.digest(e, t)
	}
	defer func() { c.digest ^= k.digest(e, t) }()
	if last := c.completed.last(t); !last.IsZero() {
		add.cleared = add.cleared || !last.Before(e.at)
		add.trusted = add.trusted || changed && e.at.Sub(last) < trustTime && last.After(c.lastCrashBefore(e, t))
	}
	if add.trusted && !k.trusted {
		k.trusted, changed = true, true
	}
	if add.tried && !k.tried {
		k.tried, changed = true, true
	}
	if add.cleared && !k.cleared {
		k.cleared, changed = true, true
		c.forgetSuspicion(t)
	}
	if changed {
		k.change = c.changes.next()
		e.latest = k.change
		c.stale = true
	}
	return changed
}

// lastCrashBefore returns the time of the last crash of an earlier series that the trait
// may have caused, or zero.
func (c *Crashes) lastCrashBefore(e *crash, t Trait) time.Time {
	var last time.Time
	if c.suspected[t] <= 1 {
		return last
	}
	for _, o := range c.crashes {
		if k := o.traits[t]; k != nil && !k.cleared && e.at.Sub(o.at) >= seriesGap && o.at.After(last) {
			last = o.at
		}
	}
	return last
}

func (c *Crashes) forgetSuspicion(t Trait) {
	if c.suspected[t]--; c.suspected[t] <= 0 {
		delete(c.suspected, t)
	}
}

// Received merges a crash that a peer reports, and reports whether that makes anything more
// suspect.
func (c *Crashes) Received(now time.Time, m *wire.UpstreamCrash) (urgent bool) {
	c.setDefaults()
	at, ok := c.timeOf(now, m.AgeMs)
	r := &crash{incarnation: fleet.Incarnation(m.Incarnation), at: at, survived: m.Survived, traits: make(map[Trait]*candidate)}
	if m.Renewals > 0 {
		var renewed bool
		r.renewals = m.Renewals
		r.renewed, renewed = c.timeOf(now, m.RenewedAgeMs)
		ok = ok || renewed
	}
	if !ok || m.Incarnation == "" {
		return false
	}
	for i, t := range m.Traits {
		k := &candidate{}
		if i < len(m.Flags) {
			k.trusted, k.cleared, k.tried = m.Flags[i]&flagTrusted != 0, m.Flags[i]&flagCleared != 0, m.Flags[i]&flagTried != 0
		}
		r.traits[Trait(t)] = k
	}
	return c.merge(r)
}

// timeOf returns the time of something with the given age, and false if it is too old to
// count.
func (c *Crashes) timeOf(now time.Time, ageMs uint64) (time.Time, bool) {
	age := time.Duration(min(ageMs, uint64(maxAge/time.Millisecond))) * time.Millisecond
	return now.Add(-age), age < c.Quarantine
}

// maxAge bounds the age of a crash that a peer reports.
const maxAge = 365 * 24 * time.Hour

// ChangesSince returns what has changed after the change with the given number, in a
// stable order.
func (c *Crashes) ChangesSince(now time.Time, change uint64) []*wire.Suspicion {
	var out []*wire.Suspicion
	for _, e := range c.sorted() {
		if e.latest <= change || now.Sub(e.lastActive()) >= c.Quarantine {
			continue
		}
		m := &wire.UpstreamCrash{
			Incarnation: string(e.incarnation),
			AgeMs:       uint64(max(0, now.Sub(e.at)) / time.Millisecond),
			Survived:    e.survived,
		}
		if e.renewals > 0 {
			m.Renewals, m.RenewedAgeMs = e.renewals, uint64(max(0, now.Sub(e.renewed))/time.Millisecond)
		}
		for _, t := range slices.Sorted(maps.Keys(e.traits)) {
			if k := e.traits[t]; k.change > change {
				m.Traits = append(m.Traits, uint64(t))
				m.Flags = append(m.Flags, k.flags())
			}
		}
		out = append(out, &wire.Suspicion{Crash: m})
	}
	return out
}

func (k *candidate) flags() byte {
	var f byte
	if k.trusted {
		f |= flagTrusted
	}
	if k.cleared {
		f |= flagCleared
	}
	if k.tried {
		f |= flagTried
	}
	return f
}

// sorted returns all crashes in the order of their times.
func (c *Crashes) sorted() []*crash {
	return slices.SortedFunc(maps.Values(c.crashes), func(a, b *crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.incarnation, b.incarnation))
	})
}

// Expire removes the crashes that no longer count.
func (c *Crashes) Expire(now time.Time) {
	for _, e := range c.crashes {
		if now.Sub(e.lastActive()) >= c.Quarantine+expiredRetention {
			c.remove(e)
		}
	}
	maps.DeleteFunc(c.trials, func(_ Trait, at time.Time) bool { return now.Sub(at) >= c.Quarantine })
}

func (c *Crashes) evict() {
	excess := len(c.crashes) - c.MaxCrashes
	if excess <= 0 {
		return
	}
	for _, e := range c.sorted()[:excess] {
		c.evictedUntil = e.at
		c.remove(e)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (c *Crashes) remove(e *crash) {
	delete(c.crashes, e.incarnation)
	c.digest ^= e.digest()
	for t, k := range e.traits {
		c.digest ^= k.digest(e, t)
		if !k.cleared {
			c.forgetSuspicion(t)
		}
	}
	c.stale = true
}
