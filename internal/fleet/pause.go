package fleet

import (
	"time"

	"jasminewing.dev/jasminewing/internal/event"
)

// detectPause finds a gap in the own ticks, whichever message comes first.
func (c *Core) detectPause() {
	gap := c.now.Sub(c.lastTick)
	if gap <= PauseThreshold {
		return
	}
	c.lastTick = c.now
	c.emit(Report{Event: event.PauseNoticed, Subject: gap.Truncate(time.Millisecond).String()})
	c.pause()
}

// pause holds work back until somebody is heard. Calls that were under way
// before are not waited for: their answers may be as old as the pause.
func (c *Core) pause() {
	c.paused = true
	c.pausedAt = c.now
	c.sync.pulling, c.sync.nextPull = "", ""
	clear(c.peers.failed)
	c.config.calling, c.vms.calling = false, false
	c.reader.fetching = ""
	c.renew()
}

func (c *Core) renew() {
	if c.hasNoPeers() && c.config.failures > 0 && c.now.Sub(c.pausedAt) >= allPausedDelay {
		c.paused = false
		return
	}
	if c.now.Sub(c.renewedAt) < renewInterval {
		return
	}
	c.renewedAt = c.now
	for _, a := range c.choose(probeCount) {
		c.probe(a, nil)
	}
	c.read()
}

// endPause ends a pause on the word of a peer or the service that was asked after
// it. Peers that were paused as well know no more than this process; their
// word counts after a while, lest a fleet that was paused whole stays so.
func (c *Core) endPause(sent time.Time, confirmed bool) {
	if !c.paused || sent.Before(c.pausedAt) {
		return
	}
	if confirmed || c.now.Sub(c.pausedAt) >= allPausedDelay {
		c.paused = false
	}
}
