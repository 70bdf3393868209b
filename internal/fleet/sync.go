package fleet

import (
	"math"
	"time"

	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// probeCount is the number of peers probed per round.
	probeCount = 2
	// announceCount is the number of peers to which a change is announced
	// immediately.
	announceCount = 3
	// maxAnnounced is the maximum number of values named in one announcement.
	maxAnnounced = 16
	// maxPullBytes is the maximum total size of the values in one reply.
	maxPullBytes = 256 << 10
	// pullTimeout is how long a pull may go unanswered before it is abandoned.
	pullTimeout = 2 * time.Second
	// listPullInterval is the minimum time between two VM lists from peers.
	listPullInterval = 2 * time.Second
	// unknownAge means that the sender has no confirmation or is paused.
	unknownAge = math.MaxUint64
	// digestName is the name of the entry in a version vector that holds the
	// digest of all revisions.
	digestName = ""
)

// syncState is the state of the exchange with peers. Probes carry a digest of
// all revisions; only a pull carries the whole version vector and transfers
// values. One pull runs at a time, so that values announced by several peers are
// transferred once.
type syncState struct {
	nextRound  time.Time
	pulling    Address
	pullSent   time.Time
	nextPull   Address
	listPulled time.Time
	answered   map[Address]bool
	failed     map[Address]bool
	// pulled holds the peers that answered a pull.
	pulled map[Address]bool
}

func (c *Core) probeRound() {
	if c.sync.pulling != "" && c.now.Sub(c.sync.pullSent) > pullTimeout {
		c.endPull()
	}
	if c.now.Before(c.sync.nextRound) {
		return
	}
	c.sync.nextRound = c.now.Add(c.jitter(syncInterval))
	for _, a := range c.choose(probeCount) {
		if c.values.table == nil || c.values.incomplete() {
			c.pull(a)
		}
		c.probe(a, nil)
	}
}

// jitter returns d varied at random by up to 10% in either direction.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*c.random.Float64()))
}

func (c *Core) choose(n int) []Address {
	return c.peers.choose(c.now, n, c.Self.Address, c.Seeds)
}

// announce probes some peers immediately with the values that changed.
func (c *Core) announce(changed []ValueRevision) {
	if len(changed) > maxAnnounced {
		changed = changed[:maxAnnounced]
	}
	for _, a := range c.choose(announceCount) {
		c.probe(a, changed)
	}
}

func (c *Core) probe(to Address, changed []ValueRevision) {
	r := c.request()
	r.Have = append(r.Have, c.digestEntry())
	for _, v := range changed {
		r.Have = append(r.Have, &wire.ValueRevision{Name: v.Name, Revision: uint64(v.Revision)})
	}
	c.emit(CallSync{Sent: c.now, To: to, Request: r})
}

// pull requests values from a peer. If another pull is in progress, the peer is
// probed after that pull has ended.
func (c *Core) pull(from Address) {
	if from == "" || from == c.Self.Address {
		return
	}
	if c.sync.pulling != "" {
		c.sync.nextPull = from
		return
	}
	c.sync.pulling, c.sync.pullSent = from, c.now
	r := c.request()
	if c.now.Sub(c.sync.listPulled) < listPullInterval && c.list.Version > 0 {
		r.VmListVersion = math.MaxUint64
	}
	r.Have = c.wireVector()
	c.emit(CallSync{Sent: c.now, To: from, Pull: true, Request: r})
}

func (c *Core) endPull() {
	next := c.sync.nextPull
	c.sync.pulling, c.sync.nextPull = "", ""
	if next != "" {
		c.probe(next, nil)
	}
}

func (c *Core) request() *wire.SyncRequest {
	return &wire.SyncRequest{
		From:           string(c.Self.Address),
		Incarnation:    string(c.Incarnation),
		VmListVersion:  uint64(c.listVersion()),
		ConfirmedAgeMs: c.confirmedAgeMs(),
	}
}

func (c *Core) digestEntry() *wire.ValueRevision {
	return &wire.ValueRevision{Name: digestName, Revision: c.values.digest}
}

func (c *Core) wireVector() []*wire.ValueRevision {
	var vs []*wire.ValueRevision
	for _, v := range c.values.vector() {
		vs = append(vs, &wire.ValueRevision{Name: v.Name, Revision: uint64(v.Revision)})
	}
	return vs
}

func (c *Core) confirmedAgeMs() uint64 {
	if c.paused || c.confirmedAt.IsZero() {
		return unknownAge
	}
	return c.ageMs(c.confirmedAt)
}

func (c *Core) ageMs(t time.Time) uint64 {
	return uint64(max(c.now.Sub(t), 0).Milliseconds())
}

// syncRequested replies to a peer, and pulls from it if the request names values
// or a VM list that this process lacks.
func (c *Core) syncRequested(r *wire.SyncRequest) {
	reply := &wire.SyncReply{
		From:           string(c.Self.Address),
		Incarnation:    string(c.Incarnation),
		VmListVersion:  uint64(c.listVersion()),
		ConfirmedAgeMs: c.confirmedAgeMs(),
		Have:           []*wire.ValueRevision{c.digestEntry()},
	}
	if era := c.values.era; era > 0 {
		reply.Era, reply.EraAgeMs = uint64(era), c.ageMs(c.values.eraSince)
	}
	from := Address(r.From)
	c.peers.clearFailed(from)
	c.peerHasList(ListVersion(r.VmListVersion))
	if isPull(r) {
		c.fillReply(reply, r)
		c.emit(Answer{reply})
		return
	}
	sameDigest := r.Have[0].Revision == c.values.digest
	if sameDigest {
		c.adoptAge(r.ConfirmedAgeMs)
		c.askAboutHeldBack(from, r.ConfirmedAgeMs)
	}
	if !sameDigest && len(r.Have) == 1 {
		reply.Have = append(reply.Have, c.wireVector()...)
	}
	c.emit(Answer{reply})
	if c.lacks(r.Have[1:]) || c.lacksList(r.VmListVersion) {
		c.pull(from)
	}
}

func isPull(r *wire.SyncRequest) bool {
	return len(r.Have) == 0 || r.Have[0].Name != digestName
}

func (c *Core) fillReply(reply *wire.SyncReply, r *wire.SyncRequest) {
	have := make(map[string]table.Revision, len(r.Have))
	for _, v := range r.Have {
		have[v.Name] = table.Revision(v.Revision)
	}
	for _, v := range c.values.newer(have, maxPullBytes) {
		reply.Newer = append(reply.Newer, &wire.Value{Name: v.Name, Revision: uint64(v.Revision), Data: v.Data})
	}
	if r.VmListVersion < uint64(c.listVersion()) {
		reply.VmList = c.encodedList()
	}
}

func (c *Core) lacks(vs []*wire.ValueRevision) bool {
	for _, v := range vs {
		if v.Name != digestName && table.Revision(v.Revision) > c.values.heldRevision(v.Name) {
			return true
		}
	}
	return false
}

func (c *Core) lacksList(version uint64) bool {
	return version != math.MaxUint64 && version > uint64(c.list.Version) &&
		(c.list.Version == 0 || c.now.Sub(c.sync.listPulled) >= listPullInterval)
}

func (c *Core) syncAnswered(m SyncAnswered) {
	if m.Pull && m.From == c.sync.pulling && m.Sent.Equal(c.sync.pullSent) {
		defer c.endPull()
	}
	if overCallBudget(m.Err) {
		return
	}
	if m.Err != nil {
		c.peers.markFailed(c.now, m.From)
		addPeer(&c.sync.failed, m.From)
		return
	}
	c.peers.clearFailed(m.From)
	c.peerHasList(ListVersion(m.Reply.VmListVersion))
	progress := c.applyReply(m)
	if m.Pull {
		addPeer(&c.sync.pulled, m.From)
	}
	if c.lacks(m.Reply.Have) || c.lacksList(m.Reply.VmListVersion) || m.Pull && progress && !c.hasSameDigest(m.Reply) {
		// After a pull that has just ended, the deferred endPull sends a probe
		// instead of another pull.
		c.pull(m.From)
		return
	}
	if !m.Pull && !c.hasSameDigest(m.Reply) && len(m.Reply.Have) <= 1 {
		return
	}
	// This process holds everything that the peer holds.
	addPeer(&c.sync.answered, m.From)
	era := table.Era(m.Reply.Era)
	if c.hasSameDigest(m.Reply) {
		era = max(era, c.values.highest.Era())
	}
	c.adoptAge(m.Reply.ConfirmedAgeMs)
	if t, ok := timeBefore(m.Sent, m.Reply.ConfirmedAgeMs); ok {
		c.confirmEra(t, era)
	}
	c.tryEndPause(m.Sent, m.Reply.ConfirmedAgeMs != unknownAge)
}

func (c *Core) applyReply(m SyncAnswered) (progress bool) {
	r := m.Reply
	if at, ok := c.timeOf(r.EraAgeMs); ok {
		c.values.observeEra(table.Era(r.Era), at)
		c.releaseHeldBack()
	}
	asOf, confirmed := timeBefore(m.Sent, r.ConfirmedAgeMs)
	settled := confirmed && table.Era(r.Era) == c.values.era && !asOf.Before(c.values.rewriteEnd())
	var vs []Value
	for _, v := range r.Newer {
		vs = append(vs, Value{v.Name, table.Revision(v.Revision), v.Data})
		if settled && !isCopy(v.Name) {
			c.values.addRewritten(vs[len(vs)-1])
		}
		progress = progress || !isCopy(v.Name) && table.Revision(v.Revision) > c.values.heldRevision(v.Name)
	}
	c.apply(vs, Source(m.From))
	if len(r.VmList) == 0 {
		return progress
	}
	c.sync.listPulled = c.now
	if l, err := decodeList(r.VmList); err == nil {
		c.listFromPeer(l, r.VmList)
	}
	return progress
}

func (c *Core) hasSameDigest(r *wire.SyncReply) bool {
	return len(r.Have) > 0 && r.Have[0].Revision == c.values.digest
}

// askAboutHeldBack probes a peer whose request tells that the service is known as of the end of
// rewriteDelay, while values are held back. The request itself may be late, so its age tells nothing
// certain; that of the reply counts from when the probe was sent.
func (c *Core) askAboutHeldBack(from Address, ms uint64) {
	if !c.values.heldBack || from == "" || from == c.Self.Address {
		return
	}
	if t, ok := c.timeOf(ms); ok && !t.Before(c.values.rewriteEnd()) {
		c.probe(from, nil)
	}
}

// adoptAge adopts the confirmation of a peer that holds nothing newer. ms is its
// age in milliseconds.
func (c *Core) adoptAge(ms uint64) {
	if t, ok := c.timeOf(ms); ok {
		c.confirm(t)
	}
}

// timeOf returns the time that was ms milliseconds ago, and false if ms is too large
// for a time.
func (c *Core) timeOf(ms uint64) (time.Time, bool) { return timeBefore(c.now, ms) }

// timeBefore returns the time ms milliseconds before t, and false if ms is too large for a time.
func timeBefore(t time.Time, ms uint64) (time.Time, bool) {
	if ms > uint64(math.MaxInt64/int64(time.Millisecond)) {
		return time.Time{}, false
	}
	return t.Add(-time.Duration(ms) * time.Millisecond), true
}

// versionsSeen pulls from a peer whose message contained newer versions.
func (c *Core) versionsSeen(m VersionsSeen) {
	if m.Revision > c.values.highest || c.lacksList(uint64(m.List)) {
		c.pull(m.From)
	}
}

// peersAsked reports whether a peer has answered, there are no peers, or enough
// attempts to reach peers have failed.
func (c *Core) peersAsked() bool {
	if len(c.sync.answered) > 0 || c.hasNoPeers() {
		return true
	}
	return len(c.sync.failed) >= min(announceCount, max(1, len(c.peers.ranked)))
}

// hasNoPeers reports whether this process knows of no other process.
func (c *Core) hasNoPeers() bool {
	for _, a := range c.Seeds {
		if a != c.Self.Address {
			return false
		}
	}
	return len(c.peers.ranked) == 0
}

func addPeer(m *map[Address]bool, a Address) {
	if *m == nil {
		*m = make(map[Address]bool)
	}
	if len(*m) < rankedCount {
		(*m)[a] = true
	}
}
