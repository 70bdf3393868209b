package booking

import (
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

// round is the exchange in which a home asks witnesses to record one claim.
type round struct {
	started time.Time
	// lastAsked is when witnesses were last asked.
	lastAsked time.Time
	// candidates are the possible witnesses in the order in which they are asked.
	// asked is how many of them, from the start, have been asked.
	candidates []fleet.VM
	// memberCount is how many of the candidates are members. The others come last
	// and are only asked for an existing record: a missing reply from them does
	// not count as an objection.
	memberCount int
	asked       int
	pending     map[fleet.VMName]bool
	// fullWindow counts the witnesses that recorded the claim and have been members
	// for a whole key window, so that they would know of a claim that was sent to
	// them within it.
	fullWindow int
	// objection is the most severe objection, or result.OK if there is none.
	objection result.Code
	answer    *wire.StoredAnswer
}

// severity ranks objections. The caller gets the objection that says the most
// about earlier runs.
func severity(c result.Code) int {
	switch c {
	case result.OK:
		return 0
	case result.WitnessUnreached:
		return 1
	case result.KeyTableFull:
		return 2
	case result.KeyClaimedElsewhere:
		return 3
	case result.KeyInProgress:
		return 4
	case result.KeyOutcomeUnknown:
		return 5
	case result.KeyBodyDiffers:
		return 6
	default:
		// An unknown code, which a newer process may send, is not consent.
		return 1
	}
}

func (d *round) addObjection(c result.Code) {
	if severity(c) > severity(d.objection) {
		d.objection = c
	}
}

// next marks up to n further members as asked and returns them. If no member is
// left, it does so for all VMs that are out.
func (d *round) next(n int) []fleet.VM {
	switch {
	case d.asked >= d.memberCount:
		n = len(d.candidates) - d.asked
	case n > d.memberCount-d.asked:
		n = d.memberCount - d.asked
	}
	vms := d.candidates[d.asked : d.asked+n]
	d.asked += n
	for _, vm := range vms {
		d.pending[vm.Name] = true
	}
	return vms
}

// recordReply processes the reply of one witness; a nil reply means that none
// arrived. It returns false if no reply of the witness is pending.
func (d *round) recordReply(from fleet.VMName, y *wire.ClaimReply, window time.Duration) bool {
	if !d.pending[from] {
		return false
	}
	delete(d.pending, from)
	if y == nil || result.Code(y.Code) == result.KeyTableFull {
		d.recordFailure(from, y)
		return true
	}
	if y.Answer != nil && result.Code(y.Code) != result.KeyBodyDiffers {
		d.recordOutcome(y.Answer)
		return true
	}
	if y.Code == 0 && time.Duration(y.UpMs)*time.Millisecond >= window {
		d.fullWindow++
	}
	d.addObjection(result.Code(y.Code))
	return true
}

// recordFailure records the objection of a member that did not record the claim.
func (d *round) recordFailure(from fleet.VMName, y *wire.ClaimReply) {
	for _, vm := range d.candidates[d.memberCount:] {
		if vm.Name == from {
			return
		}
	}
	if y == nil {
		d.addObjection(result.WitnessUnreached)
		return
	}
	d.addObjection(result.KeyTableFull)
}

// recordOutcome stores an outcome that another process recorded.
func (d *round) recordOutcome(a *wire.StoredAnswer) {
	if !a.Complete {
		d.addObjection(result.KeyOutcomeUnknown)
		return
	}
	d.answer = a
}
