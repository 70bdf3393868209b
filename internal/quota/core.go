// Package quota keeps client accounts within their limits over all gateways,
// without a word between gateways for a request.
//
// A limit is cut into units. Most are divided evenly among the gateways that a
// gateway counts; each of the rest belongs to the first of them by rendezvous
// hash. While every gateway that takes part counts every other, the sum stays
// within the limit, whatever else their views differ in. See docs/design/quota.md for the bound.
//
// # Usage
//
//	c := &quota.Core{Self: "vm_1"}
//	c.Gateways(now, names, view.ConfirmedAt)
//	if code, after := c.Take(now, account, 200); code != result.OK {
//		// refuse with the code, to be tried again after a while
//	}
//	defer c.Done(now, account, 200, used)
package quota

import (
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// joiningRetryAfter is what a caller is told while this gateway is joining.
	joiningRetryAfter = time.Second
	// maxRetryAfter bounds what a caller is told otherwise.
	maxRetryAfter = time.Minute
	// sweepInterval is how many calls of Take pass between two sweeps.
	sweepInterval = 1024
)

// Core admits requests within the limits of their accounts. Set the exported
// fields before use. It is for one task.
type Core struct {
	Self fleet.VMName
	// HoldTime is how long a gateway that nobody hears of is counted; zero for 10 s
	// and 0.4 s for each gateway.
	HoldTime time.Duration

	members  members
	accounts map[table.AccountName]*account
	takes    int
}

func (c *Core) init(now time.Time) {
	if c.accounts != nil {
		return
	}
	c.accounts = make(map[table.AccountName]*account)
	c.members.fixedHoldTime = c.HoldTime
	c.members.init(now)
}

// UpdateGateways takes the live and leaving gateways of the VM list, and when the
// platform was last heard of. Call it when they change and once a second.
func (c *Core) UpdateGateways(now time.Time, names []fleet.VMName, confirmed time.Time) {
	c.init(now)
	c.members.updateList(now, c.Self, names, confirmed)
}

// Count counts gateways that ask for it, and gives those of them counted.
func (c *Core) Count(now time.Time, names []fleet.VMName) []fleet.VMName {
	c.init(now)
	c.members.count(now, c.Self, names)
	return names
}

// Answered takes another gateway's word on whether it counts this one.
func (c *Core) Answered(now time.Time, from fleet.VMName, counts bool) {
	c.init(now)
	c.members.answered(now, c.Self, from, counts)
}

// Joined says that this gateway takes part.
func (c *Core) Joined() bool { return c.members.joined }

// Members gives the gateways that limits are divided by.
func (c *Core) Members() []fleet.VMName { return append([]fleet.VMName(nil), c.members.sorted...) }

// Take admits a request that is expected to use so many tokens, or gives why
// not and when to try again. Each admitted request needs one Done.
func (c *Core) Take(now time.Time, a table.Account, estimate table.Tokens) (result.Code, time.Duration) {
	if !limited(a) {
		return result.OK, 0
	}
	c.init(now)
	c.sweep(now)
	if !c.members.joined {
		return result.NotReady, joiningRetryAfter
	}
	s := c.account(now, a)
	switch {
	case a.InFlight > 0 && s.inFlight >= s.maxInFlight:
		return result.AccountInFlight, joiningRetryAfter
	case a.RequestsPerSecond > 0 && !s.requests.has(1):
		return result.AccountRate, s.requests.wait(1)
	case a.TokensPerMinute > 0 && !s.tokens.has(float64(estimate)):
		return result.AccountTokens, s.tokens.wait(float64(estimate))
	}
	s.inFlight++
	if a.RequestsPerSecond > 0 {
		s.requests.level--
	}
	if a.TokensPerMinute > 0 {
		s.tokens.level -= float64(estimate)
	}
	return result.OK, 0
}

// Done ends an admitted request that used so many tokens.
func (c *Core) Done(now time.Time, a table.Account, estimate, used table.Tokens) {
	s, ok := c.accounts[a.Name]
	if !ok {
		return
	}
	s = c.account(now, a)
	s.inFlight = max(0, s.inFlight-1)
	if a.TokensPerMinute > 0 {
		s.tokens.level = min(s.tokens.capacity, s.tokens.level+float64(estimate-used))
	}
}

func limited(a table.Account) bool {
	return a.RequestsPerSecond > 0 || a.TokensPerMinute > 0 || a.InFlight > 0
}

// account gives the state of an account, with its share brought up to date.
func (c *Core) account(now time.Time, a table.Account) *account {
	s, known := c.accounts[a.Name]
	if !known {
		s = &account{}
		// What was refilled since this gateway joined, and no more: its
		// predecessor may have spent the rest.
		s.requests.at, s.tokens.at = c.members.joinedAt, c.members.joinedAt
		c.accounts[a.Name] = s
	}
	isolated := c.members.isolated(now, c.Self)
	if !known || s.version != c.members.version || s.limits != limitsOf(a) || s.isolated != isolated {
		s.updateShare(a, c.Self, c.members.sorted, isolated)
		s.version = c.members.version
	}
	s.requests.refill(now)
	s.tokens.refill(now)
	return s
}

// sweep forgets accounts with nothing in flight and nothing spent.
func (c *Core) sweep(now time.Time) {
	c.takes++
	if c.takes%sweepInterval != 0 {
		return
	}
	for name, s := range c.accounts {
		s.requests.refill(now)
		s.tokens.refill(now)
		if s.inFlight == 0 && s.requests.full() && s.tokens.full() {
			delete(c.accounts, name)
		}
	}
}
