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
	// maxRate is the same for other processes of a small fleet.
	maxRate = 10
	// sharedRateBudget is the calls a second that processes which do not read by
	// rank divide among them, as long as that gives each leastRate.
	sharedRateBudget = 700
	minRate          = 1
	// Backoff after a failed call.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
	// downThreshold is how many failures in a row are reported.
	downThreshold = 3
)

// source is the state of calls on one of the platform's services.
type source struct {
	name                 string
	downEvent, backEvent event.Number
	calling              bool
	// attempted is set once a call has ended, one way or other.
	attempted bool
	sent      time.Time
	failures  int
	retryAt   time.Time
	reported  bool
}

// reader decides when this process calls the platform.
type reader struct {
	tokens   float64
	filledAt time.Time
	size     int
	// position is the rank in the own data centre, from 0; -1 for none.
	position int
	// cursor is the revision up to which every value is held.
	cursor   table.Revision
	target   table.Revision
	pending  map[string]table.Revision
	fetching string
	// highestAtWatch is the highest revision that was held when the watch was sent.
	highestAtWatch table.Revision
	// watchSent is when the watch was sent that named what is pending.
	watchSent time.Time
	// listFirst lets the two services take turns for a scarce token.
	listFirst bool
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
	r.position = slices.Index(names, self.Name)
}

func (r *reader) isReader() bool { return r.position >= 0 && r.position < readerCount }

func (r *reader) isStandby() bool {
	return r.position >= readerCount && r.position < readerCount+standbyCount
}

// rate is the calls a second, and the burst.
func (r *reader) rate() float64 {
	if r.size == 0 {
		return minRate
	}
	shared := min(maxRate, sharedRateBudget/float64(r.size))
	if r.isReader() || r.isStandby() {
		return max(readerRate, shared)
	}
	return max(minRate, shared)
}

// takeToken takes a token for a call.
func (r *reader) takeToken(now time.Time) bool {
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
	if !c.shouldRead() {
		return
	}
	c.reader.listFirst = !c.reader.listFirst
	if c.reader.listFirst {
		c.readList()
		c.readConfig()
		return
	}
	c.readConfig()
	c.readList()
}

// shouldRead says that this process reads: as one of the readers, or because
// what it hears from peers is old, there are none, or it was paused.
func (c *Core) shouldRead() bool {
	if c.reader.isReader() || c.paused || c.hasNoPeers() {
		return true
	}
	if c.confirmedAt.IsZero() || c.list.Version == 0 {
		return c.now.Sub(c.started) >= startGrace
	}
	age := c.now.Sub(c.confirmedAt)
	return age > maxConfirmedAge || c.reader.isStandby() && age > maxStandbyConfirmedAge
}

func (c *Core) readConfig() {
	s := &c.config
	if s.calling || c.reader.fetching != "" || c.now.Before(s.retryAt) {
		return
	}
	name := c.nextPending()
	if name == "" && c.reader.target > 0 {
		c.completeWatch()
	}
	if !c.reader.takeToken(c.now) {
		return
	}
	if name != "" {
		c.reader.fetching = name
		c.emit(CallGet{name})
		return
	}
	s.calling, s.sent = true, c.now
	c.reader.highestAtWatch = c.values.highest
	c.emit(CallWatch{Sent: c.now, After: c.reader.cursor, Wait: c.wait()})
}

func (c *Core) readList() {
	s := &c.vms
	if s.calling || c.now.Before(s.retryAt) || !c.reader.takeToken(c.now) {
		return
	}
	s.calling, s.sent = true, c.now
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

// completeWatch notes that everything a watch named is held.
func (c *Core) completeWatch() {
	c.reader.cursor = max(c.reader.cursor, c.reader.target)
	c.reader.target = 0
	c.confirm(c.reader.watchSent)
	c.endPause(c.reader.watchSent, true)
}

func (c *Core) watched(m Watched) {
	if !m.Sent.Equal(c.config.sent) || !c.config.calling {
		return
	}
	c.config.calling = false
	c.config.attempted = true
	if c.recordOutcome(&c.config, m.Err) {
		return
	}
	if m.Revision < c.reader.highestAtWatch {
		c.retryStale("watch", m.Revision)
		return
	}
	c.reader.pending = make(map[string]table.Revision)
	for _, v := range m.Changed {
		c.reader.pending[v.Name] = v.Revision
	}
	// The answer may have been long under way: it is true of when it was asked.
	c.reader.target, c.reader.watchSent = m.Revision, m.Sent
	if c.nextPending() == "" {
		c.completeWatch()
	}
	c.read()
}

func (c *Core) got(m Got) {
	if m.Name != c.reader.fetching {
		return
	}
	c.reader.fetching = ""
	if result.CodeOf(m.Err) == result.NotFound {
		delete(c.reader.pending, m.Name)
		c.read()
		return
	}
	if c.recordOutcome(&c.config, m.Err) {
		return
	}
	if m.Value.Revision < c.reader.pending[m.Name] || m.Value.Revision < c.values.newest[m.Name].Revision {
		c.retryStale(m.Name, m.Value.Revision)
		return
	}
	c.apply([]Value{m.Value})
	c.read()
}

func (c *Core) listed(m Listed) {
	if !m.Sent.Equal(c.vms.sent) || !c.vms.calling {
		return
	}
	c.vms.calling = false
	if c.recordOutcome(&c.vms, m.Err) {
		return
	}
	c.applyList(m.List, nil)
	// The list may be a lagging copy. That is no fault and is not reported.
	c.vms.retryAt = c.now.Add(c.jitter(minBackoff))
}

// retryStale reports an old copy and asks again later.
func (c *Core) retryStale(subject string, r table.Revision) {
	c.emit(Report{Event: event.StaleCopy, Subject: subject, Revision: uint64(r)})
	c.config.retryAt = c.now.Add(c.jitter(2 * minBackoff))
}

// recordOutcome takes note of how a call ended and says whether it recordOutcome.
func (c *Core) recordOutcome(s *source, err error) bool {
	if err == nil {
		if s.reported {
			c.emit(Report{Event: s.backEvent, Subject: s.name})
		}
		s.failures, s.reported = 0, false
		return false
	}
	s.failures++
	backoff := min(maxBackoff, minBackoff<<min(s.failures-1, 10))
	s.retryAt = c.now.Add(c.jitter(backoff))
	if s.failures >= downThreshold && !s.reported && !overCallBudget(err) {
		s.reported = true
		c.emit(Report{Event: s.downEvent, Subject: s.name, Err: err})
	}
	return true
}

func overCallBudget(err error) bool {
	var e *result.Error
	return errors.As(err, &e) && e.Code == result.CallBudget
}
