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
	// asking is when a witness was last asked.
	asking time.Time
	// candidates are the witnesses in order; the first asked of them were asked.
	candidates []fleet.VM
	// members is how many of the candidates take work. The others come last and
	// are asked for what they know: one that is silent is no objection.
	members int
	asked   int
	waiting map[fleet.VMName]bool
	// old counts witnesses that recorded the claim and would have known of any
	// key of the window.
	old int
	// worst is the weightiest objection; result.OK for none.
	worst  result.Code
	answer *wire.StoredAnswer
}

// weight orders objections: what says most of earlier runs goes to the caller.
func weight(c result.Code) int {
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

func (d *round) object(c result.Code) {
	if weight(c) > weight(d.worst) {
		d.worst = c
	}
}

// next takes up to n further members, or all that are out once no member is
// left.
func (d *round) next(n int) []fleet.VM {
	switch {
	case d.asked >= d.members:
		n = len(d.candidates) - d.asked
	case n > d.members-d.asked:
		n = d.members - d.asked
	}
	vms := d.candidates[d.asked : d.asked+n]
	d.asked += n
	for _, vm := range vms {
		d.waiting[vm.Name] = true
	}
	return vms
}

// take books one reply; nil stands for none.
func (d *round) take(from fleet.VMName, y *wire.ClaimReply, oldFrom time.Duration) bool {
	if !d.waiting[from] {
		return false
	}
	delete(d.waiting, from)
	if y == nil || result.Code(y.Code) == result.KeyTableFull {
		d.fail(from, y)
		return true
	}
	if y.Answer != nil && result.Code(y.Code) != result.KeyBodyDiffers {
		d.learn(y.Answer)
		return true
	}
	if y.Code == 0 && time.Duration(y.UpMs)*time.Millisecond >= oldFrom {
		d.old++
	}
	d.object(result.Code(y.Code))
	return true
}

// fail books a witness that could not record the claim.
func (d *round) fail(from fleet.VMName, y *wire.ClaimReply) {
	for _, vm := range d.candidates[d.members:] {
		if vm.Name == from {
			return
		}
	}
	if y == nil {
		d.object(result.WitnessUnreached)
		return
	}
	d.object(result.KeyTableFull)
}

// learn keeps an outcome that another process recorded.
func (d *round) learn(a *wire.StoredAnswer) {
	if !a.Complete {
		d.object(result.KeyOutcomeUnknown)
		return
	}
	d.answer = a
}
