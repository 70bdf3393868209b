package placement

import "time"

// peerReportTTL is how long a load report from another gateway is valid.
const peerReportTTL = 2 * time.Second

// expirePeerReports removes the reports that are no longer valid.
func (c *Core) expirePeerReports(now time.Time) {
	for gateway, report := range c.peerReports {
		if now.Sub(report.at) > peerReportTTL {
			c.forgetPeer(gateway)
		}
	}
}

// forgetPeer removes the report of a gateway.
func (c *Core) forgetPeer(gateway string) {
	c.addPeerLoads(c.peerReports[gateway].loads, -1)
	c.addPeerSpeeds(c.peerReports[gateway].speeds, -1)
	delete(c.peerReports, gateway)
}

// addPeerLoads adds a report to the sum of all reports, or subtracts it if sign
// is -1.
func (c *Core) addPeerLoads(loads map[LoadKey]Load, sign int) {
	for key, l := range loads {
		sum := c.peerLoads[key]
		sum.InFlight += sign * l.InFlight
		sum.WaitingTokens += sign * l.WaitingTokens
		sum.MemoryTokens += sign * l.MemoryTokens
		if sum == (Load{}) {
			delete(c.peerLoads, key)
			continue
		}
		c.peerLoads[key] = sum
	}
}

// peerLoad estimates what the other gateways have in flight at an upstream. In a
// large fleet only some gateways have a recent report, so the sum of these is
// scaled up to all live peers.
func (c *Core) peerLoad(key LoadKey) Load {
	sum := c.peerLoads[key]
	if fresh := len(c.peerReports); fresh > 0 && fresh < c.livePeers {
		sum = sum.scaled(float64(c.livePeers) / float64(fresh))
	}
	return sum
}
