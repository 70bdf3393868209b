package fleet

import (
	"errors"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Calls on the platform, each process for itself and all together.
const (
	// readerCount is how many processes of a data centre read the platform.
	readerCount = 2
	// standbyCount is how many more read when confirmations are late.
	standbyCount = 4
	// readerRate is the calls a second of a reader or standby, and the burst.
	readerRate = 5
	// mostRate is the same for other processes of a small fleet.
	mostRate = 10
	// sharedRate is the calls a second that processes which do not read by
	// rank divide among them, as long as that gives each leastRate.
	sharedRate = 700
	leastRate  = 1
	// Backoff after a failed call.
	leastBackoff = 500 * time.Millisecond
	mostBackoff  = 8 * time.Second
	// downAfter is how many failures in a row are reported.
	downAfter = 3
)

// source is the state of calls on one of the platform's services.
type source struct {
	name       string
	down, back event.Number
	busy       bool
	// asked is set once a call has ended, one way or other.
	asked    bool
	sent     time.Time
	failures int
	retryAt  time.Time
	reported bool
}

// reader decides when this process calls the platform.
type reader struct {
	tokens   float64
	filledAt time.Time
	size     int
	// place is the rank in the own data centre, from 0; -1 for none.
	place int
	// cursor is the revision up to which every value is held.
	cursor  table.Revision
	target  table.Revision
	pending map[string]table.Revision
	getting string
	// known is the highest revision that was held when the watch was sent.
	known table.Revision
	// asked is when the watch was sent that named what is pending.
	asked time.Time
	// listTurn lets the two services take turns for a scarce token.
	listTurn bool
}

// rank finds the place among those of the data centre that may read.
func (r *reader) rank(self VM, l VMList) {
	r.size = len(l.VMs)
	var names []VMName
	for _, v := range l.VMs {
		if v.DataCentre == self.DataCentre && v.State == Live {
			names = append(names, v.Name)
		}
	}
	slices.SortFunc(names, func(a, b VMName) int {
		if hashPair("reader", string(a)) < hashPair("reader", string(b)) {
			return -1
		}
		return 1
	})
	r.place = slices.Index(names, self.Name)
}

func (r *reader) isReader() bool { return r.place >= 0 && r.place < readerCount }

func (r *reader) isStandby() bool {
	return r.place >= readerCount && r.place < readerCount+standbyCount
}

// rate is the calls a second, and the burst.
func (r *reader) rate() float64 {
	if r.size == 0 {
		return leastRate
	}
	shared := min(mostRate, sharedRate/float64(r.size))
	if r.isReader() || r.isStandby() {
		return max(readerRate, shared)
	}
	return max(leastRate, shared)
}

// take takes a token for a call.
func (r *reader) take(now time.Time) bool {
	rate := r.rate()
	r.tokens = min(rate, r.tokens+rate*now.Sub(r.filledAt).Seconds())
	r.filledAt = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// read calls the platform if it is this process's turn.
func (c *Core) read() {
	if !c.mustRead() {
		return
	}
	c.reader.listTurn = !c.reader.listTurn
	if c.reader.listTurn {
		c.readList()
		c.readConfig()
		return
	}
	c.readConfig()
	c.readList()
}

// mustRead says that this process reads: as one of the readers, or because
// what it hears from peers is old, there are none, or it was paused.
func (c *Core) mustRead() bool {
	if c.reader.isReader() || c.paused || c.lone() {
		return true
	}
	if c.confirmedAt.IsZero() || c.list.Version == 0 {
		return c.now.Sub(c.started) >= startGrace
	}
	age := c.now.Sub(c.confirmedAt)
	return age > ageBound || c.reader.isStandby() && age > standbyBound
}

func (c *Core) readConfig() {
	s := &c.config
	if s.busy || c.reader.getting != "" || c.now.Before(s.retryAt) {
		return
	}
	name := c.nextPending()
	if name == "" && c.reader.target > 0 {
		c.complete()
	}
	if !c.reader.take(c.now) {
		return
	}
	if name != "" {
		c.reader.getting = name
		c.emit(CallGet{name})
		return
	}
	s.busy, s.sent = true, c.now
	c.reader.known = c.values.highest
	c.emit(CallWatch{Sent: c.now, After: c.reader.cursor, Wait: c.wait()})
}

func (c *Core) readList() {
	s := &c.vms
	if s.busy || c.now.Before(s.retryAt) || !c.reader.take(c.now) {
		return
	}
	s.busy, s.sent = true, c.now
	c.emit(CallList{Sent: c.now, After: c.list.Version, Wait: c.wait()})
}

// wait is how long the platform may hold a call; after a pause not at all.
func (c *Core) wait() time.Duration {
	if c.paused {
		return 0
	}
	return watchWait
}

// nextPending gives a value that is to be read, each reader in another order,
// and forgets those that peers have brought meanwhile.
func (c *Core) nextPending() string {
	best, bestHash := "", uint64(0)
	for name, revision := range c.reader.pending {
		if c.values.newest[name].Revision >= revision {
			delete(c.reader.pending, name)
			continue
		}
		h := hashPair(string(c.Self.Address), name)
		if best == "" || h < bestHash {
			best, bestHash = name, h
		}
	}
	return best
}

// complete notes that everything a watch named is held.
func (c *Core) complete() {
	c.reader.cursor = max(c.reader.cursor, c.reader.target)
	c.reader.target = 0
	c.confirm(c.reader.asked)
	c.heard(c.reader.asked, true)
}

func (c *Core) watched(m Watched) {
	if !m.Sent.Equal(c.config.sent) || !c.config.busy {
		return
	}
	c.config.busy = false
	c.config.asked = true
	if c.failed(&c.config, m.Err) {
		return
	}
	if m.Revision < c.reader.known {
		c.stale("watch", m.Revision)
		return
	}
	c.reader.pending = make(map[string]table.Revision)
	for _, v := range m.Changed {
		c.reader.pending[v.Name] = v.Revision
	}
	// The answer may have been long under way: it is true of when it was asked.
	c.reader.target, c.reader.asked = m.Revision, m.Sent
	if c.nextPending() == "" {
		c.complete()
	}
	c.read()
}

func (c *Core) got(m Got) {
	if m.Name != c.reader.getting {
		return
	}
	c.reader.getting = ""
	if result.CodeOf(m.Err) == result.NotFound {
		delete(c.reader.pending, m.Name)
		c.read()
		return
	}
	if c.failed(&c.config, m.Err) {
		return
	}
	if m.Value.Revision < c.reader.pending[m.Name] || m.Value.Revision < c.values.newest[m.Name].Revision {
		c.stale(m.Name, m.Value.Revision)
		return
	}
	c.apply([]Value{m.Value})
	c.read()
}

func (c *Core) listed(m Listed) {
	if !m.Sent.Equal(c.vms.sent) || !c.vms.busy {
		return
	}
	c.vms.busy = false
	if c.failed(&c.vms, m.Err) {
		return
	}
	c.applyList(m.List, nil)
	// The list may be a lagging copy. That is no fault and is not reported.
	c.vms.retryAt = c.now.Add(c.jitter(leastBackoff))
}

// stale reports an old copy and asks again later.
func (c *Core) stale(subject string, r table.Revision) {
	c.emit(Report{Event: event.StaleCopy, Subject: subject, Revision: uint64(r)})
	c.config.retryAt = c.now.Add(c.jitter(2 * leastBackoff))
}

// failed takes note of how a call ended and says whether it failed.
func (c *Core) failed(s *source, err error) bool {
	if err == nil {
		if s.reported {
			c.emit(Report{Event: s.back, Subject: s.name})
		}
		s.failures, s.reported = 0, false
		return false
	}
	s.failures++
	backoff := min(mostBackoff, leastBackoff<<min(s.failures-1, 10))
	s.retryAt = c.now.Add(c.jitter(backoff))
	if s.failures >= downAfter && !s.reported && !limited(err) {
		s.reported = true
		c.emit(Report{Event: s.down, Subject: s.name, Err: err})
	}
	return true
}

func limited(err error) bool {
	var e *result.Error
	return errors.As(err, &e) && e.Code == result.CallBudget
}
