package placement

import (
	"math"
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// serviceSpeedWeight is the least weight of a new observation in the mean latency
	// ratio of a service: some 50 observations, a few seconds of usual traffic.
	serviceSpeedWeight = 0.02
	// servicePrior is the number of observations that the modelled latency counts for.
	servicePrior = 10
	// maxSpeedObservations bounds the number of observations that an estimate of one
	// upstream stands for, so that it follows an upstream whose speed changes.
	maxSpeedObservations = 8
	// speedPrior is the number of observations that the assumption counts for that an
	// upstream is as fast as its service. One late response says little.
	speedPrior = 3
	// maxSpeedAge is how long an estimate is told to other gateways after its last
	// observation.
	maxSpeedAge = 5 * time.Second
	// minSpeedChange is the least change of a weight, as a logarithm, by which faster
	// engines hold more prompt parts. Smaller differences are within the noise of the
	// latencies, and each change moves parts, which are then processed again.
	minSpeedChange = 0.22
	// speedStep is the step of the weights, so that gateways mostly agree on them.
	speedStep = 0.1
	// minSpeedObservations is the number of observations of all gateways below which an
	// engine keeps its weight.
	minSpeedObservations = 12
)

// Speed is the latency of an upstream relative to the mean of its service, as seen by one
// gateway.
type Speed struct {
	// Relative is the logarithm of the ratio: above zero for slow upstreams.
	Relative float64
	// Observations is the number of responses that the estimate stands for.
	Observations float64
}

// serviceSpeed is the mean logarithm of the ratio of actual to modelled latency of the
// engines of a service.
type serviceSpeed struct{ mean, observations float64 }

// observe adds the logarithm of the latency ratio of one response.
func (s *serviceSpeed) observe(ratio float64) {
	s.observations++
	s.mean += max(1/(servicePrior+s.observations), serviceSpeedWeight) * (ratio - s.mean)
}

// recordLatency records how long a response took to start, or how long an attempt took that was
// not answered. Of the latter only those that took longer than expected say something about an
// engine's speed.
func (c *Core) recordLatency(now time.Time, a *assignment, answered bool) {
	m := a.member
	if m.service == nil || m.service.Engine == nil {
		m.recordPlainLatency(now.Sub(a.sent), a.expected)
		return
	}
	took := float64(now.Sub(a.sent)) / float64(max(a.modelled, 1))
	if took < 1/maxLatencyRatio || !answered && now.Sub(a.sent) <= a.expected {
		return
	}
	s := c.speeds[m.upstream.Service]
	if s == nil {
		s = &serviceSpeed{}
		c.speeds[m.upstream.Service] = s
	}
	ratio := math.Log(min(took, maxLatencyRatio))
	s.observe(ratio)
	m.speed.Observations = min(m.speed.Observations+1, maxSpeedObservations)
	m.speed.Relative += (ratio - s.mean - m.speed.Relative) / m.speed.Observations
	m.speedAt = now
	c.estimateSpeed(m)
}

// estimateSpeed updates the speed of an upstream from what this gateway and the others
// observed.
func (c *Core) estimateSpeed(m *member) {
	all := c.peerSpeeds[m.key]
	sum := all.Relative + m.speed.Relative*m.speed.Observations
	n := all.Observations + m.speed.Observations
	relative := sum / (n + speedPrior)
	mean := 0.0
	if s := c.speeds[m.upstream.Service]; s != nil {
		mean = s.mean
	}
	m.slowdown = min(max(math.Exp(mean+relative), minSlowdown), maxSlowdown)
	// Engines with small batches keep equal shares of the prompt parts: moving parts for
	// differences that are mostly queueing cost more there than it brought.
	large := m.service != nil && m.service.Engine != nil && m.service.Engine.BatchSize > shortEngineSlots
	if large && n >= minSpeedObservations && math.Abs(m.logWeight+relative) > minSpeedChange {
		m.logWeight = speedStep * math.Round(-relative/speedStep)
		m.weight = math.Exp(m.logWeight)
		c.reweighed = append(c.reweighed, Weighed{m.upstream.ID, m.weight, m.slowdown})
	}
}

// Speeds returns what this gateway has observed of upstreams lately, to be told to the
// other gateways.
func (c *Core) Speeds(now time.Time) map[LoadKey]Speed {
	out := make(map[LoadKey]Speed)
	for _, m := range c.members {
		if m.speed.Observations > 0 && now.Sub(m.speedAt) <= maxSpeedAge {
			out[m.key] = m.speed
		}
	}
	return out
}

// addPeerSpeeds adds what another gateway observed to the sum of all, or subtracts it if
// sign is -1. The sum holds Relative times Observations.
func (c *Core) addPeerSpeeds(speeds map[LoadKey]Speed, sign float64) {
	for key, s := range speeds {
		sum := c.peerSpeeds[key]
		sum.Relative += sign * s.Relative * s.Observations
		sum.Observations += sign * s.Observations
		if sum.Observations < 0.5 {
			delete(c.peerSpeeds, key)
			continue
		}
		c.peerSpeeds[key] = sum
	}
}

// updateSpeeds estimates the speeds of upstreams that another gateway has told of.
func (c *Core) updateSpeeds(speeds map[LoadKey]Speed) {
	for key := range speeds {
		if m := c.membersByKey[key]; m != nil {
			c.estimateSpeed(m)
		}
	}
}

// slowdownOf returns the slowdown of the mean upstream of a service.
func (c *Core) slowdownOf(s route.ServiceName) float64 {
	if speed := c.speeds[s]; speed != nil {
		return min(max(math.Exp(speed.mean), minSlowdown), maxSlowdown)
	}
	return 1
}
