package fleet

import (
	"math/rand/v2"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Intervals and timeouts of Core.
const (
	// TickInterval is the time between two Ticked messages.
	TickInterval = 200 * time.Millisecond
	// PauseThreshold is the gap between two ticks above which the process
	// counts as paused.
	PauseThreshold = time.Second
	// RenewTimeout is how long Renew waits for a pause to end.
	RenewTimeout = 500 * time.Millisecond
	// renewInterval is the time between two attempts to end a pause.
	renewInterval = 500 * time.Millisecond
	// allPausedDelay is how long after a pause the answers of peers that were
	// paused too begin to count.
	allPausedDelay = 3 * time.Second
	// syncInterval is the time between two rounds of probes.
	syncInterval = time.Second
	// watchWait is how long the platform may hold a call open.
	watchWait = time.Second
	// maxConfirmedAge is the age of the latest confirmation above which any
	// process reads from the platform.
	maxConfirmedAge = 6 * time.Second
	// maxStandbyConfirmedAge is the corresponding age for a standby.
	maxStandbyConfirmedAge = 3500 * time.Millisecond
	// startGrace is how long a new process with peers leaves reading from the
	// platform to them.
	startGrace = 2 * time.Second
	// refusalReportDelay is how long a value must stay refused before it is
	// reported. It avoids reports about a table that is invalid only because
	// one of two related values has not arrived yet.
	refusalReportDelay = time.Second
)

// Core is the state machine that holds what a process knows about the fleet. It
// does no I/O. Set the exported fields before the first call of Handle. It is not
// safe for concurrent use.
type Core struct {
	Self        VM
	Incarnation Incarnation
	Seeds       []Address
	// Parse builds a table from all values.
	Parse func([]Value) (*table.Table, error)
	// Seed seeds the random source for jitter and for the first calls to the
	// platform.
	Seed uint64

	random  *rand.Rand
	now     time.Time
	effects []Effect

	started     time.Time
	lastTick    time.Time
	confirmedAt time.Time
	pausedAt    time.Time
	paused      bool
	renewedAt   time.Time

	values values
	// source is who sent the last value that was newer than the one held.
	source  Source
	list    VMList
	encoded []byte
	// listNewest is the highest version of a VM list that the service or a peer sent, and
	// listEraSince when the service first sent one of its era.
	listNewest   ListVersion
	listEraSince time.Time
	// listSettled means that the list of this era is known as of rewriteDelay after listEraSince,
	// from the service or from a peer.
	listSettled bool
	peers       peers
	sync        syncState
	config      source
	vms         source
	reader      reader
	view        *View
}

// Handle processes a message and returns the effects to carry out, in order.
func (c *Core) Handle(now time.Time, m Message) []Effect {
	c.begin(now)
	c.detectPause()
	switch m := m.(type) {
	case Ticked:
		c.tick()
	case Watched:
		c.watched(m)
	case Got:
		c.got(m)
	case Listed:
		c.listed(m)
	case SyncRequested:
		c.syncRequested(m.Request)
	case SyncAnswered:
		c.syncAnswered(m)
	case VersionsSeen:
		c.versionsSeen(m)
	case ExchangeRequested:
		for _, a := range c.choose(neighbourCount) {
			c.probe(a, nil)
		}
	case RenewRequested:
		if !c.paused {
			c.pause()
		}
	}
	c.updateView()
	return c.effects
}

// Refused returns the values whose newest revision is not in force, sorted by
// name.
func (c *Core) Refused() []Refusal { return c.values.refusals() }

func (c *Core) begin(now time.Time) {
	c.effects = nil
	c.now = now
	if c.random != nil {
		return
	}
	c.random = rand.New(rand.NewPCG(c.Seed, uint64(len(c.Self.Address))))
	c.started, c.lastTick = now, now
	c.values.parse = c.Parse
	c.sync.nextRound = now
	c.config.name, c.config.downEvent, c.config.backEvent = "configuration service", event.ConfigDown, event.ConfigBack
	c.vms.name, c.vms.downEvent, c.vms.backEvent = "VM list", event.VMListDown, event.VMListBack
	// A random initial fill spreads the first calls of processes that start
	// together over the time in which one token is refilled.
	c.reader.tokens = c.random.Float64()
	c.reader.filledAt = now
	c.reader.position = -1
	c.view = &View{}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) tick() {
	c.lastTick = c.now
	if c.paused {
		c.renew()
	}
	c.probeRound()
	c.read()
	c.reportRefusals()
}

// updateView updates the view after a message, and emits ViewChanged if the view
// differs.
func (c *Core) updateView() {
	v := &View{
		Table:          c.values.table,
		TableSource:    c.view.TableSource,
		TableAppliedAt: c.view.TableAppliedAt,
		VMs:            c.list,
		Ready:          c.ready(),
		ConfirmedAt:    c.confirmedAt,
		Paused:         c.paused,
	}
	old := c.view
	if v.Table != old.Table {
		v.TableSource, v.TableAppliedAt = c.source, c.now
	}
	changed := v.Table != old.Table || v.VMs.Version != old.VMs.Version ||
		v.Ready != old.Ready || v.Paused != old.Paused
	if !changed && v.ConfirmedAt.Equal(old.ConfirmedAt) {
		return
	}
	c.view = v
	if v.Table != old.Table {
		c.emit(Report{Event: event.TableApplied, Revision: uint64(v.Table.Revision)})
	}
	if v.VMs.Version != old.VMs.Version {
		c.emit(Report{Event: event.VMListApplied, Revision: uint64(v.VMs.Version)})
	}
	c.emit(ViewChanged{View: v, ConfirmedOnly: !changed})
}

// ready reports whether the process is ready. A process that was ready once stays
// ready and continues with the state it has.
func (c *Core) ready() bool {
	if c.view.Ready {
		return true
	}
	if c.values.table == nil || c.list.Version == 0 || c.confirmedAt.IsZero() {
		return false
	}
	if c.values.incomplete() && len(c.sync.pulled) == 0 && len(c.sync.answered) > 0 {
		return false
	}
	fresh := c.now.Sub(c.confirmedAt) <= maxConfirmedAge
	return c.peersAsked() && (fresh || c.config.attempted)
}

// confirm records that at time t the service had no values that are not held
// here.
func (c *Core) confirm(t time.Time) {
	if t.After(c.confirmedAt) {
		c.confirmedAt = t
	}
}

// confirmEra records that at time t the service, in era e, had no values that are not held here.
func (c *Core) confirmEra(t time.Time, e table.Era) {
	c.values.confirm(t, e)
	c.releaseHeldBack()
}

// releaseHeldBack puts the values in force that no longer need to be held back, and tells peers
// of the confirmation, so that they needn't wait for the next probes.
func (c *Core) releaseHeldBack() {
	if c.values.releaseHeldBack(c.now) {
		c.announce(nil)
	}
}

// apply adds the values that are newer, from the platform or a peer, and
// announces them to peers.
func (c *Core) apply(vs []Value, from Source) {
	var changed []ValueRevision
	applied := false
	for _, v := range vs {
		if !c.values.addIfNewer(v) {
			continue
		}
		applied = true
		if !isCopy(v.Name) {
			changed = append(changed, ValueRevision{v.Name, v.Revision})
		}
	}
	if applied {
		c.source = from
		c.values.resolve(c.now)
	}
	if len(changed) > 0 {
		c.announce(changed)
	}
}

// listFromService applies a VM list that the service sent in answer to a call sent at the given time.
// An empty list means that there is none newer than the one held. Until the service has answered a call
// that was sent rewriteDelay after it was restored, the list may lack what is written again, so it doesn't
// replace another.
func (c *Core) listFromService(l VMList, sent time.Time) {
	v := l.Version
	if v == 0 {
		v = c.list.Version
	}
	if v.era() > c.listNewest.era() {
		c.listEraSince, c.listSettled = c.now, false
	}
	c.listNewest = max(c.listNewest, v)
	if v == c.listNewest && !sent.Before(c.listRewriteEnd()) {
		c.listSettled = true
	}
	if c.list.Version > 0 && v.era() > c.list.Version.era() && c.listMayLack() {
		return
	}
	c.applyList(l, nil)
}

// listFromPeer applies a VM list from a peer, which sends none that may lack something.
func (c *Core) listFromPeer(l VMList, encoded []byte) {
	if l.Version.era() >= c.listNewest.era() {
		c.listNewest, c.listSettled = max(c.listNewest, l.Version), true
	}
	c.applyList(l, encoded)
}

// peerHasList records the version of a peer's list. A peer names none that may lack something, so
// neither does one held here that is of the same era and not older.
func (c *Core) peerHasList(v ListVersion) {
	if v.era() == c.listNewest.era() && v <= c.list.Version {
		c.listSettled = true
	}
}

// listMayLack reports whether a list of the latest era from the service may lack what is written
// again.
func (c *Core) listMayLack() bool { return c.listNewest.era() > 0 && !c.listSettled }

// listRewriteEnd returns the time at which everything that the latest copy of the list lacked is written
// again.
func (c *Core) listRewriteEnd() time.Time { return c.listEraSince.Add(rewriteDelay) }

// listVersion returns the version of the list that peers may have, or 0.
func (c *Core) listVersion() ListVersion {
	if c.list.Version.era() == c.listNewest.era() && c.listMayLack() {
		return 0
	}
	return c.list.Version
}

// applyList replaces the VM list if l is newer, and announces it to peers.
func (c *Core) applyList(l VMList, encoded []byte) {
	if l.Version <= c.list.Version {
		return
	}
	c.list, c.encoded = l, encoded
	c.peers.rank(c.Self, l)
	c.reader.rank(c.Self, l)
	c.announce(nil)
}

func (c *Core) reportRefusals() {
	for _, r := range c.values.takeUnreported(c.now, !c.confirmedAt.IsZero()) {
		c.emit(Report{Event: event.TableRefused, Subject: r.Name, Revision: uint64(r.Revision), Err: r.Err})
	}
}
