// Package booking runs a caller's idempotency key at most once, without a
// store: claims are held in the memory of the sidecars of the service. It does
// no I/O.
//
// The sidecars of a service are ordered by rendezvous hashing for each key.
// The first is the key's home and alone runs it. Before it does, it records
// its claim and has it recorded by witnesses, the next in the order. A witness
// that already knows the key makes the home give the recorded answer, or
// refuse; so does a home that knows the key itself. Claims meet at a common
// witness, and whoever meets another's claim backs off.
//
// A process that has not been a member for a whole key window cannot vouch
// for older keys. The home asks further ranks until enough witnesses can, or
// all members were asked. In that case it also asks those that were taken out
// or leave, for they may remember: operators may take one data centre out after
// the other within a window.
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

// Defaults of Core.
const (
	DefaultWindow              = 24 * time.Hour
	DefaultWitnesses           = 2
	DefaultMaxRecords          = 8192
	DefaultMaxAnswerBytes      = 4096
	DefaultMaxTotalAnswerBytes = 8 << 20
	DefaultClaimTimeout        = 2 * time.Second
)

// sweepInterval is the time between two searches for lapsed records.
const sweepInterval = time.Second

// Core holds the records of one sidecar. Set the exported fields before use;
// zero values stand for the defaults.
type Core struct {
	// Self is this process; Name and DataCentre are used.
	Self        fleet.VM
	Incarnation fleet.Incarnation
	// Window is how long a key is remembered after its last change.
	Window time.Duration
	// Witnesses is how many other members record a claim before it runs.
	// A negative number switches witnesses off.
	Witnesses int
	// MaxRecords bounds the records held.
	MaxRecords int
	// MaxAnswerBytes bounds a recorded answer, headers included; of a larger one
	// only the fact that it ran is kept.
	MaxAnswerBytes int
	// MaxTotalAnswerBytes bounds all recorded answers together; beyond it only the fact
	// that a key ran is kept.
	MaxTotalAnswerBytes int
	// ClaimTimeout ends a round that the sidecar did not end.
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
	// answerBytes is the size of all recorded answers, in bytes.
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

// Handle takes one message and returns what is to be done, in order.
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

// Records counts the keys held, for a gauge.
func (c *Core) Records() int { return len(c.records) }

// Known says whether the key is held here: a keyed offer for it may come even
// where this process is not, or no longer, the home.
func (c *Core) Known(now time.Time, k Key) bool { return c.find(now, k) != nil }

func (c *Core) changeView(now time.Time, m ViewChanged) {
	c.members = slices.Clone(m.Members)
	c.out = slices.Clone(m.Out)
	if m.Window > 0 {
		c.Window = m.Window
	}
	member := slices.ContainsFunc(c.members, func(vm fleet.VM) bool { return vm.Name == c.Self.Name })
	if member && !c.member {
		// While it was out others ran keys of which it heard nothing.
		c.memberSince = now
	}
	c.member = member
}

// membershipAge is how long this process has been a member.
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

// add makes a record, or returns nil when there is no room. A live record is
// never forgotten for another.
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

// expireRound takes every witness that is still waited for as unreached. Those
// that are out are asked only then, with a time of their own.
func (c *Core) expireRound(now time.Time, id ClaimID, r *record) []Effect {
	var out []Effect
	r.round.lastAsked = now
	for _, vm := range r.round.candidates[:r.round.asked] {
		out = append(out, c.witnessReplied(now, id, vm.Name, nil)...)
	}
	return out
}

// recordOutcome records an outcome, with its answer if there is room for it.
func (c *Core) recordOutcome(now time.Time, r *record, a *wire.StoredAnswer) {
	before := answerSize(r.answer)
	r.setOutcome(now, c.answerWithinLimits(a))
	c.answerBytes += answerSize(r.answer) - before
}

// answerWithinLimits drops an answer that is too large to keep.
func (c *Core) answerWithinLimits(a *wire.StoredAnswer) *wire.StoredAnswer {
	if a == nil || !a.Complete {
		return nil
	}
	if size := answerSize(a); size > c.MaxAnswerBytes || c.answerBytes+size > c.MaxTotalAnswerBytes {
		return nil
	}
	return a
}

// answerSize gives the bytes of an answer, headers included; zero for none.
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
