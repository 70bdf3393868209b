package booking

import (
	"fmt"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

// begin starts a claim if this process is the home of the key. If there is a
// record of the key, begin answers the offer from the record instead.
func (c *Core) begin(now time.Time, m Begin) []Effect {
	if r := c.find(now, m.Key); r != nil {
		return []Effect{c.handleDuplicate(r, m)}
	}
	if !c.isHome(m.Key) {
		return []Effect{Refuse{m.Ref, result.NotHome, "this upstream is not the key's home"}}
	}
	r := c.add(now, m.Key, m.BodyHash)
	if r == nil {
		return []Effect{Refuse{m.Ref, result.KeyTableFull, fmt.Sprintf("%d keys are held", len(c.records))}}
	}
	c.lastClaimID++
	r.home, r.incarnation, r.claimID = c.Self.Name, c.Incarnation, c.lastClaimID
	r.state = asking
	r.ref = m.Ref
	r.round = c.newRound(now, m.Key)
	c.rounds[r.claimID] = r
	c.runs[r.ref] = r
	return c.askNextWitnesses(now, r)
}

func (c *Core) newRound(now time.Time, k Key) *round {
	d := &round{started: now, pending: make(map[fleet.VMName]bool)}
	d.candidates = witnesses(k, c.Self, c.members)
	d.memberCount = len(d.candidates)
	if c.Witnesses > 0 {
		d.candidates = append(d.candidates, witnesses(k, c.Self, c.out)...)
	}
	return d
}

// handleDuplicate answers an offer whose key already has a record. It never
// runs the request.
func (c *Core) handleDuplicate(r *record, m Begin) Effect {
	if r.bodyHash != string(m.BodyHash) {
		return Refuse{m.Ref, result.KeyBodyDiffers, "the key was used with another body"}
	}
	switch r.state {
	case answered:
		return ReplayAnswer{m.Ref, r.answer}
	case unknown:
		return Refuse{m.Ref, result.KeyOutcomeUnknown, "the key may have run; its answer is not held"}
	case claimed:
		if !c.isHome(r.key) {
			return Refuse{m.Ref, result.NotHome, "this upstream is not the key's home"}
		}
		return Refuse{m.Ref, c.openClaimCode(r.home), "claimed by " + string(r.home)}
	default:
		return Refuse{m.Ref, result.KeyInProgress, "the key is running here"}
	}
}

// openClaimCode returns the result code for a claim without an answer. Only a
// home that is still a member can release the claim or record an answer later.
func (c *Core) openClaimCode(home fleet.VMName) result.Code {
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

// askNextWitnesses asks further witnesses until enough of them have been members
// for a whole window. It ends the round if no witness is left to ask.
func (c *Core) askNextWitnesses(now time.Time, r *record) []Effect {
	vms := r.round.next(c.Witnesses - r.round.fullWindow)
	if len(vms) == 0 {
		return c.decide(now, r)
	}
	r.round.lastAsked = now
	out := make([]Effect, 0, len(vms))
	for _, vm := range vms {
		out = append(out, AskWitness{vm, r.claimID, r.claimRequest()})
	}
	return out
}

func (c *Core) witnessReplied(now time.Time, id ClaimID, from fleet.VMName, y *wire.ClaimReply) []Effect {
	r := c.rounds[id]
	if r == nil {
		return nil
	}
	if y != nil && result.Code(y.Code) == result.KeyClaimedElsewhere && y.Answer == nil {
		y = &wire.ClaimReply{Code: uint32(c.openClaimCode(fleet.VMName(y.Home)))}
	}
	if !r.round.recordReply(from, y, c.Window) || len(r.round.pending) > 0 {
		return nil
	}
	d := r.round
	if d.objection == result.OK && d.answer == nil && d.fullWindow < c.Witnesses {
		return c.askNextWitnesses(now, r)
	}
	return c.decide(now, r)
}

// decide ends a round that has no pending replies.
func (c *Core) decide(now time.Time, r *record) []Effect {
	d := r.round
	delete(c.rounds, r.claimID)
	before := d.started.Add(c.Window / 2)
	switch {
	case d.objection == result.KeyBodyDiffers:
		return c.abandonClaim(r, d.objection)
	case d.answer != nil:
		return c.adoptOutcome(now, r, d.answer, ReplayAnswer{r.ref, d.answer})
	case d.objection == result.KeyOutcomeUnknown:
		return c.adoptOutcome(now, r, nil, Refuse{r.ref, d.objection, "another member knows the key without its answer"})
	case d.objection != result.OK:
		return c.abandonClaim(r, d.objection)
	case !c.isHome(r.key):
		return c.abandonClaim(r, result.NotHome)
	case !now.Before(before):
		return c.abandonClaim(r, result.WitnessUnreached)
	}
	r.state = running
	r.updatedAt = now
	return []Effect{Run{r.ref, before}}
}

// abandonClaim releases a claim whose request never ran, and refuses the offer.
func (c *Core) abandonClaim(r *record, code result.Code) []Effect {
	out := c.release(r)
	return append(out, Refuse{r.ref, code, "the key was not claimed"})
}

// adoptOutcome records an outcome that a witness reported and sends it to all
// witnesses that were asked, so that it is replicated as widely as an outcome of
// this process.
func (c *Core) adoptOutcome(now time.Time, r *record, a *wire.StoredAnswer, e Effect) []Effect {
	asked := r.round.candidates[:r.round.asked]
	delete(c.runs, r.ref)
	c.recordOutcome(now, r, a)
	return append(notify(asked, r.outcomeRequest()), e)
}

func (c *Core) release(r *record) []Effect {
	c.remove(r)
	q := r.claimRequest()
	q.Release = true
	return notify(r.round.candidates[:r.round.asked], q)
}

func notify(vms []fleet.VM, q *wire.ClaimRequest) []Effect {
	out := make([]Effect, 0, len(vms)+1)
	for _, vm := range vms {
		out = append(out, NotifyWitness{vm, q})
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
	c.recordOutcome(now, r, m.Answer)
	out := notify(asked, r.outcomeRequest())
	if c.draining {
		out = append(out, c.handOff(r)...)
	}
	return out
}
