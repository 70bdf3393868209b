package fleet

import (
	"context"
	"sync"
	"time"
)

// spreadGap is the minimum time between two exchanges triggered by Spread.
const spreadGap = 20 * time.Millisecond

// spreadRound is one exchange with all neighbours. ended is closed when all of
// its calls have ended.
type spreadRound struct {
	calls sync.WaitGroup
	ended chan struct{}
}

// Spread exchanges state with all neighbours immediately, instead of with some of
// them in each regular round. Calls within spreadGap are merged into one
// exchange. The returned channel is closed when each neighbour has answered or
// failed; it may stay open if the task ends first.
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

// spread makes the calls of the pending spread, if there is one. Only the loop
// goroutine calls it.
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

// trackSpreadCall registers a call that is about to be made with the active
// spread, and returns the function to call when the call ends.
func (t *Task) trackSpreadCall() func() {
	r := t.activeSpread
	if r == nil {
		return func() {}
	}
	r.calls.Add(1)
	return r.calls.Done
}
