package fleet

import (
	"math"
	"time"

	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// probeCount is how many peers are probed in a round.
	probeCount = 2
	// announceCount is how many peers hear at once of a change.
	announceCount = 3
	// maxAnnounced bounds the values named in one rumour.
	maxAnnounced = 16
	// maxPullBytes bounds the values in one reply.
	maxPullBytes = 256 << 10
	// pullTimeout is when a pull without an answer is given up.
	pullTimeout = 2 * time.Second
	// listPullInterval is the least time between two VM lists from peers.
	listPullInterval = 2 * time.Second
	// unknownAge says that the sender has no confirmation, or was paused.
	unknownAge = math.MaxUint64
	// digestName names the entry of a vector that holds the digest of all.
	digestName = ""
)

// syncState is the state of the exchange with peers. Probes carry a digest of
// all revisions; only a pull carries the whole vector and brings values. One
// pull runs at a time, so that a rumour heard thrice costs its values once.
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

// jitter gives d, a tenth less to a tenth more.
func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*c.random.Float64()))
}

func (c *Core) choose(n int) []Address {
	return c.peers.choose(c.now, n, c.Self.Address, c.Seeds)
}

// announce tells some peers of a change at once.
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

// pull asks a peer for values, or remembers to ask it after the pull that runs.
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
		VmListVersion:  uint64(c.list.Version),
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
	return uint64(max(c.now.Sub(c.confirmedAt), 0).Milliseconds())
}

// syncAsked answers a peer, and pulls from it what it names and is not held.
func (c *Core) syncAsked(r *wire.SyncRequest) {
	reply := &wire.SyncReply{
		From:           string(c.Self.Address),
		Incarnation:    string(c.Incarnation),
		VmListVersion:  uint64(c.list.Version),
		ConfirmedAgeMs: c.confirmedAgeMs(),
		Have:           []*wire.ValueRevision{c.digestEntry()},
	}
	from := Address(r.From)
	c.peers.clearFailed(from)
	if isPull(r) {
		c.fillReply(reply, r)
		c.emit(Answer{reply})
		return
	}
	sameDigest := r.Have[0].Revision == c.values.digest
	if sameDigest {
		c.adoptAge(r.ConfirmedAgeMs)
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
	if r.VmListVersion < uint64(c.list.Version) {
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
	progress := c.applyReply(m.Reply)
	if m.Pull {
		addPeer(&c.sync.pulled, m.From)
	}
	if c.lacks(m.Reply.Have) || c.lacksList(m.Reply.VmListVersion) || m.Pull && progress && !c.hasSameDigest(m.Reply) {
		// Where a pull has just ended, the next begins with a probe.
		c.pull(m.From)
		return
	}
	if !m.Pull && !c.hasSameDigest(m.Reply) && len(m.Reply.Have) <= 1 {
		return
	}
	// Everything the peer holds is held here.
	addPeer(&c.sync.answered, m.From)
	c.adoptAge(m.Reply.ConfirmedAgeMs)
	c.endPause(m.Sent, m.Reply.ConfirmedAgeMs != unknownAge)
}

func (c *Core) applyReply(r *wire.SyncReply) (progress bool) {
	var vs []Value
	for _, v := range r.Newer {
		vs = append(vs, Value{v.Name, table.Revision(v.Revision), v.Data})
		progress = progress || !isCopy(v.Name) && table.Revision(v.Revision) > c.values.heldRevision(v.Name)
	}
	c.apply(vs)
	if len(r.VmList) == 0 {
		return progress
	}
	c.sync.listPulled = c.now
	if l, err := decodeList(r.VmList); err == nil {
		c.applyList(l, r.VmList)
	}
	return progress
}

func (c *Core) hasSameDigest(r *wire.SyncReply) bool {
	return len(r.Have) > 0 && r.Have[0].Revision == c.values.digest
}

// adoptAge takes over the confirmation of a peer that holds nothing newer.
func (c *Core) adoptAge(ms uint64) {
	if ms > uint64(math.MaxInt64/int64(time.Millisecond)) {
		return
	}
	c.confirm(c.now.Add(-time.Duration(ms) * time.Millisecond))
}

// versionsSeen pulls from a peer that showed newer versions.
func (c *Core) versionsSeen(m VersionsSeen) {
	if m.Revision > c.values.highest || c.lacksList(uint64(m.List)) {
		c.pull(m.From)
	}
}

// peersAsked says that a peer was heard or that those tried do not answer.
func (c *Core) peersAsked() bool {
	if len(c.sync.answered) > 0 || c.hasNoPeers() {
		return true
	}
	return len(c.sync.failed) >= min(announceCount, max(1, len(c.peers.ranked)))
}

// hasNoPeers says that this process knows of no other.
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
