package fleet

import (
	"errors"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Limits on calls to the platform, per process and for the whole fleet.
const (
	// readerCount is the number of processes per data centre that read from the
	// platform.
	readerCount = 2
	// standbyCount is the number of additional processes per data centre that
	// read when confirmations are late.
	standbyCount = 4
	// readerRate is the minimum rate of a reader or standby, in calls per
	// second. Each rate is also the burst size.
	readerRate = 5
	// maxRate is the maximum rate of any process, in calls per second. Only the
	// processes of a small fleet reach it.
	maxRate = 10
	// sharedRateBudget is the rate that processes which are neither reader nor
	// standby divide among them, in calls per second. Each of them gets at
	// least minRate.
	sharedRateBudget = 700
	minRate          = 1
	// minBackoff and maxBackoff bound the exponential backoff after failed
	// calls.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
	// downThreshold is the number of consecutive failures after which a source
	// is reported as down.
	downThreshold = 3
)

// source is the state of the calls to one of the platform's services.
type source struct {
	name                 string
	downEvent, backEvent event.Number
	calling              bool
	// attempted is set once a watch call has ended, with or without an error.
	attempted bool
	sent      time.Time
	failures  int
	retryAt   time.Time
	reported  bool
}

// reader decides when this process calls the platform, and limits the rate of
// its calls with a token bucket.
type reader struct {
	tokens   float64
	filledAt time.Time
	vmCount  int
	// position is the rank of this process in its data centre, starting at 0;
	// -1 means that it has none.
	position int
	// cursor is the revision up to which this process holds every value.
	cursor   table.Revision
	target   table.Revision
	pending  map[string]table.Revision
	fetching string
	// highestAtWatch is the highest revision held when the watch was sent.
	highestAtWatch table.Revision
	// watchSent is when the watch was sent whose reply named the pending values.
	watchSent time.Time
	// listFirst alternates which of the two services may take a token first,
	// so that both get calls when tokens are scarce.
	listFirst bool
}

// rank computes the position of self among the live VMs of its data centre.
func (r *reader) rank(self VM, l VMList) {
	r.vmCount = len(l.VMs)
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

// rate returns the allowed calls per second, which is also the burst size.
func (r *reader) rate() float64 {
	if r.vmCount == 0 {
		return minRate
	}
	shared := min(maxRate, sharedRateBudget/float64(r.vmCount))
	if r.isReader() || r.isStandby() {
		return max(readerRate, shared)
	}
	return max(minRate, shared)
}

// takeToken takes a token for one call, and reports whether there was one.
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

// read calls the platform if shouldRead allows it.
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

// shouldRead reports whether this process reads from the platform: because it is
// one of the readers, its latest confirmation from peers is too old, it has no
// peers, it was paused, or peers don't tell what was written again after a restore. A new process that still lacks a confirmation or the VM
// list leaves the reading to its peers for startGrace.
func (c *Core) shouldRead() bool {
	if c.reader.isReader() || c.paused || c.hasNoPeers() || c.holdsBackLong() {
		return true
	}
	if c.confirmedAt.IsZero() || c.list.Version == 0 {
		return c.now.Sub(c.started) >= startGrace
	}
	age := c.now.Sub(c.confirmedAt)
	return age > maxConfirmedAge || c.reader.isStandby() && age > maxStandbyConfirmedAge
}

// holdsBackLong reports whether values or the VM list are still held back maxConfirmedAge after a process
// could know whether they were written again.
func (c *Core) holdsBackLong() bool {
	limit := c.now.Add(-maxConfirmedAge)
	return c.values.heldBack && c.values.rewriteEnd().Before(limit) ||
		c.listMayLack() && c.listRewriteEnd().Before(limit)
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
	wait := c.wait()
	if c.values.heldBack {
		wait = min(wait, c.untilRewritten(c.values.rewriteEnd()))
	}
	c.emit(CallWatch{Sent: c.now, After: c.reader.cursor, Wait: wait})
}

func (c *Core) readList() {
	s := &c.vms
	if s.calling || c.now.Before(s.retryAt) || !c.reader.takeToken(c.now) {
		return
	}
	s.calling, s.sent = true, c.now
	wait := c.wait()
	if c.listMayLack() {
		wait = min(wait, c.untilRewritten(c.listRewriteEnd()))
	}
	c.emit(CallList{Sent: c.now, After: c.list.Version, Wait: wait})
}

// wait returns how long the platform may hold a call open. It is zero while the
// process is paused, so that the pause ends as soon as possible.
func (c *Core) wait() time.Duration {
	if c.paused {
		return 0
	}
	return watchWait
}

// untilRewritten returns how long a call may be held open while something is held back, so that
// the next one can be sent at end.
func (c *Core) untilRewritten(end time.Time) time.Duration {
	return max(end.Sub(c.now), TickInterval)
}

// nextPending returns the name of the next value to read, or "" if there is none.
// Each reader uses a different order, so that readers fetch different values
// first. Values that peers have delivered in the meantime are removed.
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

// completeWatch advances the cursor once all values that a watch named are held.
// The table is confirmed as of the time when that watch was sent.
func (c *Core) completeWatch() {
	era := c.reader.target.Era()
	c.reader.cursor = max(c.reader.cursor, c.reader.target)
	c.reader.target = 0
	c.confirm(c.reader.watchSent)
	c.confirmEra(c.reader.watchSent, era)
	c.tryEndPause(c.reader.watchSent, true)
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
	// The reply may have been delayed, so it is valid only as of the time when
	// the call was sent.
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
	c.apply([]Value{m.Value}, SourceService)
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
	c.listFromService(m.List, m.Sent)
	// The list may come from a lagging replica. That is not an error and is not
	// reported.
	c.vms.retryAt = c.now.Add(c.jitter(minBackoff))
}

// retryStale reports that the service answered from a stale copy, and delays the
// next call.
func (c *Core) retryStale(subject string, r table.Revision) {
	c.emit(Report{Event: event.StaleCopy, Subject: subject, Revision: uint64(r)})
	c.config.retryAt = c.now.Add(c.jitter(2 * minBackoff))
}

// recordOutcome records whether a call to a source failed, and returns true if it
// did. It sets the backoff, and reports a source that goes down or recovers. An
// error with the code result.CallBudget does not cause a report.
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
