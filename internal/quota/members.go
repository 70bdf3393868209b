package quota

import (
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
)

// A gateway is still counted for a hold time after it was last listed or asked to
// be counted. The hold time is long enough for two rounds of asking all gateways.
const (
	minHoldTime        = 10 * time.Second
	holdTimePerGateway = 2 * askInterval
	// settleTime is the time between the last answer that was awaited and joining,
	// so that the buckets have refilled for a burst when requests arrive.
	settleTime = time.Second
)

// members tracks the gateways among which limits are divided.
//
// A gateway joins once every gateway that it counts counts it too. It waits for
// missing answers for at most 1.25 hold times after its start. A gateway that has
// lost contact with the platform for the hold time, and reaches no majority of the
// gateways that it counts, itself included, is isolated and uses half of its
// share, because by then others may have joined or may have divided its share
// among themselves.
type members struct {
	// fixedHoldTime is the configured hold time; zero selects the default.
	fixedHoldTime time.Duration

	started     time.Time
	listed      map[fleet.VMName]bool
	confirmedAt time.Time
	// lastSeen is when a gateway was last on the VM list or asked to be counted.
	lastSeen map[fleet.VMName]time.Time
	// lastHeard is when a gateway last asked to be counted or answered.
	lastHeard map[fleet.VMName]time.Time
	// countedBy holds the gateways that answered that they count this gateway.
	countedBy map[fleet.VMName]bool
	joined    bool
	joinedAt  time.Time
	sorted    []fleet.VMName
	// version is incremented with each change of sorted.
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

// updateList sets the gateways of the VM list, and the time at which the platform
// last confirmed the list.
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

// refresh removes gateways that were not seen for the hold time.
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
	// A gateway that does not answer lost contact at most one round of asking
	// after this gateway started, so it is isolated after this wait.
	wait := m.holdTime() + m.holdTime()/4
	if len(m.pendingPeers(self)) > 0 && now.Sub(m.started) < wait {
		return
	}
	if m.joinedAt.IsZero() {
		m.joinedAt = now
	}
	m.joined = now.Sub(m.joinedAt) >= settleTime
}

// pendingPeers returns the gateways that have not answered that they count this
// gateway.
func (m *members) pendingPeers(self fleet.VMName) []fleet.VMName {
	var names []fleet.VMName
	for _, n := range m.sorted {
		if n != self && !m.countedBy[n] {
			names = append(names, n)
		}
	}
	return names
}

// count records that the named gateways asked to be counted.
func (m *members) count(now time.Time, self fleet.VMName, names []fleet.VMName) {
	for _, n := range names {
		m.lastSeen[n], m.lastHeard[n] = now, now
	}
	m.refresh(now, self)
}

// answered records an answer of another gateway; counts is whether it counts this
// gateway.
func (m *members) answered(now time.Time, self, from fleet.VMName, counts bool) {
	m.lastHeard[from] = now
	if counts {
		m.countedBy[from] = true
	}
	m.refresh(now, self)
}

// isolated reports whether, within the hold time, this gateway heard neither from
// the platform nor from enough gateways to form a majority with them. A gateway
// that counts no other one is isolated as soon as it has lost the platform.
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
