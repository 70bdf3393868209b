package dispatch

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
)

func (a *Attempts) headReceived(m HeadReceived) []Effect {
	if !a.isCurrent(m.Attempt) || a.headForwarded {
		return nil
	}
	if !a.Request.Streamed {
		a.buffered = true
		return []Effect{ForwardHead{Status: m.Status}}
	}
	a.headForwarded = true
	return []Effect{ForwardHead{Status: m.Status}}
}

func (a *Attempts) chunkReceived(m ChunkReceived) []Effect {
	if !a.isCurrent(m.Attempt) {
		return nil
	}
	if a.Request.Streamed {
		a.forwarded += m.Tokens
	}
	a.buffered = !a.Request.Streamed
	return []Effect{ForwardChunk{}}
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
