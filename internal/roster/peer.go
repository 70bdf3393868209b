package roster

import (
	"cmp"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/wire"
)

// peer is the state kept about another gateway.
type peer struct {
	// lastHeard is when the last message from the gateway arrived, and lastCalled
	// is when it was last called. Zero means never.
	lastHeard, lastCalled time.Time
	// calling reports that a call to the gateway is in progress, and silent that
	// the gateway is no longer heard from.
	calling, silent bool
	// failed reports that a call to the gateway ended in an error before its time was up,
	// as it does if nothing listens at the address.
	failed bool
	// storeUnreachable reports that the gateway cannot reach the store.
	storeUnreachable bool
	// addressesSent is when addresses of other gateways were last sent to it.
	addressesSent time.Time
	incarnation   string
	// met reports that the peer has sent messages before the latest one, since it started
	// or was last silent.
	met bool
	// received is the number of the peer's latest suspicion change that this
	// gateway has received. acknowledged is the number of this gateway's latest
	// change that the peer has acknowledged.
	received, acknowledged uint64
	// digest is a hash of what the peer suspects, and differsSince is since when it has
	// differed from that of this gateway; zero if it does not.
	digest       uint64
	differsSince time.Time
}

// update records the state that the peer sent. The acknowledgement in it counts
// only if it refers to self, the incarnation of this gateway.
func (p *peer) update(now time.Time, s *wire.GatewayState, self string) {
	p.met = s.Incarnation == p.incarnation && !p.silent
	p.lastHeard, p.silent, p.storeUnreachable = now, false, s.StoreAway
	if s.Incarnation != p.incarnation {
		p.incarnation, p.received = s.Incarnation, 0
	}
	if s.SuspicionSince <= p.received {
		p.received = max(p.received, s.SuspicionChange)
	}
	p.acknowledged = 0
	if s.SuspicionIncarnation == self {
		p.acknowledged = s.SuspicionHave
	}
}

// due returns the gateways to call now, least recently called first.
func (t *Task) due(now time.Time) []string {
	var out []string
	for address, p := range t.peers {
		t.markSilent(now, address, p)
		if !p.calling && !(p.silent && now.Sub(p.lastCalled) < silentInterval) {
			out = append(out, address)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(t.peers[a].lastCalled.Compare(t.peers[b].lastCalled), cmp.Compare(a, b))
	})
	return out[:min(len(out), callsPerRound(len(t.peers)))]
}

// callsPerRound returns the number of exchanges that a gateway with this many
// peers starts per interval.
func callsPerRound(peers int) int {
	if peers <= fullRatePeers {
		return maxCallsPerRound
	}
	return max(maxCallsPerRound*fullRatePeers/peers, minCallsPerRound)
}

// markSilent marks a gateway as silent if it has not been heard from for
// silentRounds times the expected time between exchanges.
func (t *Task) markSilent(now time.Time, address string, p *peer) {
	if p.silent || now.Sub(p.lastHeard) < t.silentAfter() {
		return
	}
	p.silent = true
	if !p.lastHeard.IsZero() {
		t.Log.Write(event.GatewaySilent, "gateway", address, "heard_ms_ago", now.Sub(p.lastHeard).Milliseconds())
	}
}

// silentAfter returns how long a gateway that runs may not be heard from.
func (t *Task) silentAfter() time.Duration {
	rounds := len(t.peers)/callsPerRound(len(t.peers)) + 1
	return silentRounds * time.Duration(rounds) * exchangeInterval
}

// countGateways counts the gateways that may be sending requests, which includes
// gateways last heard from less than forgetAfter ago. It also returns how many
// other gateways are not silent, and the rank of this one in the order of
// addresses.
func (t *Task) countGateways(now time.Time) placement.Membership {
	g := placement.Membership{Count: 1}
	for address, p := range t.peers {
		if !p.lastHeard.IsZero() && now.Sub(p.lastHeard) < forgetAfter {
			g.Count++
			if !p.silent {
				g.LivePeers++
			}
			if address < t.Self {
				g.Rank++
			}
		}
	}
	return g
}

// watchersBefore returns the number of gateways that are heard from, can reach
// the store, and precede this gateway in the order of addresses. While no gateway
// can reach the store, all of them watch it closely, and each notices by itself
// when the store recovers.
func (t *Task) watchersBefore() int {
	n := 0
	for address, p := range t.peers {
		if !p.silent && !p.lastHeard.IsZero() && !p.storeUnreachable && address < t.Self {
			n++
		}
	}
	return n
}
