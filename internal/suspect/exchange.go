package suspect

import (
	"cmp"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
)

const (
	// pushTime is how long a change is sent to every peer that is met, which is enough for
	// it to reach all of them.
	pushTime = 60 * time.Millisecond
	// repairTime is how long a peer must have known something else before it is sent all
	// that it has not acknowledged.
	repairTime = time.Second
	// repairInterval is the minimum time between two such messages.
	repairInterval = 500 * time.Millisecond
	// markInterval is the minimum time between two marks.
	markInterval = 10 * time.Millisecond
)

// changeMark is the number of the latest change at a time.
type changeMark struct {
	at     time.Time
	change uint64
}

// markChanges notes how many changes there were before now.
func (c *Core) markChanges(now time.Time) {
	if n := len(c.recent); n > 0 && now.Sub(c.recent[n-1].at) < markInterval {
		return
	}
	for len(c.recent) > 1 && now.Sub(c.recent[1].at) >= pushTime {
		c.recent = c.recent[1:]
	}
	c.recent = append(c.recent, changeMark{now, c.changes.last})
}

// changeBefore returns the number of the latest change that is older than pushTime, as far
// as the marks tell.
func (c *Core) changeBefore(now time.Time) uint64 {
	var change uint64
	for _, m := range c.recent {
		if now.Sub(m.at) >= pushTime {
			change = m.change
		}
	}
	return change
}

// Peer is what a process knows of another one with which it exchanges suspicions.
type Peer struct {
	// Acknowledged is the number of the latest change that the peer has.
	Acknowledged uint64
	// Met reports that the peer has sent messages before the latest one, since it started
	// or was last silent.
	Met bool
	// Digest is that of the peer, if DigestKnown. DiffersSince is since when the digests
	// have differed; zero if they did not.
	Digest       uint64
	DigestKnown  bool
	DiffersSince time.Time
}

// Batch holds the suspicions to send to a peer: those that changed after Since, up to and
// including Change.
type Batch struct {
	Suspicions    []*wire.Suspicion
	Since, Change uint64
}

// Digest returns a hash of all that is suspected. Processes that know the same have the
// same.
func (c *Core) Digest() uint64 { return c.recordDigest ^ c.Crashes.digest }

// BatchFor returns what to send to a peer: what has just changed, or all that it has not
// acknowledged if it has just started or has known something else for some time.
func (c *Core) BatchFor(now time.Time, p Peer) Batch {
	last := c.changes.last
	if p.DigestKnown && p.Digest == c.Digest() {
		return Batch{Change: last}
	}
	since := p.Acknowledged
	switch {
	case p.DigestKnown && !p.Met:
	case p.differsFor(now) >= repairTime && now.Sub(c.lastRepair) >= repairInterval:
		c.lastRepair = now
	default:
		since = max(since, c.changeBefore(now))
	}
	return c.cutBatch(Batch{Suspicions: c.ChangesSince(now, since), Since: since, Change: last})
}

// differsFor returns for how long the peer has known something else.
func (p Peer) differsFor(now time.Time) time.Duration {
	if !p.DigestKnown || p.DiffersSince.IsZero() {
		return 0
	}
	return now.Sub(p.DiffersSince)
}

// maxBatch is the maximum number of suspicions in a message.
const maxBatch = 512

// cutBatch leaves out the latest changes of a batch that is too large.
func (c *Core) cutBatch(b Batch) Batch {
	if len(b.Suspicions) <= maxBatch {
		return b
	}
	slices.SortStableFunc(b.Suspicions, func(x, y *wire.Suspicion) int {
		return cmp.Compare(c.lastChangeOf(x), c.lastChangeOf(y))
	})
	b.Suspicions = b.Suspicions[:maxBatch]
	b.Change = c.lastChangeOf(b.Suspicions[maxBatch-1])
	return b
}

// lastChangeOf returns the number of the latest change of what a suspicion is about.
func (c *Core) lastChangeOf(s *wire.Suspicion) uint64 {
	if s.Crash != nil {
		return c.Crashes.crashes[fleet.Incarnation(s.Crash.Incarnation)].latest
	}
	return c.changeOf[recordKey{Fingerprint(s.Fingerprint), fleet.Incarnation(s.DeathsOf[0])}]
}

func (p Peer) needsAll(now time.Time) bool {
	return p.DigestKnown && (!p.Met || !p.DiffersSince.IsZero() && now.Sub(p.DiffersSince) >= repairTime)
}
