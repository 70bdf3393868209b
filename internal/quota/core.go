// Package quota enforces the limits of client accounts across all gateways,
// without communication between gateways for each request.
//
// A limit is divided into units. Most units are divided evenly among the
// gateways that a gateway counts as members; each remaining unit belongs to the
// member that is first in the rendezvous order of the unit. While every gateway
// that has joined counts every other one, the sum of the shares stays within the
// limit, even if their views differ otherwise. See docs/design/quota.md for the
// bound.
//
// # Usage
//
//	c := &quota.Core{Self: "vm_1"}
//	c.UpdateGateways(now, names, view.ConfirmedAt)
//	if code, after := c.Take(now, account, 200); code != result.OK {
//		// refuse the request with the code and a retry delay
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
	// defaultRetryAfter is the retry delay where none is computed: while this
	// gateway is joining, for the in-flight limit, and for a bucket that is
	// never refilled.
	defaultRetryAfter = time.Second
	// maxRetryAfter is the maximum computed retry delay.
	maxRetryAfter = time.Minute
	// takesPerSweep is how many calls of Take pass between two sweeps.
	takesPerSweep = 1024
)

// Core admits requests within the limits of their client accounts. Set the
// exported fields before use. It is not safe for concurrent use.
type Core struct {
	Self fleet.VMName
	// HoldTime is how long a gateway is still counted after it was last listed or
	// asked to be counted. Zero selects 10 s plus 0.4 s for each gateway.
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

// UpdateGateways sets the live and leaving gateways of the VM list, and the time
// at which the platform last confirmed the list. Call it when they change and
// once a second.
func (c *Core) UpdateGateways(now time.Time, names []fleet.VMName, confirmed time.Time) {
	c.init(now)
	c.members.updateList(now, c.Self, names, confirmed)
}

// Count counts the named gateways, which asked for it, as members. It returns
// the gateways that it counted.
func (c *Core) Count(now time.Time, names []fleet.VMName) []fleet.VMName {
	c.init(now)
	c.members.count(now, c.Self, names)
	return names
}

// Answered records an answer of another gateway; counts is whether it counts this
// gateway.
func (c *Core) Answered(now time.Time, from fleet.VMName, counts bool) {
	c.init(now)
	c.members.answered(now, c.Self, from, counts)
}

// Joined reports whether this gateway has joined. Until then, it refuses requests
// of accounts that have limits.
func (c *Core) Joined() bool { return c.members.joined }

// Members returns the gateways among which limits are divided.
func (c *Core) Members() []fleet.VMName { return append([]fleet.VMName(nil), c.members.sorted...) }

// Take admits a request that is estimated to use the given number of tokens and
// returns result.OK, or returns the reason for the refusal and the delay before
// a retry. Call Done once for each admitted request.
func (c *Core) Take(now time.Time, a table.Account, estimate table.Tokens) (result.Code, time.Duration) {
	if !limited(a) {
		return result.OK, 0
	}
	c.init(now)
	c.sweep(now)
	if !c.members.joined {
		return result.NotReady, defaultRetryAfter
	}
	s := c.account(now, a)
	switch {
	case a.InFlight > 0 && s.inFlight >= s.maxInFlight:
		return result.AccountInFlight, defaultRetryAfter
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

// Done ends an admitted request. It corrects the account's token bucket by the
// difference between the estimate and the tokens used.
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

// account returns the state of an account, with its share updated and its
// buckets refilled.
func (c *Core) account(now time.Time, a table.Account) *account {
	s, known := c.accounts[a.Name]
	if !known {
		s = &account{}
		// The buckets hold only the refill since this gateway joined, because
		// the gateway that it replaces may have spent the rest.
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

// sweep removes accounts that have no requests in flight and full buckets.
func (c *Core) sweep(now time.Time) {
	c.takes++
	if c.takes%takesPerSweep != 0 {
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
