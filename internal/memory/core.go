package memory

import (
	"math"
	"time"
)

const (
	// OrdinarySize is the size in bytes up to which a holder is ordinary. It holds a body
	// of 100 KB, which is what usual callers send at most, and the rest of its request.
	OrdinarySize = 192 << 10
	// largeBodyShare is the share of the limit up to which bodies may grow beyond
	// OrdinarySize, and largeAnswerShare that of answers. The rest is for ordinary requests,
	// which find room while larger ones are arriving.
	largeBodyShare, largeAnswerShare = 0.625, 0.875
	// shortUntil is the share of the limit at which memory is sufficient again after it was
	// short.
	shortUntil = 0.5
	// progressWindow is the time over which the progress of a holder is measured, and
	// minProgress the bytes a second below which a sender is slow. On the smallest link,
	// 10 Mbit/s, each of 300 senders gets that much.
	progressWindow = time.Second
	minProgress    = 4 << 10
	// minWriteRate is the bytes a second below which a reader of an answer is slow, after
	// progressWindow. What is written at a time is at most an event of 256 KB.
	minWriteRate = 32 << 10
)

// verdict is the answer of the core to an account that asks for memory.
type verdict int

const (
	granted verdict = iota
	// pending means that enough memory is about to be returned by evicted holders.
	pending
	refused
)

// core decides who gets memory. It has no I/O and no locks.
type core struct {
	limit int64
	// held is the memory of all accounts, and leaving that of evicted ones, which return
	// it as soon as they notice.
	held, leaving int64
	// byActivity is the memory of the accounts of each activity.
	byActivity [activities]int64
	accounts   map[*Account]struct{}
	short      bool
	stats      Stats
}

// room returns the share of the limit that an account may fill if it grows by n.
func (c *core) room(a *Account, n int64) int64 {
	switch {
	case a.held+n <= OrdinarySize:
		return c.limit
	case a.holder.Activity >= Sent:
		return int64(largeAnswerShare * float64(c.limit))
	}
	return int64(largeBodyShare * float64(c.limit))
}

// grow decides on n more bytes for an account. It returns the holders to evict for it, and
// evicts none if they would not make enough room.
func (c *core) grow(now time.Time, a *Account, n int64) (verdict, []*Account) {
	room := c.room(a, n)
	if c.held+n <= room {
		c.add(a, n)
		a.awaitsMemory = false
		return granted, nil
	}
	victims, ok := c.victims(now, a, n, c.held-c.leaving+n-room)
	if !ok {
		c.short = true
		c.stats.Refused++
		return refused, nil
	}
	if len(victims) > 0 {
		c.short = true
	}
	for _, v := range victims {
		v.evicted = true
		c.leaving += v.held
		c.stats.Evicted++
	}
	a.awaitsMemory = true
	return pending, victims
}

// victims returns the holders whose memory makes up for need, and whether there are enough.
// Those whose callers are slow come first, then the largest of the client that holds most.
func (c *core) victims(now time.Time, a *Account, n, need int64) ([]*Account, bool) {
	// Most refusals come when nearly all memory is held by requests that were passed on.
	// They cost no search.
	if need <= 0 || need > c.byActivity[Reading]+c.byActivity[Waiting]+c.byActivity[Writing] {
		return nil, need <= 0
	}
	var out []*Account
	chosen := map[*Account]bool{a: true}
	choose := func(v *Account) {
		chosen[v] = true
		out = append(out, v)
		need -= v.held
	}
	for v := c.slowest(now, chosen); v != nil && need > 0; v = c.slowest(now, chosen) {
		choose(v)
	}
	if need <= 0 {
		return out, true
	}
	ofClient := c.byClient(chosen)
	ofClient[a.holder.Client] += a.held
	for need > 0 {
		v := c.largest(chosen, ofClient)
		if v == nil || !outweighs(v, a, n, ofClient) {
			return nil, false
		}
		choose(v)
		ofClient[v.holder.Client] -= v.held
	}
	return out, true
}

// byClient returns what each client holds, without those that have been or will be evicted.
func (c *core) byClient(chosen map[*Account]bool) map[string]int64 {
	out := map[string]int64{}
	for o := range c.accounts {
		if !o.evicted && !chosen[o] {
			out[o.holder.Client] += o.held
		}
	}
	return out
}

// slowest returns the largest holder whose caller is slow; nil if there is none.
func (c *core) slowest(now time.Time, chosen map[*Account]bool) *Account {
	var found *Account
	for o := range c.accounts {
		if !chosen[o] && o.slow(now) && (found == nil || o.held > found.held) {
			found = o
		}
	}
	return found
}

// largest returns the largest holder that may be evicted of the client that holds most; nil
// if none may be.
func (c *core) largest(chosen map[*Account]bool, ofClient map[string]int64) *Account {
	var found *Account
	most := int64(math.MinInt64)
	for o := range c.accounts {
		if chosen[o] || !o.evictable() {
			continue
		}
		of := ofClient[o.holder.Client]
		if found == nil || of > most || of == most && o.held > found.held {
			found, most = o, of
		}
	}
	return found
}

// outweighs reports whether a holder is evicted in favour of an account that asks for n
// bytes: it is the larger one of the same client, or its client holds more.
func outweighs(v, a *Account, n int64, ofClient map[string]int64) bool {
	if v.holder.Client == a.holder.Client {
		return v.held > a.held+n
	}
	return ofClient[v.holder.Client] > ofClient[a.holder.Client]+n
}

// add adds n bytes to an account.
func (c *core) add(a *Account, n int64) {
	a.held += n
	c.held += n
	c.byActivity[a.holder.Activity] += n
}

// begin sets what the holder of an account does.
func (c *core) begin(a *Account, next Activity) {
	c.byActivity[a.holder.Activity] -= a.held
	c.byActivity[next] += a.held
	a.holder.Activity = next
}

// shrink takes back n bytes of an account.
func (c *core) shrink(a *Account, n int64) {
	c.add(a, -n)
	if a.evicted {
		c.leaving -= n
	}
	if c.short && float64(c.held) <= shortUntil*float64(c.limit) {
		c.short = false
	}
}

// evictable reports whether the holder's request has not been passed on.
func (a *Account) evictable() bool {
	return !a.evicted && a.held > 0 && a.holder.Activity < Sent
}

// slow reports whether the caller stalls or trickles as it sends a body or reads an answer.
// A holder that waits for memory does not read.
func (a *Account) slow(now time.Time) bool {
	switch {
	case a.evicted || a.held == 0 || a.awaitsMemory:
		return false
	case a.holder.Activity == Writing:
		return float64(a.writing) < minWriteRate*(now.Sub(a.windowStart)-progressWindow).Seconds()
	case a.holder.Activity != Reading:
		return false
	}
	// What came in a burst before a stall says nothing of the time after it.
	if now.Sub(a.lastProgress) >= progressWindow {
		return true
	}
	if elapsed := now.Sub(a.windowStart); elapsed >= progressWindow {
		return float64(a.windowBytes) < minProgress*elapsed.Seconds()
	}
	return a.wasSlow
}

// progress records that n bytes of a body have arrived.
func (a *Account) progress(now time.Time, n int64) {
	if now.Sub(a.windowStart) >= progressWindow {
		a.wasSlow = a.slow(now)
		a.windowStart, a.windowBytes = now, 0
	}
	a.windowBytes += n
	a.lastProgress = now
}
