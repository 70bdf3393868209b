package suspect

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstTrialDelay is the time from the last crash of a finding to the first trial
	// whether its traits still crash upstreams, and trialDelayFactor how much longer each
	// next one waits.
	firstTrialDelay  = 4 * time.Second
	trialDelayFactor = 4
	// maxTriedCrashes is the number of crashes after which there are no more trials while
	// requests with the traits keep coming. The platform allows three after the fifth.
	maxTriedCrashes = 7
	// trialTurn is how long one process may begin the trial of a finding, before it is
	// the turn of another. No process begins a second one in that time.
	trialTurn = 10 * time.Second
	// boundedCrashes is the number of crashes that a trait on probation may have caused from
	// which its requests run one at a time in the whole fleet. All upstreams that end at the
	// same moment are one series of crashes, so that a trait can be on probation after more
	// than the five crashes from which the platform counts requests.
	boundedCrashes = 5
	// minHeldRetryAfter is the minimum retry delay for a request that is held back.
	minHeldRetryAfter = time.Second
)

// Verdict says how a request may run.
type Verdict struct {
	// Refuse means that it may not run.
	Refuse bool
	// Busy means that it may not run now, because requests with a trait on probation run one
	// at a time and another one does.
	Busy bool
	// Suspected means that the request itself was in flight at a crash, whatever its
	// traits.
	Suspected bool
	// Blame is the reason of a refusal or trial.
	Blame Blame
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
	// Tried holds the traits because of which it runs apart from other requests, at the VM
	// or upstream that is the place for the first of them; empty if it runs anywhere.
	Tried []Trait
	// Trial means that it runs although its traits are held back.
	Trial bool
}

// Apart reports whether the request may run only at the VM that Tracker.Place returns, and
// not concurrently with another such request.
func (v Verdict) Apart() bool { return v.Suspected || len(v.Tried) > 0 }

// Verdict returns how a request with the traits may run. chosen tells whether it is this
// process's turn to begin a trial; nil means that it is.
func (c *Crashes) Verdict(now time.Time, traits []Trait, chosen func(turn uint64) bool) Verdict {
	if len(c.crashes) == 0 || len(traits) == 0 {
		return Verdict{}
	}
	f := c.assess(now)
	var trial *finding
	for _, h := range f.held {
		if !containsAll(traits, h.traits) {
			continue
		}
		if trial != nil || !c.mayTry(now, h, chosen) {
			c.recordRefusal(now, h)
			return Verdict{Refuse: true, Blame: h.blame(), RetryAfter: c.retryAfter(now, h)}
		}
		trial = h
	}
	if trial != nil {
		c.trials[trial.traits[0]] = now
		return Verdict{Trial: true, Tried: trial.traits, Blame: trial.blame()}
	}
	tried := f.onProbation(traits)
	worst, p := c.bounded(f, tried)
	switch {
	case p == nil:
		return Verdict{Tried: tried}
	case !c.mayProbe(now, worst, p, chosen):
		return Verdict{Busy: true, Refuse: true, Blame: blameOf([]Trait{worst}, p.crashes), RetryAfter: minHeldRetryAfter}
	}
	c.trials[worst] = now
	return Verdict{Trial: true, Tried: tried, Blame: blameOf([]Trait{worst}, p.crashes)}
}

// bounded returns that of the traits on probation which may have caused most crashes, or nil
// if none may have caused boundedCrashes. A trait whose requests completed at this process
// within trustTime before is left out: after the loss of a data centre, one request at a time
// would be too few of those that share a part with hundreds.
func (c *Crashes) bounded(f *findings, tried []Trait) (worst Trait, p *probation) {
	for _, t := range tried {
		q := f.probation[t]
		if len(q.crashes) < boundedCrashes || p != nil && len(q.crashes) <= len(p.crashes) {
			continue
		}
		if last := c.completed.last(t); last.IsZero() || q.lastAt().Sub(last) >= trustTime {
			worst, p = t, q
		}
	}
	return worst, p
}

func (p *probation) lastAt() time.Time { return p.crashes[len(p.crashes)-1].at }

// mayProbe reports whether this process may let a request run with a trait on probation that
// may have caused many crashes. It takes the same turns as trials.
func (c *Crashes) mayProbe(now time.Time, t Trait, p *probation, chosen func(turn uint64) bool) bool {
	if now.Sub(c.trials[t]) < trialTurn {
		return false
	}
	since := now.Sub(p.lastAt())
	turn := uint64(t) ^ uint64(max(since, 0)/trialTurn)<<32 ^ uint64(len(p.crashes))
	return chosen == nil || chosen(turn)
}

// onProbation returns the traits that are on probation, those with most crashes first.
func (f *findings) onProbation(traits []Trait) []Trait {
	var out []Trait
	for _, t := range traits {
		if f.probation[t] != nil && !slices.Contains(out, t) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b Trait) int {
		return cmp.Or(cmp.Compare(f.probation[b].series, f.probation[a].series), cmp.Compare(a, b))
	})
	return out
}

// MayRun reports whether a request with the traits may still run, which it may not if it
// has been held back or put on probation since it was placed.
func (c *Crashes) MayRun(now time.Time, traits, tried []Trait) bool {
	if len(c.crashes) == 0 || len(traits) == 0 {
		return true
	}
	f := c.assess(now)
	if slices.ContainsFunc(f.held, func(h *finding) bool { return containsAll(traits, h.traits) }) {
		return false
	}
	probation := f.onProbation(traits)
	if _, p := c.bounded(f, probation); p != nil {
		return false
	}
	return len(tried) > 0 || len(probation) == 0
}

// mayTry reports whether this process may let a request run to see whether the traits of
// a finding still crash upstreams.
func (c *Crashes) mayTry(now time.Time, h *finding, chosen func(turn uint64) bool) bool {
	if len(h.crashes) >= maxTriedCrashes {
		return false
	}
	waited := now.Sub(h.last().at) - c.trialDelay(h)
	if waited < 0 || now.Sub(c.trials[h.traits[0]]) < trialTurn {
		return false
	}
	turn := uint64(h.traits[0]) ^ uint64(waited/trialTurn)<<32 ^ uint64(len(h.crashes))
	return chosen == nil || chosen(turn)
}

// trialDelay returns the time from the last crash of a finding to its next trial.
func (c *Crashes) trialDelay(h *finding) time.Duration {
	delay := firstTrialDelay
	for range h.series - blameSeries {
		delay = min(delay*trialDelayFactor, c.Quarantine)
	}
	return delay
}

// retryAfter returns when a request that is held back may come back: it does not pay
// before the next trial.
func (c *Crashes) retryAfter(now time.Time, h *finding) time.Duration {
	if len(h.crashes) >= maxTriedCrashes {
		return c.Quarantine
	}
	return max(c.trialDelay(h)-now.Sub(h.last().at), minHeldRetryAfter)
}

// recordRefusal makes the crashes of a finding count on while requests with its traits
// keep coming.
func (c *Crashes) recordRefusal(now time.Time, h *finding) {
	for _, e := range h.crashes {
		if now.Sub(e.lastActive()) < renewInterval {
			continue
		}
		c.digest ^= e.digest()
		e.renewals, e.renewed = e.renewals+1, now
		c.digest ^= e.digest()
		e.change = c.changes.next()
		e.latest = e.change
		c.stale = true
	}
}

// Chosen reports whether it is the turn of a process among others to begin a trial. The
// processes that know the same others agree.
func Chosen(turn uint64, self string, others []string) bool {
	own := turnHash(turn, self)
	return !slices.ContainsFunc(others, func(o string) bool { return turnHash(turn, o) > own })
}

func turnHash(turn uint64, name string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(turn, 16) + "/" + name)
}
