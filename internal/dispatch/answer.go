package dispatch

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
)

func (a *Attempts) head(m HeadCame) []Effect {
	if !a.isCurrent(m.Attempt) || a.headGiven {
		return nil
	}
	if !a.Request.Streamed {
		a.kept = true
		return []Effect{GiveHead{Status: m.Status}}
	}
	a.headGiven = true
	return []Effect{GiveHead{Status: m.Status}}
}

func (a *Attempts) chunk(m ChunkCame) []Effect {
	if !a.isCurrent(m.Attempt) {
		return nil
	}
	if a.Request.Streamed {
		a.given += m.Tokens
	}
	a.kept = !a.Request.Streamed
	return []Effect{GiveChunk{}}
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
	return a.again(now, m.Code, RetryIncomplete)
}
