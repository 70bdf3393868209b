package booking

import (
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
)

// state is how far a record's key has come.
type state int

const (
	// asking is the home's own claim while witnesses are asked.
	asking state = iota
	// running is the home's own claim after Run.
	running
	// claimed is another home's claim, recorded here as a witness.
	claimed
	// answered holds the whole answer.
	answered
	// unknown says that the key may have run and the answer is not held.
	unknown
)

// record is what a process knows of one key.
type record struct {
	key      Key
	state    state
	bodyHash string
	// home, incarnation and claimID name the claim.
	home        fleet.VMName
	incarnation fleet.Incarnation
	claimID     ClaimID
	answer      *wire.StoredAnswer
	// updatedAt is when the record last gained something; it lapses a window later.
	updatedAt time.Time
	// ref and round are set at the home only.
	ref   Ref
	round *round
}

// live says whether the record still stands. A running one never lapses.
func (r *record) live(now time.Time, window time.Duration) bool {
	return r.state == running || now.Sub(r.updatedAt) < window
}

// sameClaimant says whether the request comes from the home that holds the record.
func (r *record) sameClaimant(q *wire.ClaimRequest) bool {
	return string(r.home) == q.Home && string(r.incarnation) == q.HomeIncarnation
}

// claimRequest makes the message that names the record's claim.
func (r *record) claimRequest() *wire.ClaimRequest {
	return &wire.ClaimRequest{
		Account:         string(r.key.Account),
		Key:             r.key.Text,
		BodyHash:        []byte(r.bodyHash),
		Home:            string(r.home),
		HomeIncarnation: string(r.incarnation),
		ClaimId:         uint64(r.claimID),
	}
}

// outcomeRequest makes the message that carries the record's outcome, or the bare claim
// while there is none.
func (r *record) outcomeRequest() *wire.ClaimRequest {
	q := r.claimRequest()
	switch r.state {
	case answered:
		q.Answer = r.answer
	case unknown:
		q.Answer = &wire.StoredAnswer{}
	default:
	}
	return q
}

// setOutcome records an outcome; an answer is never replaced, and an unknown
// outcome only by an answer.
func (r *record) setOutcome(now time.Time, a *wire.StoredAnswer) {
	if r.state == answered {
		return
	}
	r.updatedAt = now
	r.round = nil
	if a == nil || !a.Complete {
		r.state = unknown
		return
	}
	r.state = answered
	r.answer = a
}
