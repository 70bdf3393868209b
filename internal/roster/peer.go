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
	// heard is when it was last heard from, asked when it was last called; zero for
	// never.
	heard, asked time.Time
	// calling says that an exchange is under way, silent that it is not heard from.
	calling, silent bool
	// away says that the store does not answer it.
	away bool
	// named is when it was last told of other gateways.
	named       time.Time
	incarnation string
	// have is the number of its latest change of a suspicion that is known here,
	// acknowledged that of ours that it knows.
	have, acknowledged uint64
}

// hear notes what the peer says of itself, and of what it knows from this
// incarnation of ours.
func (p *peer) hear(now time.Time, s *wire.GatewayState, self string) {
	p.heard, p.silent, p.away = now, false, s.StoreAway
	if s.Incarnation != p.incarnation {
		p.incarnation, p.have = s.Incarnation, 0
	}
	if s.SuspicionSince <= p.have {
		p.have = max(p.have, s.SuspicionChange)
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
		t.age(now, address, p)
		if !p.calling && !(p.silent && now.Sub(p.asked) < silentInterval) {
			out = append(out, address)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(t.peers[a].asked.Compare(t.peers[b].asked), cmp.Compare(a, b))
	})
	return out[:min(len(out), calls(len(t.peers)))]
}

// calls gives how many exchanges are begun in an interval with so many peers.
func calls(peers int) int {
	if peers <= manyPeers {
		return callsARound
	}
	return max(callsARound*manyPeers/peers, callsLeast)
}

// age marks a gateway that is no longer heard from.
func (t *Task) age(now time.Time, address string, p *peer) {
	rounds := len(t.peers)/calls(len(t.peers)) + 1
	if p.silent || now.Sub(p.heard) < silentRounds*time.Duration(rounds)*interval {
		return
	}
	p.silent = true
	if !p.heard.IsZero() {
		t.Log.Write(event.GatewaySilent, "gateway", address, "heard_ms_ago", now.Sub(p.heard).Milliseconds())
	}
}

// counted gives the gateways that may be sending, in the order of addresses.
func (t *Task) counted(now time.Time) placement.Membership {
	g := placement.Membership{Count: 1}
	for address, p := range t.peers {
		if !p.heard.IsZero() && now.Sub(p.heard) < forgetAfter {
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

// before gives the number of gateways that are heard from, that the store answers
// and that come before this one in the order of addresses. While the store answers
// none, all watch it closely, and each sees for itself when it is back.
func (t *Task) before() int {
	n := 0
	for address, p := range t.peers {
		if !p.silent && !p.heard.IsZero() && !p.away && address < t.Self {
			n++
		}
	}
	return n
}
