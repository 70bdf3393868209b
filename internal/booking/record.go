package booking

import (
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
)

// state is the state of a record.
type state int

const (
	// asking is the state at the home while it asks witnesses.
	asking state = iota
	// running is the state at the home after Run.
	running
	// claimed is the state at a witness that recorded another home's claim.
	claimed
	// answered means that the record holds the complete answer.
	answered
	// unknown means that the key may have run and the answer is not recorded.
	unknown
)

// record is the idempotency record of one key at one process.
type record struct {
	key      Key
	state    state
	bodyHash string
	// home, incarnation and claimID identify the claim.
	home        fleet.VMName
	incarnation fleet.Incarnation
	claimID     ClaimID
	answer      *wire.StoredAnswer
	// updatedAt is the time of the last update. The record expires a window later.
	updatedAt time.Time
	// ref and round are only set at the home.
	ref   Ref
	round *round
}

// live reports whether the record has not expired. A running record never
// expires.
func (r *record) live(now time.Time, window time.Duration) bool {
	return r.state == running || now.Sub(r.updatedAt) < window
}

// sameClaimant reports whether the request comes from the home process that
// holds the claim.
func (r *record) sameClaimant(q *wire.ClaimRequest) bool {
	return string(r.home) == q.Home && string(r.incarnation) == q.HomeIncarnation
}

// claimRequest returns a message that identifies the record's claim.
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

// outcomeRequest returns a message with the record's outcome, or only the claim if
// there is no outcome yet.
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

// setOutcome records an outcome. An answer is never replaced, and an unknown
// outcome is only replaced by an answer.
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
