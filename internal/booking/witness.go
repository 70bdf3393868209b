package booking

import (
	"cmp"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// claimReceived processes a claim, release or answer from another process.
func (c *Core) claimReceived(now time.Time, q *wire.ClaimRequest) *wire.ClaimReply {
	k := Key{Account: table.AccountName(q.Account), Text: q.Key}
	r := c.find(now, k)
	y := &wire.ClaimReply{}
	switch {
	case q.Release:
		c.releaseClaim(r, q)
	case q.Answer == nil && c.isOwnClaim(q):
		// A draining member handed this process's own claim back.
	case r == nil:
		c.recordClaim(now, k, q, y)
	case r.bodyHash != string(q.BodyHash):
		refuseClaim(y, r, result.KeyBodyDiffers)
	case q.Answer != nil:
		c.recordAnswer(now, r, q.Answer)
	default:
		c.replyToDuplicateClaim(now, r, q, y)
	}
	y.UpMs = uint64(c.membershipAge(now) / time.Millisecond)
	return y
}

// isOwnClaim reports whether this incarnation of the process made the claim.
func (c *Core) isOwnClaim(q *wire.ClaimRequest) bool {
	return q.Home == string(c.Self.Name) && q.HomeIncarnation == string(c.Incarnation)
}

// releaseClaim removes exactly the claim that the release names, because a
// delayed release must not free a later claim.
func (c *Core) releaseClaim(r *record, q *wire.ClaimRequest) {
	if r != nil && r.state == claimed && r.sameClaimant(q) && uint64(r.claimID) == q.ClaimId {
		c.remove(r)
	}
}

func (c *Core) recordClaim(now time.Time, k Key, q *wire.ClaimRequest, y *wire.ClaimReply) {
	r := c.add(now, k, q.BodyHash)
	if r == nil {
		y.Code = uint32(result.KeyTableFull)
		return
	}
	r.state = claimed
	r.home = fleet.VMName(q.Home)
	r.incarnation = fleet.Incarnation(q.HomeIncarnation)
	r.claimID = ClaimID(q.ClaimId)
	if q.Answer != nil {
		c.recordOutcome(now, r, q.Answer)
	}
}

// recordAnswer records an outcome. If this process has a round for the key, the
// round takes the outcome and ends with it.
func (c *Core) recordAnswer(now time.Time, r *record, a *wire.StoredAnswer) {
	switch r.state {
	case asking:
		r.round.recordOutcome(a)
	case running:
		// The outcome of the run at this process follows.
	default:
		c.recordOutcome(now, r, a)
	}
}

// replyToDuplicateClaim answers a claim for a key that already has a record.
func (c *Core) replyToDuplicateClaim(now time.Time, r *record, q *wire.ClaimRequest, y *wire.ClaimReply) {
	switch r.state {
	case asking:
		// Two processes consider themselves the home: both abandon their claims.
		r.round.addObjection(result.KeyClaimedElsewhere)
		refuseClaim(y, r, result.KeyClaimedElsewhere)
	case running:
		refuseClaim(y, r, result.KeyInProgress)
	case answered:
		refuseClaim(y, r, result.KeyClaimedElsewhere)
		y.Answer = r.answer
	case unknown:
		refuseClaim(y, r, result.KeyOutcomeUnknown)
	default:
		if r.sameClaimant(q) && q.ClaimId >= uint64(r.claimID) {
			// The same home process claims again, so it knows that its earlier
			// claim never ran.
			r.claimID = ClaimID(q.ClaimId)
			r.updatedAt = now
			return
		}
		refuseClaim(y, r, result.KeyClaimedElsewhere)
	}
}

func refuseClaim(y *wire.ClaimReply, r *record, code result.Code) {
	y.Code = uint32(code)
	y.Home = string(r.home)
	y.HomeIncarnation = string(r.incarnation)
	y.BodyHash = []byte(r.bodyHash)
}

// drain sends every finished or witnessed record to the members that would hold
// it if this process were not a member, so that no record is lost when all
// processes of a fleet are replaced one by one.
func (c *Core) drain(now time.Time) []Effect {
	if c.draining {
		return nil
	}
	c.draining = true
	var rs []*record
	for _, r := range c.records {
		if r.live(now, c.Window) && r.state >= claimed {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.key.Account, b.key.Account), cmp.Compare(a.key.Text, b.key.Text))
	})
	var out []Effect
	for _, r := range rs {
		out = append(out, c.handOff(r)...)
	}
	return out
}

func (c *Core) handOff(r *record) []Effect {
	recipients := slices.DeleteFunc(slices.Clone(c.members), func(vm fleet.VM) bool { return vm.Name == c.Self.Name })
	if len(recipients) == 0 {
		return nil
	}
	home := Order(r.key, recipients)[0]
	rest := witnesses(r.key, home, recipients)
	recipients = append([]fleet.VM{home}, rest[:min(c.Witnesses, len(rest))]...)
	return notify(recipients, r.outcomeRequest())
}
