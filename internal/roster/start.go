package roster

import (
	"context"
	"maps"
	"slices"
	"time"
)

const (
	// maxHearingTime bounds how long after its start a gateway takes no turns. With many
	// gateways it hears most of them by then.
	maxHearingTime = 10 * time.Second
	// introductionTime is how long a gateway that starts waits for another one to tell what
	// it suspects. Under load, the table arrived 0.4 s before that.
	introductionTime = 2 * time.Second
)

// publishLivePeers stores the gateways that are not silent for Chosen. A gateway that has just
// started hears few others or none, and would take their turns beside them.
func (t *Task) publishLivePeers(now time.Time) {
	if now.Sub(t.startedAt) < min(t.silentAfter(), maxHearingTime) {
		t.livePeers.Store(nil)
		return
	}
	live := slices.DeleteFunc(slices.Collect(maps.Keys(t.peers)), func(a string) bool { return t.peers[a].silent || t.peers[a].lastHeard.IsZero() })
	t.livePeers.Store(&live)
}

// Introduced reports whether this gateway knows what others suspect, or has waited for it long
// enough, or there is no other to tell it. Until then it would send on requests that all others
// hold back.
func (t *Task) Introduced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.introduced || t.startedAt.IsZero() {
		return t.introduced
	}
	for _, p := range t.peers {
		if !p.failed && time.Since(t.startedAt) < introductionTime {
			return false
		}
	}
	t.introduced = true
	return true
}

func (t *Task) setIntroduced() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.introduced = true
}

// recordFailedCall notes that a call to a gateway failed, unless its time was up.
func (t *Task) recordFailedCall(ctx context.Context, address string) {
	if ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[address].failed = true
}
