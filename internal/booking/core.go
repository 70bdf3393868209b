// Package booking runs a request with an idempotency key at most once, without
// a persistent store: the sidecars of a service hold the claims in memory. The
// package does no I/O.
//
// Rendezvous hashing orders the sidecars of a service for each key. The first
// sidecar is the home of the key, and only the home runs the request. Before it
// does, it records its claim locally and at witnesses, the next sidecars in the
// order. If a witness or the home itself already has a record of the key, the
// home replays the recorded answer or refuses the request. Concurrent claims of
// two homes conflict at a common witness, and a home that finds a conflicting
// claim abandons its own.
//
// A process that has been a member for less than a whole key window may have
// missed keys that ran earlier in the window. The home asks further witnesses
// until enough of them have been members for a whole window, or until it has
// asked all members. In the latter case it also asks sidecars that are leaving
// or were taken out, because they may still hold a record: operators may take
// out one data centre after the other within a window.
//
// # Usage
//
//	c := &booking.Core{Self: vm, Incarnation: id, Window: 24 * time.Hour}
//	members, out := booking.Members(view, service)
//	c.Handle(now, booking.ViewChanged{Members: members, Out: out})
//	for m := range messages {
//		for _, e := range c.Handle(now, m) {
//			// carry out the effect
//		}
//	}
//
// A gateway finds the home as Order(key, members)[0].
package booking

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
)

// Default values for the fields of Core.
const (
	DefaultWindow              = 24 * time.Hour
	DefaultWitnesses           = 2
	DefaultMaxRecords          = 8192
	DefaultMaxAnswerBytes      = 4096
	DefaultMaxTotalAnswerBytes = 8 << 20
	DefaultClaimTimeout        = 2 * time.Second
)

// sweepInterval is the minimum time between two scans for expired records.
const sweepInterval = time.Second

// Core holds the idempotency records of one sidecar. Set the exported fields
// before use; a zero value selects the default.
type Core struct {
	// Self is this process. Core reads its Name and DataCentre.
	Self        fleet.VM
	Incarnation fleet.Incarnation
	// Window is how long a record is kept after its last update.
	Window time.Duration
	// Witnesses is how many other members record a claim before the request
	// runs. A negative number disables witnesses.
	Witnesses int
	// MaxRecords is the maximum number of records.
	MaxRecords int
	// MaxAnswerBytes is the maximum size of a recorded answer, headers included.
	// For a larger answer, the record only states that the key ran.
	MaxAnswerBytes int
	// MaxTotalAnswerBytes is the maximum size of all recorded answers together.
	// For an answer beyond it, the record only states that the key ran.
	MaxTotalAnswerBytes int
	// ClaimTimeout is how long a round waits for the sidecar to report a reply or
	// a failure of each witness. Then the missing replies count as failures.
	ClaimTimeout time.Duration

	members     []fleet.VM
	out         []fleet.VM
	member      bool
	memberSince time.Time
	draining    bool
	records     map[Key]*record
	rounds      map[ClaimID]*record
	runs        map[Ref]*record
	lastClaimID ClaimID
	lastSweep   time.Time
	// answerBytes is the total size of all recorded answers.
	answerBytes int
}

func (c *Core) setDefaults() {
	if c.records != nil {
		return
	}
	c.records = make(map[Key]*record)
	c.rounds = make(map[ClaimID]*record)
	c.runs = make(map[Ref]*record)
	if c.Window <= 0 {
		c.Window = DefaultWindow
	}
	if c.Witnesses == 0 {
		c.Witnesses = DefaultWitnesses
	}
	if c.Witnesses < 0 {
		c.Witnesses = 0
	}
	if c.MaxRecords <= 0 {
		c.MaxRecords = DefaultMaxRecords
	}
	if c.MaxAnswerBytes <= 0 {
		c.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if c.MaxTotalAnswerBytes <= 0 {
		c.MaxTotalAnswerBytes = DefaultMaxTotalAnswerBytes
	}
	if c.ClaimTimeout <= 0 {
		c.ClaimTimeout = DefaultClaimTimeout
	}
}

// Handle processes one message and returns the effects to carry out, in order.
func (c *Core) Handle(now time.Time, m Message) []Effect {
	c.setDefaults()
	switch m := m.(type) {
	case Begin:
		return c.begin(now, m)
	case Withdrawn:
		return c.withdraw(m.Ref)
	case Finished:
		return c.finish(now, m)
	case WitnessReplied:
		return c.witnessReplied(now, m.ClaimID, m.From, m.Reply)
	case WitnessFailed:
		return c.witnessReplied(now, m.ClaimID, m.From, nil)
	case ClaimReceived:
		return []Effect{ReplyClaim{m.Ref, c.claimReceived(now, m.Request)}}
	case ViewChanged:
		c.changeView(now, m)
	case Draining:
		return c.drain(now)
	case Ticked:
		return c.tick(now)
	}
	return nil
}

// Records returns the number of records, for a gauge.
func (c *Core) Records() int { return len(c.records) }

// Known reports whether this process has a record of the key. An offer with the
// key may arrive even if this process is not, or is no longer, its home.
func (c *Core) Known(now time.Time, k Key) bool { return c.find(now, k) != nil }

func (c *Core) changeView(now time.Time, m ViewChanged) {
	c.members = slices.Clone(m.Members)
	c.out = slices.Clone(m.Out)
	if m.Window > 0 {
		c.Window = m.Window
	}
	member := slices.ContainsFunc(c.members, func(vm fleet.VM) bool { return vm.Name == c.Self.Name })
	if member && !c.member {
		// While this process was not a member, other members may have run keys
		// that it has no record of.
		c.memberSince = now
	}
	c.member = member
}

// membershipAge returns how long this process has been a member.
func (c *Core) membershipAge(now time.Time) time.Duration {
	if !c.member {
		return 0
	}
	return now.Sub(c.memberSince)
}

func (c *Core) isHome(k Key) bool {
	if c.draining || !c.member {
		return false
	}
	return Order(k, c.members)[0].Name == c.Self.Name
}

func (c *Core) find(now time.Time, k Key) *record {
	r := c.records[k]
	if r == nil || r.live(now, c.Window) {
		return r
	}
	c.remove(r)
	return nil
}

func (c *Core) remove(r *record) {
	if c.records[r.key] == r {
		c.answerBytes -= answerSize(r.answer)
		delete(c.records, r.key)
	}
	if c.runs[r.ref] == r {
		delete(c.runs, r.ref)
	}
	if c.rounds[r.claimID] == r {
		delete(c.rounds, r.claimID)
	}
}

// add creates a record, or returns nil if the limit is reached. It never evicts
// a live record to make room.
func (c *Core) add(now time.Time, k Key, hash []byte) *record {
	if len(c.records) >= c.MaxRecords {
		c.sweep(now)
	}
	if len(c.records) >= c.MaxRecords {
		return nil
	}
	r := &record{key: k, bodyHash: string(hash), updatedAt: now}
	c.records[k] = r
	return r
}

func (c *Core) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < sweepInterval {
		return
	}
	c.lastSweep = now
	for _, r := range c.records {
		if !r.live(now, c.Window) {
			c.remove(r)
		}
	}
}

func (c *Core) tick(now time.Time) []Effect {
	c.sweep(now)
	var expired []ClaimID
	for id, r := range c.rounds {
		if now.Sub(r.round.lastAsked) >= c.ClaimTimeout {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	var out []Effect
	for _, id := range expired {
		r := c.rounds[id]
		out = append(out, c.expireRound(now, id, r)...)
	}
	return out
}

// expireRound treats every witness with a pending reply as unreachable. A timeout
// covers only the witnesses that were asked last: VMs that are out are asked after
// the members and get a full timeout of their own.
func (c *Core) expireRound(now time.Time, id ClaimID, r *record) []Effect {
	var out []Effect
	r.round.lastAsked = now
	for _, vm := range r.round.candidates[:r.round.asked] {
		out = append(out, c.witnessReplied(now, id, vm.Name, nil)...)
	}
	return out
}

// recordOutcome records an outcome, with its answer if the answer fits the limits.
func (c *Core) recordOutcome(now time.Time, r *record, a *wire.StoredAnswer) {
	before := answerSize(r.answer)
	r.setOutcome(now, c.answerWithinLimits(a))
	c.answerBytes += answerSize(r.answer) - before
}

// answerWithinLimits returns the answer, or nil if it is incomplete or too large
// to keep.
func (c *Core) answerWithinLimits(a *wire.StoredAnswer) *wire.StoredAnswer {
	if a == nil || !a.Complete {
		return nil
	}
	if size := answerSize(a); size > c.MaxAnswerBytes || c.answerBytes+size > c.MaxTotalAnswerBytes {
		return nil
	}
	return a
}

// answerSize returns the size of an answer in bytes, headers included, or zero if
// there is none.
func answerSize(a *wire.StoredAnswer) int {
	if a == nil {
		return 0
	}
	size := len(a.Body)
	for _, h := range a.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}
