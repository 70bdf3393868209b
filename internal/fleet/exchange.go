package fleet

import (
	"context"
	"sync"
	"time"
)

// minExchangeGap is the minimum time between two exchanges triggered by
// ExchangeNow.
const minExchangeGap = 20 * time.Millisecond

// exchangeRound is one immediate exchange with all neighbours. ended is closed
// when all of its calls have ended.
type exchangeRound struct {
	calls sync.WaitGroup
	ended chan struct{}
}

// ExchangeNow exchanges state with all neighbours immediately, instead of with
// some of them in each regular round. Calls within minExchangeGap are merged into
// one exchange. The returned channel is closed when each neighbour has answered
// or failed; it may stay open if the task ends first.
func (t *Task) ExchangeNow() <-chan struct{} {
	t.init()
	t.mu.Lock()
	if t.pendingRound == nil {
		t.pendingRound = &exchangeRound{ended: make(chan struct{})}
	}
	ended := t.pendingRound.ended
	t.mu.Unlock()
	select {
	case t.exchangeRequests <- struct{}{}:
	default:
	}
	return ended
}

// startRound makes the calls of the pending round, if there is one. Only the
// loop goroutine calls it.
func (t *Task) startRound(ctx context.Context) {
	t.mu.Lock()
	r := t.pendingRound
	t.pendingRound = nil
	t.mu.Unlock()
	if r == nil {
		return
	}
	t.activeRound = r
	t.handle(ctx, envelope{message: ExchangeRequested{}})
	t.activeRound = nil
	t.group.Go(func() error {
		r.calls.Wait()
		close(r.ended)
		return nil
	})
}

// trackExchangeCall registers a call that is about to be made with the active
// round, and returns the function to call when the call ends.
func (t *Task) trackExchangeCall() func() {
	r := t.activeRound
	if r == nil {
		return func() {}
	}
	r.calls.Add(1)
	return r.calls.Done
}
