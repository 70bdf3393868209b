package dispatch

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
)

func (a *Attempts) headReceived(now time.Time, m HeadReceived) []Effect {
	if !a.isCurrent(m.Attempt) {
		return nil
	}
	effects := a.heard(now)
	if a.headForwarded {
		return effects
	}
	if a.Request.Streamed {
		a.headForwarded = true
	} else {
		a.buffered = true
	}
	return append(effects, ForwardHead{Status: m.Status})
}

func (a *Attempts) chunkReceived(now time.Time, m ChunkReceived) []Effect {
	if !a.isCurrent(m.Attempt) {
		return nil
	}
	effects := a.heard(now)
	if a.Request.Streamed {
		a.forwarded += m.Tokens
	}
	a.buffered = !a.Request.Streamed
	return append(effects, ForwardChunk{})
}

// heard notes that a part of the current attempt's answer has arrived. If the
// attempt was being replaced, it no longer is.
func (a *Attempts) heard(now time.Time) []Effect {
	a.lastHeard = now
	if !a.replacing {
		return nil
	}
	a.replacing = false
	return a.withdrawOthers(a.current)
}

func (a *Attempts) isCurrent(n AttemptNumber) bool {
	return a.phase == sent && n == a.current
}

func (a *Attempts) ended(now time.Time, m Ended) []Effect {
	if !a.isCurrent(m.Attempt) {
		return nil
	}
	delete(a.open, m.Attempt)
	if m.Complete {
		return a.finish(Finish{Code: result.OK})
	}
	return a.retry(now, m.Code, RetryIncomplete)
}
