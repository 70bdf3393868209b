package placement

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// maxNewsAge is the age of the last load report from another gateway beyond which
	// the load of other data centres is unknown.
	maxNewsAge = peerReportTTL
	// roomFraction is the fraction of its objective that a request may expect to wait
	// behind others at an upstream that counts as having room.
	roomFraction = 0.3
	// crossingForbidden is the price of an upstream in another data centre that the
	// request may not be sent to. It exceeds any other cost, so that such an upstream is
	// chosen only if there is no other; decide then makes the request wait.
	crossingForbidden = time.Hour
	// maxCrossingFraction limits the price of the bytes of a request for which its own data
	// centre has no room to this multiple of its objective: half of what a failure
	// costs. Without a limit, large requests would rather be refused than leave.
	maxCrossingFraction = failureCost / 2
)

// CrossingReason is why a request may be sent to an upstream in another data centre.
type CrossingReason int

// Reasons for sending a request to another data centre.
const (
	// Stayed means that the request was not sent to another data centre.
	Stayed CrossingReason = iota
	// CrossedForRoom means that the upstreams in the gateway's data centre had no room. It
	// is the only reason that the share and the quotas of a plain service apply to.
	CrossedForRoom
	// CrossedForPrompt means that an engine elsewhere is preferred for the prompt.
	CrossedForPrompt
	// CrossedWithoutUpstream means that the gateway's data centre has no usable upstream.
	CrossedWithoutUpstream
	// CrossedOnRetry means that the request had been sent to all usable upstreams in the
	// gateway's data centre.
	CrossedOnRetry
	// CrossedWithoutNews means that the load of other data centres was unknown.
	CrossedWithoutNews
	// CrossedApart means that the request has a part that may crash upstreams. All
	// gateways send such requests to the same upstream.
	CrossedApart
)

var crossingReasonNames = [...]string{"stayed", "no_room", "prompt", "no_upstream", "retry", "no_news", "apart"}

// String returns the reason's name in snake case.
func (r CrossingReason) String() string { return crossingReasonNames[r] }

// CrossingReasons returns the reasons for which requests are sent to another data
// centre.
func CrossingReasons() []CrossingReason {
	return []CrossingReason{CrossedForRoom, CrossedForPrompt, CrossedWithoutUpstream, CrossedOnRetry, CrossedWithoutNews, CrossedApart}
}

// crossings decides which requests are sent to other data centres.
type crossings struct {
	// newsAt is when the last load report from another gateway arrived.
	newsAt   time.Time
	services map[route.ServiceName]*crossingService
	plan     crossingPlan
	// step is the number of the current step, and steppedAt when it was noticed.
	step      int64
	steppedAt time.Time
}

// crossingPlan is what was decided for the request that is being placed.
type crossingPlan struct {
	// unlimited is the reason for which the request may be sent to any upstream, or
	// Stayed if there is none.
	unlimited CrossingReason
	// service is set if the request may be sent to engines elsewhere, or to destinations
	// whose quota has a place left.
	service    *crossingService
	preference preference
}

// planCrossing decides whether the request may be sent to other data centres. It must be
// called before the upstream is chosen.
func (c *Core) planCrossing(now time.Time, w *waitingRequest, l limits) {
	r := &w.request
	plan := &c.crossings.plan
	*plan = crossingPlan{}
	s := c.crossings.services[r.Service]
	if plan.unlimited = c.unlimitedCrossing(now, s, r); plan.unlimited != Stayed || s.hasRoom(c, now, r, l) {
		return
	}
	if s.hasEngines() {
		// Among engines the cost, which follows their load, decides.
		plan.service = s
		return
	}
	s.pressed = true
	if s.share == 0 && s.hasPlace() {
		s.share = shareStep
	}
	// A request that has waited for long is about to be refused, whatever its draw.
	waited := 1.0
	if r.Objective > 0 {
		waited = float64(now.Sub(w.since)) / (maxWaitFraction * float64(r.Objective))
	}
	if w.draw < s.share+waited && c.crossingPays(now, s, r, waited) {
		plan.service = s
	}
}

// unlimitedCrossing returns the reason for which neither the share nor the quotas apply
// to the request, or Stayed.
func (c *Core) unlimitedCrossing(now time.Time, s *crossingService, r *Request) CrossingReason {
	usable := func(m *member) bool { return m.usable(now) }
	untried := func(m *member) bool { return usable(m) && !slices.Contains(r.Tried, m.upstream.ID) }
	switch {
	case r.Apart != 0:
		return CrossedApart
	case s == nil || !slices.ContainsFunc(s.home, usable):
		return CrossedWithoutUpstream
	case !slices.ContainsFunc(s.home, untried):
		return CrossedOnRetry
	case c.crossings.newsAt.IsZero() || now.Sub(c.crossings.newsAt) > maxNewsAge:
		return CrossedWithoutNews
	}
	return Stayed
}

// crossingPays reports whether what the request may gain is worth its bytes. While an
// upstream in the gateway's data centre can take it, the cost of each decides. Otherwise
// the request waits here, and the gain grows from the time of a response to the cost of a
// failure, which a refusal amounts to.
func (c *Core) crossingPays(now time.Time, s *crossingService, r *Request, waited float64) bool {
	for _, m := range s.home {
		if m.eligible(r.Service) && c.available(now, m, r, c.projectLoad(m, r, preference{})) {
			return true
		}
	}
	return bytesPrice(r, CrossedForRoom) <= plainResponseTime+time.Duration(failureCost*float64(r.Objective)*waited)
}

// crossingPrice returns the price of sending a request to the upstream's data centre.
func (c *Core) crossingPrice(m *member, r *Request, p preference) time.Duration {
	if m.upstream.DataCentre == c.DataCentre {
		return 0
	}
	c.crossings.plan.preference = p
	reason := c.crossingReason(m, r)
	if reason == Stayed {
		return crossingForbidden
	}
	return bytesPrice(r, reason)
}

// bytesPrice returns the price of the bytes of a request between data centres.
func bytesPrice(r *Request, reason CrossingReason) time.Duration {
	price := crossDataCentreCost * time.Duration(r.Bytes) / 1024
	if reason == CrossedForRoom {
		price = min(price, time.Duration(maxCrossingFraction*float64(r.Objective)))
	}
	return price
}

// crossingReason returns the reason for which the planned request may be sent to an upstream
// in another data centre, or Stayed if it may not.
func (c *Core) crossingReason(m *member, r *Request) CrossingReason {
	plan := &c.crossings.plan
	switch {
	case plan.unlimited == CrossedApart:
		return CrossedApart
	case m.preferredFor(r, &plan.preference):
		return CrossedForPrompt
	case plan.unlimited != Stayed:
		return plan.unlimited
	case plan.service != nil && (m.service.Engine != nil || plan.service.elsewhere[m.upstream.DataCentre].hasPlace()):
		return CrossedForRoom
	}
	return Stayed
}

// mayPlace reports whether the request may be sent to the chosen upstream, and why to
// another data centre if it is in one.
func (c *Core) mayPlace(m *member, r *Request) (CrossingReason, bool) {
	if m.upstream.DataCentre == c.DataCentre {
		return Stayed, true
	}
	reason := c.crossingReason(m, r)
	return reason, reason != Stayed
}

// preferredFor reports whether an engine is worth its distance for a long prompt: it is
// the first or second choice, or has shared parts cached. Short prompts prefer engines
// of their gateway's data centre.
func (m *member) preferredFor(r *Request, p *preference) bool {
	if len(r.Prompt) == 0 || p.short {
		return false
	}
	if id := m.upstream.ID; id == p.first || id == p.second {
		return true
	}
	shared := sharedParts(r.Prompt)
	return m.cache.missingTokens(shared) < countTokens(shared)
}

// usable reports whether an upstream counts as one of its data centre. One that is
// leaving, out, paused, cold or avoided after failures does not. One that is avoided
// because it was full does.
func (m *member) usable(now time.Time) bool {
	return m.eligible(m.upstream.Service) && m.availability.PauseLeft(now) == 0 && !now.Before(m.coldUntil) &&
		(m.consecutiveFailures == 0 || !m.avoided(now))
}

// places returns the number of requests that the upstream runs concurrently.
func (m *member) places() int {
	if e := m.service.Engine; e != nil {
		return e.BatchSize
	}
	return max(m.upstream.Slots, 1)
}

// hasRoom reports whether an upstream in the gateway's data centre can run the request at
// once and is not expected to delay it. Engines that are reserved for prompts of the other
// kind have no room for it.
func (s *crossingService) hasRoom(c *Core, now time.Time, r *Request, l limits) bool {
	tokens := countTokens(r.Prompt)
	short := tokens <= maxShortPromptTokens
	reserved := slices.ContainsFunc(s.home, func(m *member) bool { return m.reservedForShort })
	for _, m := range s.home {
		if !m.eligible(r.Service) || reserved && m.reservedForShort != short {
			continue
		}
		load := c.projectLoad(m, r, preference{})
		if load.InFlight >= m.places() || !l.allow(m, load.Load) || !c.available(now, m, r, load) {
			continue
		}
		// Another engine is worth its distance once the wait at this one is longer than
		// the price of the bytes.
		idle, limit := plainResponseTime, time.Duration(roomFraction*float64(r.Objective))
		if m.service.Engine != nil {
			idle = minFirstEventTime + prefillTime(load.prefillTokens, tokens)
			limit = min(limit, bytesPrice(r, CrossedForPrompt))
		}
		wait, _, _ := c.cost(now, m, r, preference{tokens: tokens}, load)
		if wait-idle <= limit {
			return true
		}
	}
	return false
}
