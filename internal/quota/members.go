package quota

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
)

// A gateway that nobody hears of is still counted for a hold. Two rounds of
// questions among the gateways fit into it.
const (
	minHoldTime        = 10 * time.Second
	holdTimePerGateway = 2 * askInterval
	// settleTime passes between the last answer that was waited for and taking
	// part, so that a burst's worth is refilled when callers come.
	settleTime = time.Second
)

// members are the gateways that limits are divided by.
//
// A gateway takes part once every other that it counts counts it too, or has
// not answered for a hold. One that has lost both the platform and the
// majority of the others for a hold is apart and takes half of its share, as
// others may by then have joined or closed ranks without it.
type members struct {
	// fixedHoldTime is the hold, if it is set.
	fixedHoldTime time.Duration

	started     time.Time
	listed      map[fleet.VMName]bool
	confirmedAt time.Time
	// lastSeen is when a gateway was last on the list or asked to be counted.
	lastSeen map[fleet.VMName]time.Time
	// lastHeard is when a gateway last asked or answered.
	lastHeard map[fleet.VMName]time.Time
	// countedBy holds those that said that they count this gateway.
	countedBy map[fleet.VMName]bool
	joined    bool
	joinedAt  time.Time
	sorted    []fleet.VMName
	// version grows with each change of sorted.
	version uint64
}

func (m *members) init(now time.Time) {
	if m.lastSeen != nil {
		return
	}
	m.started = now
	m.lastSeen = make(map[fleet.VMName]time.Time)
	m.lastHeard = make(map[fleet.VMName]time.Time)
	m.countedBy = make(map[fleet.VMName]bool)
}

func (m *members) holdTime() time.Duration {
	if m.fixedHoldTime > 0 {
		return m.fixedHoldTime
	}
	return minHoldTime + time.Duration(len(m.sorted))*holdTimePerGateway
}

// updateList takes the gateways of the VM updateList, and when the platform was last heard.
func (m *members) updateList(now time.Time, self fleet.VMName, names []fleet.VMName, confirmed time.Time) {
	m.listed = make(map[fleet.VMName]bool, len(names))
	m.confirmedAt = confirmed
	for _, n := range names {
		m.listed[n] = true
		m.lastSeen[n] = now
	}
	m.lastSeen[self] = now
	m.refresh(now, self)
}

// refresh forgets gateways that nobody has heard of for a hold.
func (m *members) refresh(now time.Time, self fleet.VMName) {
	holdTime := m.holdTime()
	names := make([]fleet.VMName, 0, len(m.lastSeen))
	for n, seen := range m.lastSeen {
		if n != self && !m.listed[n] && now.Sub(seen) >= holdTime {
			delete(m.lastSeen, n)
			delete(m.lastHeard, n)
			delete(m.countedBy, n)
			continue
		}
		names = append(names, n)
	}
	slices.Sort(names)
	if !slices.Equal(names, m.sorted) {
		m.sorted = names
		m.version++
	}
	m.tryJoin(now, self)
}

func (m *members) tryJoin(now time.Time, self fleet.VMName) {
	if m.joined || m.listed == nil {
		return
	}
	// Those that do not answer lost touch a round of questions after the start
	// at the latest, and must be apart by now.
	wait := m.holdTime() + m.holdTime()/4
	if len(m.pendingPeers(self)) > 0 && now.Sub(m.started) < wait {
		return
	}
	if m.joinedAt.IsZero() {
		m.joinedAt = now
	}
	m.joined = now.Sub(m.joinedAt) >= settleTime
}

// pendingPeers gives those that have not said that they count this gateway.
func (m *members) pendingPeers(self fleet.VMName) []fleet.VMName {
	var names []fleet.VMName
	for _, n := range m.sorted {
		if n != self && !m.countedBy[n] {
			names = append(names, n)
		}
	}
	return names
}

// count counts gateways that ask for it.
func (m *members) count(now time.Time, self fleet.VMName, names []fleet.VMName) {
	for _, n := range names {
		m.lastSeen[n], m.lastHeard[n] = now, now
	}
	m.refresh(now, self)
}

// answered takes a gateway's word on whether it counts this one.
func (m *members) answered(now time.Time, self, from fleet.VMName, counts bool) {
	m.lastHeard[from] = now
	if counts {
		m.countedBy[from] = true
	}
	m.refresh(now, self)
}

// isolated says that this gateway heard neither of the platform nor of the
// majority of the gateways for a hold.
func (m *members) isolated(now time.Time, self fleet.VMName) bool {
	if now.Sub(m.confirmedAt) < m.holdTime() {
		return false
	}
	reachable := 1
	for _, n := range m.sorted {
		if h, ok := m.lastHeard[n]; ok && n != self && now.Sub(h) < m.holdTime() {
			reachable++
		}
	}
	return len(m.sorted) < 2 || 2*reachable <= len(m.sorted)
}
