package gateway

import (
	"sync"
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// usageBucket is the period that one bucket covers.
	usageBucket = 10 * time.Second
	// usageBuckets is the number of buckets. Together they cover one minute.
	usageBuckets = 6
	// UsageWindow is the period that a Usage covers.
	UsageWindow = usageBucket * usageBuckets
)

// Usage is the usage of one client account at this gateway.
type Usage struct {
	// InFlight is the number of requests whose answer is not complete.
	InFlight int
	// Requests and Tokens are the counts within the last UsageWindow.
	Requests int
	Tokens   table.Tokens
}

// usages counts requests and tokens by client account. An account that is idle
// for the whole window is removed, so that the size is bounded by the number of
// active accounts.
type usages struct {
	mu        sync.Mutex
	accounts  map[table.AccountName]*usageCounts
	periods   periods
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

func (u *usages) period(now time.Time) int64 { return u.periods.number(now, usageBucket) }

// begin counts a request that was admitted.
func (u *usages) begin(now time.Time, name table.AccountName) {
	u.mu.Lock()
	defer u.mu.Unlock()
	period := u.period(now)
	c := u.counts(period, name)
	c.inFlight++
	c.bucket(period).requests++
}

// end counts the tokens of a request that has ended.
func (u *usages) end(now time.Time, name table.AccountName, tokens table.Tokens) {
	u.mu.Lock()
	defer u.mu.Unlock()
	period := u.period(now)
	c := u.counts(period, name)
	c.inFlight--
	c.bucket(period).tokens += uint32(tokens)
}

func (u *usages) counts(period int64, name table.AccountName) *usageCounts {
	u.sweep(period)
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

func (u *usages) sweep(period int64) {
	if period-u.lastSweep < usageBuckets {
		return
	}
	u.lastSweep = period
	for name, c := range u.accounts {
		if c.usage(period) == (Usage{}) {
			delete(u.accounts, name)
		}
	}
}

func (c *usageCounts) bucket(period int64) *usageBucketCounts {
	b := &c.buckets[period%usageBuckets]
	if b.period != period {
		*b = usageBucketCounts{period: period}
	}
	return b
}

func (c *usageCounts) usage(period int64) Usage {
	u := Usage{InFlight: c.inFlight}
	for _, b := range c.buckets {
		if b.period > period-usageBuckets {
			u.Requests += int(b.requests)
			u.Tokens += table.Tokens(b.tokens)
		}
	}
	return u
}

// UsageOf returns the usage of a client account at this gateway.
func (g *Gateway) UsageOf(now time.Time, name table.AccountName) Usage {
	g.usages.mu.Lock()
	defer g.usages.mu.Unlock()
	if c := g.usages.accounts[name]; c != nil {
		return c.usage(g.usages.period(now))
	}
	return Usage{}
}
