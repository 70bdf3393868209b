package gateway

import (
	"sync"
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// usageBucket is the time that one bucket counts.
	usageBucket = 10 * time.Second
	// usageBuckets cover the last minute.
	usageBuckets = 6
	// UsageWindow is how far back a Usage reaches.
	UsageWindow = usageBucket * usageBuckets
)

// Usage is what a client account takes at this gateway.
type Usage struct {
	// InFlight counts its requests without a whole answer.
	InFlight int
	// Requests and Tokens count those of the last UsageWindow.
	Requests int
	Tokens   table.Tokens
}

// usages counts by client account. An account that is idle for the window is
// forgotten, so that the size is bounded by the accounts in use.
type usages struct {
	mu        sync.Mutex
	accounts  map[table.AccountName]*usageCounts
	lastSweep int64
}

type usageCounts struct {
	inFlight int
	buckets  [usageBuckets]usageBucketCounts
}

type usageBucketCounts struct {
	period   int64
	requests uint32
	tokens   uint32
}

func usagePeriod(now time.Time) int64 { return now.UnixNano() / int64(usageBucket) }

// begin counts a request that was taken in.
func (u *usages) begin(now time.Time, name table.AccountName) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.counts(now, name)
	c.inFlight++
	c.bucket(now).requests++
}

// end counts its tokens when it is over.
func (u *usages) end(now time.Time, name table.AccountName, tokens table.Tokens) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.counts(now, name)
	c.inFlight--
	c.bucket(now).tokens += uint32(tokens)
}

func (u *usages) counts(now time.Time, name table.AccountName) *usageCounts {
	u.sweep(now)
	if u.accounts == nil {
		u.accounts = make(map[table.AccountName]*usageCounts)
	}
	c := u.accounts[name]
	if c == nil {
		c = &usageCounts{}
		u.accounts[name] = c
	}
	return c
}

func (u *usages) sweep(now time.Time) {
	period := usagePeriod(now)
	if period-u.lastSweep < usageBuckets {
		return
	}
	u.lastSweep = period
	for name, c := range u.accounts {
		if c.usage(now) == (Usage{}) {
			delete(u.accounts, name)
		}
	}
}

func (c *usageCounts) bucket(now time.Time) *usageBucketCounts {
	period := usagePeriod(now)
	b := &c.buckets[period%usageBuckets]
	if b.period != period {
		*b = usageBucketCounts{period: period}
	}
	return b
}

func (c *usageCounts) usage(now time.Time) Usage {
	u := Usage{InFlight: c.inFlight}
	for _, b := range c.buckets {
		if b.period > usagePeriod(now)-usageBuckets {
			u.Requests += int(b.requests)
			u.Tokens += table.Tokens(b.tokens)
		}
	}
	return u
}

// UsageOf gives what a client account takes at this gateway.
func (g *Gateway) UsageOf(now time.Time, name table.AccountName) Usage {
	g.usages.mu.Lock()
	defer g.usages.mu.Unlock()
	if c := g.usages.accounts[name]; c != nil {
		return c.usage(now)
	}
	return Usage{}
}
