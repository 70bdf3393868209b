package fleet

import (
	"math/rand/v2"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Times of the core.
const (
	// TickInterval is the time between two Ticked.
	TickInterval = 200 * time.Millisecond
	// PauseThreshold is the gap between two ticks that counts as a pause.
	PauseThreshold = time.Second
	// RenewTimeout is how long a caller waits for a renewal.
	RenewTimeout = 500 * time.Millisecond
	// renewInterval is the time between two tries of a renewal.
	renewInterval = 500 * time.Millisecond
	// allPausedDelay is when the word of peers that were paused too counts.
	allPausedDelay = 3 * time.Second
	// syncInterval is the time between two rounds of probes.
	syncInterval = time.Second
	// watchWait is how long the platform may hold a call.
	watchWait = time.Second
	// maxConfirmedAge is the confirmed age at which a process reads for itself.
	maxConfirmedAge = 6 * time.Second
	// maxStandbyConfirmedAge is the same for a standby of the readers.
	maxStandbyConfirmedAge = 3500 * time.Millisecond
	// startGrace is how long a new process with peers leaves reading to them.
	startGrace = 2 * time.Second
	// refusalReportDelay keeps quiet about a table of which one of two values has
	// come and the other is on its way.
	refusalReportDelay = time.Second
)

// Core is what a process knows of the fleet, without I/O. Set the exported
// fields before the first Handle. It is for one task.
type Core struct {
	Self        VM
	Incarnation Incarnation
	Seeds       []Address
	// Parse makes a table of all values.
	Parse func([]Value) (*table.Table, error)
	// Seed is for jitter and the choice of peers.
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

	values  values
	list    VMList
	encoded []byte
	peers   peers
	sync    syncState
	config  source
	vms     source
	reader  reader
	view    *View
}

// Handle takes a message and gives what is to be done.
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
	case SyncAsked:
		c.syncAsked(m.Request)
	case SyncAnswered:
		c.syncAnswered(m)
	case VersionsSeen:
		c.versionsSeen(m)
	case SpreadAsked:
		for _, a := range c.choose(neighbourCount) {
			c.probe(a, nil)
		}
	case RenewAsked:
		if !c.paused {
			c.pause()
		}
	}
	c.updateView()
	return c.effects
}

// Refused gives the values that are known and not in force.
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
	// New processes spread their first calls over the refill of one token.
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

// updateView brings the view up to date after a message.
func (c *Core) updateView() {
	v := &View{
		Table:       c.values.table,
		VMs:         c.list,
		Ready:       c.ready(),
		ConfirmedAt: c.confirmedAt,
		Paused:      c.paused,
	}
	old := c.view
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

// ready is sticky: a process that was ready goes on with what it knows.
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

// confirm notes that the service had nothing at t that is not held here.
func (c *Core) confirm(t time.Time) {
	if t.After(c.confirmedAt) {
		c.confirmedAt = t
	}
}

// apply takes values over, from whichever source, and tells peers.
func (c *Core) apply(vs []Value) {
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
		c.values.resolve(c.now)
	}
	if len(changed) > 0 {
		c.announce(changed)
	}
}

// applyList takes a VM list over if it is newer.
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
