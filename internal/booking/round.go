package booking

import (
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

// round is one asking of witnesses by a home.
type round struct {
	started time.Time
	// lastAsked is when a witness was last asked.
	lastAsked time.Time
	// candidates are the witnesses in order; the first asked of them were asked.
	candidates []fleet.VM
	// memberCount is how many of the candidates take work. The others come last and
	// are asked for what they know: one that is silent is no objection.
	memberCount int
	asked       int
	pending     map[fleet.VMName]bool
	// fullWindow counts witnesses that recorded the claim and would have known of any
	// key of the window.
	fullWindow int
	// objection is the weightiest objection; result.OK for none.
	objection result.Code
	answer    *wire.StoredAnswer
}

// severity orders objections: what says most of earlier runs goes to the caller.
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
		// A code that a newer process might send is no consent.
		return 1
	}
}

func (d *round) addObjection(c result.Code) {
	if severity(c) > severity(d.objection) {
		d.objection = c
	}
}

// next takes up to n further members, or all that are out once no member is
// left.
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

// recordReply books one reply; nil stands for none.
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

// recordFailure books a witness that could not record the claim.
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

// recordOutcome keeps an outcome that another process recorded.
func (d *round) recordOutcome(a *wire.StoredAnswer) {
	if !a.Complete {
		d.addObjection(result.KeyOutcomeUnknown)
		return
	}
	d.answer = a
}
