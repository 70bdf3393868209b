package simulation

import "time"

// outcome is how a request ended for its caller.
type outcome int

const (
	served outcome = iota
	refused
	failed
)

// KindReport is what the callers of a kind of request received.
type KindReport struct {
	Name string
	// Asked is the number of requests, and the others say how they ended.
	Asked, InTime, Late, Refused, Failed int
	// Worth is the credit earned, and Owed the credit if all were in time.
	Worth, Owed float64
	// Large counts the requests among the largest tenth, and LargeServed those of
	// them that were served.
	Large, LargeServed int
}

// Served returns the share of requests that were served, in time or late.
func (k KindReport) Served() float64 { return float64(k.InTime+k.Late) / float64(max(k.Asked, 1)) }

// Attained returns the share of requests that were served in time.
func (k KindReport) Attained() float64 { return float64(k.InTime) / float64(max(k.Asked, 1)) }

// Report is the result of a run.
type Report struct {
	Kinds []KindReport
	// Goodput is the credit earned per second, and Worth its share of what is owed.
	Goodput, Worth float64
	// Processed is the number of prompt tokens that engines processed, and Recomputed
	// those of shared parts that some engine had processed before.
	Processed, Recomputed int
	// Rejected counts attempts that engines did not accept, and Returns the callers
	// that came back after a refusal.
	Rejected, Returns int
	// ToLeaving counts attempts that reached engines which had begun to leave, and
	// ToPausing those that reached engines which refuse all and ask for pauses.
	ToLeaving, ToPausing int
}

// sizeWeight returns the weight of a request's size in its credit: the size against
// the mean of its kind, at most 4.
func (r *request) sizeWeight() float64 {
	return min(0.3+0.7*float64(r.size())/r.kind.meanSize(r.sim.site), 4)
}

// size returns the size of a request in tokens, where an output token counts ten.
func (r *request) size() int {
	n := 10 * r.output
	for _, p := range r.prompt {
		n += p.Tokens
	}
	return n
}

func (k *Kind) meanSize(s *Site) float64 {
	n := k.Own.Mean + 10*k.Events.Mean*float64(s.Engine.EventTokens)
	for _, p := range k.Shared {
		n += p.Tokens.Mean
	}
	return n
}

// largeFactor times the mean size is the size above which a request counts as large.
const largeFactor = 1.8

// statistics collects the outcomes of a run.
type statistics struct {
	kinds                        map[string]*KindReport
	rejected, unreached, returns int
	toLeaving, toPausing         int
}

// countArrival counts a request that reaches an engine which wants none.
func (s *statistics) countArrival(e *engine) {
	switch {
	case e.leaving:
		s.toLeaving++
	case e.pause > 0:
		s.toPausing++
	}
}

func (s *statistics) record(r *request, o outcome) {
	k := s.kinds[r.kind.Name]
	weight := r.sizeWeight()
	k.Asked++
	k.Owed += weight * r.kind.Worth
	if float64(r.size()) > largeFactor*r.kind.meanSize(r.sim.site) {
		k.Large++
		if o == served {
			k.LargeServed++
		}
	}
	switch {
	case o == refused:
		k.Refused++
	case o == failed:
		k.Failed++
	case r.inTime():
		k.InTime++
		k.Worth += weight * r.kind.Worth
	default:
		k.Late++
		k.Worth += weight * r.kind.LateWorth
	}
}

func (sim *simulation) report(duration time.Duration) Report {
	out := Report{Rejected: sim.stats.rejected, Returns: sim.stats.returns, ToLeaving: sim.stats.toLeaving, ToPausing: sim.stats.toPausing}
	earned, owed := 0.0, 0.0
	for i := range sim.site.Kinds {
		k := *sim.stats.kinds[sim.site.Kinds[i].Name]
		out.Kinds = append(out.Kinds, k)
		earned += k.Worth
		owed += k.Owed
	}
	for _, e := range sim.engines {
		out.Processed += e.processed
		out.Recomputed += e.recomputed
	}
	out.Goodput = earned / duration.Seconds()
	out.Worth = earned / max(owed, 1)
	return out
}
