package suspect

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
)

const (
	// afterTime is how long after a complete answer a crash of its upstream may be caused by
	// its request. In the case that was reported, it was 40 ms. With more, the loss of a data
	// centre makes more traits suspect, of which gateways tell each other.
	afterTime = 400 * time.Millisecond
	// settleTime is how long after a complete answer it clears the traits of its request,
	// unless the upstream crashes within afterTime. The rest is the time in which gateways
	// tell each other of a crash, at worst in the next regular exchange.
	settleTime = 700 * time.Millisecond
	// maxUnsettled is the maximum number of answers that wait for settleTime. A gateway of
	// the size to design for completes less than a tenth in that time.
	maxUnsettled = 4096
)

// answer is a complete answer of an incarnation to a request.
type answer struct {
	incarnation fleet.Incarnation
	at          time.Time
	// traits are those of the request, and tried those of them because of which it ran
	// apart from others.
	traits, tried []Trait
}

// unsettledAnswers are the complete answers whose upstreams have not yet run on for settleTime,
// in the order of their times.
type unsettledAnswers struct {
	answers []*answer
	// latest holds the time of the last of them for each trait that did not run apart.
	latest map[Trait]time.Time
}

func (u *unsettledAnswers) add(a *answer) {
	if len(u.answers) >= maxUnsettled {
		u.forget(u.answers[0])
		u.answers = slices.Delete(u.answers, 0, 1)
	}
	u.answers = append(u.answers, a)
	u.note(a)
}

func (u *unsettledAnswers) note(a *answer) {
	if u.latest == nil {
		u.latest = make(map[Trait]time.Time)
	}
	for _, t := range a.traits {
		if !slices.Contains(a.tried, t) {
			u.latest[t] = a.at
		}
	}
}

// takeFirst removes and returns the answers that were complete at a time or before.
func (u *unsettledAnswers) takeFirst(until time.Time) []*answer {
	n := 0
	for n < len(u.answers) && !u.answers[n].at.After(until) {
		n++
	}
	if n == 0 {
		return nil
	}
	out := slices.Clone(u.answers[:n])
	u.answers = slices.Delete(u.answers, 0, n)
	for _, a := range out {
		u.forget(a)
	}
	return out
}

// forget removes what note added for an answer.
func (u *unsettledAnswers) forget(a *answer) {
	for _, t := range a.traits {
		if !u.latest[t].After(a.at) {
			delete(u.latest, t)
		}
	}
}

// takeOf removes and returns the answers in a span of time of the incarnation that broke off
// answers under a name.
func (u *unsettledAnswers) takeOf(name fleet.Incarnation, from, to time.Time) []*answer {
	var out []*answer
	u.answers = slices.DeleteFunc(u.answers, func(a *answer) bool {
		matches := isBreakOf(name, a.incarnation) && a.at.After(from) && !a.at.After(to)
		if matches {
			out = append(out, a)
		}
		return matches
	})
	if len(out) > 0 {
		clear(u.latest)
		for _, a := range u.answers {
			u.note(a)
		}
	}
	return out
}

// Completed records that a request with the traits had a complete answer from an incarnation,
// and ran apart from others because of those in tried. That clears the traits once the
// incarnation has run on for settleTime. Without an incarnation, it clears them at once.
func (c *Crashes) Completed(now time.Time, i fleet.Incarnation, traits, tried []Trait) (urgent bool) {
	c.setDefaults()
	c.settle(now)
	if len(traits) == 0 {
		return false
	}
	if i == "" {
		c.clear(now, traits)
		return false
	}
	c.unsettled.add(&answer{i, now, traits, tried})
	// The crash may have been reported before the answer, which had arrived, was read.
	for n := range maxBreaks {
		e := c.crashes[breakName(i, n)]
		if e == nil {
			break
		}
		urgent = c.implicate(e) || urgent
	}
	c.stale = c.stale || slices.ContainsFunc(traits, func(t Trait) bool { return c.suspected[t] > 0 })
	return urgent
}

// Refused records that an incarnation refuses connections, which shows a crash under which no
// answer broke off if it has just completed one.
func (c *Crashes) Refused(now time.Time, i fleet.Incarnation) (urgent bool) {
	c.setDefaults()
	c.settle(now)
	var traits, tried []Trait
	for _, a := range c.unsettled.takeOf(i, now.Add(-settleTime), now) {
		traits, tried = append(traits, a.traits...), append(tried, a.tried...)
	}
	if len(traits) == 0 {
		return false
	}
	return c.Report(now, i, traits, tried)
}

// settle lets the answers count whose upstreams have run on for settleTime.
func (c *Crashes) settle(now time.Time) {
	for _, a := range c.unsettled.takeFirst(now.Add(-settleTime)) {
		c.clear(a.at, a.traits)
	}
}

// clear records that a request with the traits completed at a time, and its upstream ran on.
func (c *Crashes) clear(at time.Time, traits []Trait) {
	for _, t := range traits {
		c.completed.add(at, t)
		if c.suspected[t] == 0 {
			continue
		}
		for _, e := range c.crashes {
			k := e.traits[t]
			switch {
			case k == nil || k.cleared:
			case !e.at.After(at):
				c.update(e, t, candidate{cleared: true})
			case c.unsettled.latest[t].After(e.at):
				// The later answer will clear the trait, and peers need not be told twice.
			case !k.trusted && e.at.Sub(at) < trustTime && at.After(c.lastCrashBefore(e, t)):
				c.update(e, t, candidate{trusted: true})
			}
		}
	}
}

// implicate adds to the candidates of a crash the traits of those requests whose answers were
// complete shortly before, so that they were not in flight. These answers never clear a
// trait. It reports whether that makes any trait more suspect.
func (c *Crashes) implicate(e *crash) (urgent bool) {
	if e.survived || len(c.unsettled.answers) == 0 {
		return false
	}
	for _, a := range c.unsettled.takeOf(e.incarnation, e.at.Add(-afterTime), e.at.Add(survivalTime)) {
		for _, t := range a.traits {
			_, known := e.traits[t]
			if c.update(e, t, candidate{tried: slices.Contains(a.tried, t)}) && !known && !e.traits[t].cleared {
				urgent = true
			}
		}
		c.stale = true
	}
	return urgent
}

// standing returns whether a trait may have caused a crash, with the answers that have not
// settled: those of requests that did not run apart count for now, since without them a trait
// of many sound requests would be suspected for settleTime after each crash.
func (c *Crashes) standing(e *crash, t Trait, k *candidate) (cleared, trusted bool) {
	last, ok := c.unsettled.latest[t]
	return k.cleared || ok && !last.Before(e.at), k.trusted || ok
}
