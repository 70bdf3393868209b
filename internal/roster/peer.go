package roster

import (
	"cmp"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/wire"
)

// peer is another gateway.
type peer struct {
	// lastHeard is when it was last lastHeard from, lastCalled when it was last called; zero for
	// never.
	lastHeard, lastCalled time.Time
	// calling says that an exchange is under way, silent that it is not heard from.
	calling, silent bool
	// storeUnreachable says that the store does not answer it.
	storeUnreachable bool
	// addressesSent is when it was last told of other gateways.
	addressesSent time.Time
	incarnation   string
	// received is the number of its latest change of a suspicion that is known here,
	// acknowledged that of ours that it knows.
	received, acknowledged uint64
}

// update notes what the peer says of itself, and of what it knows from this
// incarnation of ours.
func (p *peer) update(now time.Time, s *wire.GatewayState, self string) {
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

// due gives the gateways to call now: those that were asked longest ago.
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

// callsPerRound gives how many exchanges are begun in an interval with so many peers.
func callsPerRound(peers int) int {
	if peers <= manyPeers {
		return maxCallsPerRound
	}
	return max(maxCallsPerRound*manyPeers/peers, callsLeast)
}

// markSilent marks a gateway that is no longer heard from.
func (t *Task) markSilent(now time.Time, address string, p *peer) {
	rounds := len(t.peers)/callsPerRound(len(t.peers)) + 1
	if p.silent || now.Sub(p.lastHeard) < silentRounds*time.Duration(rounds)*exchangeInterval {
		return
	}
	p.silent = true
	if !p.lastHeard.IsZero() {
		t.Log.Write(event.GatewaySilent, "gateway", address, "heard_ms_ago", now.Sub(p.lastHeard).Milliseconds())
	}
}

// countGateways gives the gateways that may be sending, in the order of addresses.
func (t *Task) countGateways(now time.Time) placement.Gateways {
	g := placement.Gateways{Count: 1}
	for address, p := range t.peers {
		if !p.lastHeard.IsZero() && now.Sub(p.lastHeard) < forgetAfter {
			g.Count++
			if !p.silent {
				g.Others++
			}
			if address < t.Self {
				g.Rank++
			}
		}
	}
	return g
}

// watchersBefore gives the number of gateways that are heard from, that the store answers
// and that come watchersBefore this one in the order of addresses. While the store answers
// none, all watch it closely, and each sees for itself when it is back.
func (t *Task) watchersBefore() int {
	n := 0
	for address, p := range t.peers {
		if !p.silent && !p.lastHeard.IsZero() && !p.storeUnreachable && address < t.Self {
			n++
		}
	}
	return n
}
