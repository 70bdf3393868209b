package fleet

import (
	"context"
	"sync"
	"time"
)

// spreadGap is the least time between two exchanges that Spread asks for.
const spreadGap = 20 * time.Millisecond

// spreadRound is one exchange with all neighbours.
type spreadRound struct {
	calls sync.WaitGroup
	ended chan struct{}
}

// Spread tells all neighbours now, rather than some with each round, what is
// shared with them. Calls that come close together are one exchange. The
// channel is closed when each neighbour has answered or failed; it may stay open
// when the task ends.
func (t *Task) Spread() <-chan struct{} {
	t.init()
	t.mu.Lock()
	if t.pendingSpread == nil {
		t.pendingSpread = &spreadRound{ended: make(chan struct{})}
	}
	ended := t.pendingSpread.ended
	t.mu.Unlock()
	select {
	case t.spreadRequests <- struct{}{}:
	default:
	}
	return ended
}

// spread makes the calls of what was asked for. Only the loop calls it.
func (t *Task) spread(ctx context.Context) {
	t.mu.Lock()
	r := t.pendingSpread
	t.pendingSpread = nil
	t.mu.Unlock()
	if r == nil {
		return
	}
	t.activeSpread = r
	t.handle(ctx, envelope{message: SpreadAsked{}})
	t.activeSpread = nil
	t.group.Go(func() error {
		r.calls.Wait()
		close(r.ended)
		return nil
	})
}

// trackSpreadCall gives what a call that is about to be made must call at its end.
func (t *Task) trackSpreadCall() func() {
	r := t.activeSpread
	if r == nil {
		return func() {}
	}
	r.calls.Add(1)
	return r.calls.Done
}
