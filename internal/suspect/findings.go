package suspect

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
)

const (
	// seriesGap is the time within which crashes count as one, unless a request ran apart:
	// what is in flight at several upstreams that end together says no more of each trait.
	seriesGap = 400 * time.Millisecond
	// blameSeries is the number of series of crashes after which a trait is held back,
	// and trustedBlameSeries that for a trait which had completed shortly before one.
	blameSeries        = 2
	trustedBlameSeries = 3
	// trustedProbationSeries is the number of series after which requests with a trait
	// run apart although they had completed shortly before. Without that, one is enough.
	trustedProbationSeries = 2
)

// finding is a set of traits that crash upstreams together: requests that have all of
// them are held back. It usually has one trait. It has several if all requests that were
// in flight at the crashes had all of them.
type finding struct {
	traits []Trait
	// crashes are those that it explains, from the first to the last, and series is the
	// number of series that they form.
	crashes []*crash
	series  int
}

// probation is what is known of a trait whose requests run apart from others.
type probation struct {
	// series is the number of series of crashes that the trait may have caused, and crashes
	// are the crashes, from the first to the last.
	series  int
	crashes []*crash
}

// findings is what follows from the crashes.
type findings struct {
	held []*finding
	// probation holds the traits whose requests run apart from others.
	probation map[Trait]*probation
	computed  time.Time
	// validUntil is when the first of the crashes stops to count.
	validUntil time.Time
	// cost is the time for which they are kept although something has changed.
	cost time.Duration
}

// assessTimePerTrait is how long findings are kept for each trait that they were computed
// from, which bounds the share of a core that they take while an outage clears thousands
// of traits one by one.
const assessTimePerTrait = 2 * time.Microsecond

// evidence is a crash that has not been explained, with the traits that may explain it.
type evidence struct {
	crash  *crash
	series int
	// traits are the uncleared ones that are not trusted, or all uncleared ones if there
	// is no other.
	traits  []Trait
	trusted bool
}

// assess returns the findings, which it computes again after a change.
func (c *Crashes) assess(now time.Time) *findings {
	c.settle(now)
	if f := c.findings; f != nil && now.Before(f.validUntil) && (!c.stale || now.Sub(f.computed) < f.cost) {
		return f
	}
	f := &findings{probation: make(map[Trait]*probation), computed: now, validUntil: now.Add(c.Quarantine)}
	open := c.collectEvidence(now, f)
	for {
		best := strongestFinding(open)
		if best == nil {
			break
		}
		f.held = append(f.held, best)
		open = slices.DeleteFunc(open, func(e *evidence) bool { return slices.Contains(best.crashes, e.crash) })
		if len(best.traits) > 1 {
			for _, t := range best.traits {
				f.probation[t] = &probation{best.series, best.crashes}
			}
		}
	}
	for t, s := range countSeries(open) {
		if s.series >= probationSeries(s) {
			if p := f.probation[t]; p == nil || p.series < s.series {
				f.probation[t] = &probation{s.series, crashesAt(open, s.crashes)}
			}
		}
	}
	c.findings, c.stale = f, false
	return f
}

// collectEvidence returns the crashes whose cause may still be unknown, in the order of
// their times.
func (c *Crashes) collectEvidence(now time.Time, f *findings) []*evidence {
	var out []*evidence
	var began time.Time
	series := 0
	for _, e := range c.sorted() {
		if e.survived || now.Sub(e.lastActive()) >= c.Quarantine {
			continue
		}
		f.cost += assessTimePerTrait * time.Duration(len(e.traits))
		v := &evidence{crash: e}
		v.traits, v.trusted = c.suspectsOf(e)
		if len(v.traits) == 0 {
			continue
		}
		if series == 0 || e.at.Sub(began) >= seriesGap {
			series, began = series+1, e.at
		}
		v.series = series
		if end := e.lastActive().Add(c.Quarantine); end.Before(f.validUntil) {
			f.validUntil = end
		}
		out = append(out, v)
	}
	return out
}

// suspectsOf returns the traits that may have caused a crash, sorted, and whether they
// are trusted.
func (c *Crashes) suspectsOf(e *crash) (traits []Trait, trusted bool) {
	var spoken []Trait
	for t, k := range e.traits {
		switch cleared, spokenFor := c.standing(e, t, k); {
		case cleared:
		case spokenFor:
			spoken = append(spoken, t)
		default:
			traits = append(traits, t)
		}
	}
	if len(traits) == 0 {
		traits, trusted = spoken, true
	}
	slices.Sort(traits)
	return traits, trusted
}

// traitSeries is in how many series of crashes a trait may be the cause.
type traitSeries struct {
	series, last int
	trusted      bool
	// crashes are the indices of the crashes in the evidence.
	crashes []int
}

func countSeries(open []*evidence) map[Trait]*traitSeries {
	out := make(map[Trait]*traitSeries)
	for i, e := range open {
		for _, t := range e.traits {
			s := out[t]
			if s == nil {
				s = &traitSeries{}
				out[t] = s
			}
			if e.series != s.last || e.crash.traits[t].tried {
				s.series, s.last = s.series+1, e.series
			}
			s.trusted = s.trusted || e.trusted
			s.crashes = append(s.crashes, i)
		}
	}
	return out
}

func probationSeries(s *traitSeries) int {
	if s.trusted {
		return trustedProbationSeries
	}
	return 1
}

func (s *traitSeries) blamed() bool {
	if s.trusted {
		return s.series >= trustedBlameSeries
	}
	return s.series >= blameSeries
}

// strongestFinding returns the traits that explain most series, or nil if no trait
// explains enough of them. Traits that explain just the same crashes can't be told apart.
func strongestFinding(open []*evidence) *finding {
	all := countSeries(open)
	var best *traitSeries
	var bestTrait Trait
	for _, t := range slices.Sorted(maps.Keys(all)) {
		s := all[t]
		if s.blamed() && (best == nil || cmp.Or(cmp.Compare(s.series, best.series), cmp.Compare(len(s.crashes), len(best.crashes))) > 0) {
			best, bestTrait = s, t
		}
	}
	if best == nil {
		return nil
	}
	f := &finding{series: best.series}
	for t, s := range all {
		if t == bestTrait || s.blamed() && slices.Equal(s.crashes, best.crashes) {
			f.traits = append(f.traits, t)
		}
	}
	slices.Sort(f.traits)
	f.crashes = crashesAt(open, best.crashes)
	return f
}

// crashesAt returns the crashes of the evidence with the given indices.
func crashesAt(open []*evidence, indices []int) []*crash {
	out := make([]*crash, 0, len(indices))
	for _, i := range indices {
		out = append(out, open[i].crash)
	}
	return out
}

// last returns the latest crash of the finding.
func (f *finding) last() *crash { return f.crashes[len(f.crashes)-1] }

// Blame describes a finding.
type Blame struct {
	Traits []Trait
	// Incarnations are those that crashed, from the first to the last.
	Incarnations []fleet.Incarnation
}

func (f *finding) blame() Blame { return blameOf(f.traits, f.crashes) }

func blameOf(traits []Trait, crashes []*crash) Blame {
	b := Blame{Traits: traits}
	for _, e := range crashes {
		b.Incarnations = append(b.Incarnations, e.incarnation)
	}
	return b
}

// maxShownIncarnations is the number of crashes that IncarnationsText names.
const maxShownIncarnations = 8

// IncarnationsText formats the first crashes for logs.
func (b Blame) IncarnationsText() string {
	var out []string
	for _, i := range b.Incarnations[:min(len(b.Incarnations), maxShownIncarnations)] {
		out = append(out, string(i))
	}
	return strings.Join(out, ",")
}

// Held returns what is held back at present.
func (c *Crashes) Held(now time.Time) []Blame {
	c.setDefaults()
	var out []Blame
	for _, f := range c.assess(now).held {
		out = append(out, f.blame())
	}
	return out
}

// OnProbation returns the number of traits whose requests run apart from others.
func (c *Crashes) OnProbation(now time.Time) int {
	c.setDefaults()
	return len(c.assess(now).probation)
}
