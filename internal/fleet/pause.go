package fleet

import (
	"time"

	"jasminewing.dev/jasminewing/internal/event"
)

// detectPause detects a gap in the ticks of this process. It runs before every
// message, because any message may be the first after a pause.
func (c *Core) detectPause() {
	gap := c.now.Sub(c.lastTick)
	if gap <= PauseThreshold {
		return
	}
	c.lastTick = c.now
	c.emit(Report{Event: event.PauseNoticed, Subject: gap.Truncate(time.Millisecond).String()})
	c.pause()
}

// pause stops work until a peer or the configuration service has answered. It
// abandons the calls in progress, because their replies may date from before the
// pause.
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

// tryEndPause ends a pause after the reply to a call that was sent since the
// pause began. confirmed means that the reply came from the configuration service
// or from a peer with a confirmation. Peers that were paused as well know no more
// than this process; their replies count only after allPausedDelay, so that a
// fleet in which all processes were paused can resume. A pause doesn't end while
// values are held back, because those in force may date from before the pause. If the
// service stays silent, this lasts until allPausedDelay after the copy's time is over.
func (c *Core) tryEndPause(sent time.Time, confirmed bool) {
	if !c.paused || sent.Before(c.pausedAt) {
		return
	}
	if c.values.heldBack && (c.now.Sub(c.pausedAt) < allPausedDelay || c.now.Sub(c.values.rewriteEnd()) < allPausedDelay) {
		return
	}
	if confirmed || c.now.Sub(c.pausedAt) >= allPausedDelay {
		c.paused = false
	}
}
