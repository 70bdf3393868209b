package booking

import (
	"fmt"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

// begin takes an offer as the key's home, or answers it from a record.
func (c *Core) begin(now time.Time, m Begin) []Effect {
	if r := c.find(now, m.Key); r != nil {
		return []Effect{c.repeat(r, m)}
	}
	if !c.isHome(m.Key) {
		return []Effect{Refuse{m.Ref, result.NotHome, "this upstream is not the key's home"}}
	}
	r := c.add(now, m.Key, m.BodyHash)
	if r == nil {
		return []Effect{Refuse{m.Ref, result.KeyTableFull, fmt.Sprintf("%d keys are held", len(c.records))}}
	}
	c.claims++
	r.home, r.incarnation, r.claimID = c.Self.Name, c.Incarnation, c.claims
	r.state = asking
	r.ref = m.Ref
	r.round = c.newRound(now, m.Key)
	c.rounds[r.claimID] = r
	c.runs[r.ref] = r
	return c.askMore(now, r)
}

func (c *Core) newRound(now time.Time, k Key) *round {
	d := &round{started: now, waiting: make(map[fleet.VMName]bool)}
	d.candidates = witnesses(k, c.Self, c.members)
	d.members = len(d.candidates)
	if c.Witnesses > 0 {
		d.candidates = append(d.candidates, witnesses(k, c.Self, c.out)...)
	}
	return d
}

// repeat answers an offer whose key is known. It never runs it.
func (c *Core) repeat(r *record, m Begin) Effect {
	if r.bodyHash != string(m.BodyHash) {
		return Refuse{m.Ref, result.KeyBodyDiffers, "the key was used with another body"}
	}
	switch r.state {
	case answered:
		return AnswerRecorded{m.Ref, r.answer}
	case unknown:
		return Refuse{m.Ref, result.KeyOutcomeUnknown, "the key may have run; its answer is not held"}
	case claimed:
		if !c.isHome(r.key) {
			return Refuse{m.Ref, result.NotHome, "this upstream is not the key's home"}
		}
		return Refuse{m.Ref, c.heldBy(r.home), "claimed by " + string(r.home)}
	default:
		return Refuse{m.Ref, result.KeyInProgress, "the key is running here"}
	}
}

// heldBy gives the code for a claim without an answer. Only a home that is
// still there may yet release it or answer it.
func (c *Core) heldBy(home fleet.VMName) result.Code {
	if home == c.Self.Name {
		return result.KeyOutcomeUnknown
	}
	for _, vm := range c.members {
		if vm.Name == home {
			return result.KeyClaimedElsewhere
		}
	}
	return result.KeyOutcomeUnknown
}

// askMore asks further witnesses until enough of them can vouch for the whole
// window, and decides when nobody is left to ask.
func (c *Core) askMore(now time.Time, r *record) []Effect {
	vms := r.round.next(c.Witnesses - r.round.old)
	if len(vms) == 0 {
		return c.decide(now, r)
	}
	r.round.asking = now
	out := make([]Effect, 0, len(vms))
	for _, vm := range vms {
		out = append(out, AskWitness{vm, r.claimID, r.request()})
	}
	return out
}

func (c *Core) replied(now time.Time, id ClaimID, from fleet.VMName, y *wire.ClaimReply) []Effect {
	r := c.rounds[id]
	if r == nil {
		return nil
	}
	if y != nil && result.Code(y.Code) == result.KeyClaimedElsewhere && y.Answer == nil {
		y = &wire.ClaimReply{Code: uint32(c.heldBy(fleet.VMName(y.Home)))}
	}
	if !r.round.take(from, y, c.Window) || len(r.round.waiting) > 0 {
		return nil
	}
	d := r.round
	if d.worst == result.OK && d.answer == nil && d.old < c.Witnesses {
		return c.askMore(now, r)
	}
	return c.decide(now, r)
}

// decide ends a round in which nobody is waited for.
func (c *Core) decide(now time.Time, r *record) []Effect {
	d := r.round
	delete(c.rounds, r.claimID)
	before := d.started.Add(c.Window / 2)
	switch {
	case d.worst == result.KeyBodyDiffers:
		return c.backOff(r, d.worst)
	case d.answer != nil:
		return c.adopt(now, r, d.answer, AnswerRecorded{r.ref, d.answer})
	case d.worst == result.KeyOutcomeUnknown:
		return c.adopt(now, r, nil, Refuse{r.ref, d.worst, "another member knows the key without its answer"})
	case d.worst != result.OK:
		return c.backOff(r, d.worst)
	case !c.isHome(r.key):
		return c.backOff(r, result.NotHome)
	case !now.Before(before):
		return c.backOff(r, result.WitnessUnreached)
	}
	r.state = running
	r.touched = now
	return []Effect{Run{r.ref, before}}
}

// backOff takes back a claim that never ran.
func (c *Core) backOff(r *record, code result.Code) []Effect {
	out := c.release(r)
	return append(out, Refuse{r.ref, code, "the key was not claimed"})
}

// adopt keeps an outcome learnt from a witness, and passes it to the others
// that were asked, so that it is held as widely as an outcome of one's own.
func (c *Core) adopt(now time.Time, r *record, a *wire.StoredAnswer, e Effect) []Effect {
	asked := r.round.candidates[:r.round.asked]
	delete(c.runs, r.ref)
	r.settle(now, a)
	return append(tell(asked, r.told()), e)
}

func (c *Core) release(r *record) []Effect {
	c.forget(r)
	q := r.request()
	q.Release = true
	return tell(r.round.candidates[:r.round.asked], q)
}

func tell(vms []fleet.VM, q *wire.ClaimRequest) []Effect {
	out := make([]Effect, 0, len(vms)+1)
	for _, vm := range vms {
		out = append(out, TellWitness{vm, q})
	}
	return out
}

func (c *Core) withdraw(ref Ref) []Effect {
	r := c.runs[ref]
	if r == nil || r.state != asking {
		return nil
	}
	return c.release(r)
}

func (c *Core) finish(now time.Time, m Finished) []Effect {
	r := c.runs[m.Ref]
	if r == nil || r.state != running {
		return nil
	}
	if m.NotRun {
		return c.release(r)
	}
	asked := r.round.candidates[:r.round.asked]
	delete(c.runs, r.ref)
	c.settle(now, r, m.Answer)
	out := tell(asked, r.told())
	if c.draining {
		out = append(out, c.handOn(r)...)
	}
	return out
}
