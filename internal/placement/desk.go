package placement

import (
	"context"
	"sync"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/pkg/result"
)

// tick is how often those who wait are looked at when nothing happens.
const tick = 20 * time.Millisecond

// Desk is a Core and a Budget that many requests may ask at once. Its exported
// fields are set before use.
type Desk struct {
	Core   Core
	Budget Budget
	Log    *event.Log

	mu      sync.Mutex
	next    Ticket
	waiters map[Ticket]chan Effect
}

// Run lets time pass for those who wait, until ctx ends.
func (d *Desk) Run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			d.mu.Lock()
			if d.Core.Waiting() > 0 {
				d.handle(now, Ticked{})
			}
			d.mu.Unlock()
		}
	}
}

// Tell hands a message to the core.
func (d *Desk) Tell(m Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handle(time.Now(), m)
}

func (d *Desk) handle(now time.Time, m Message) {
	for _, e := range d.Core.Handle(now, m) {
		switch e := e.(type) {
		case Grant:
			d.answer(e.Ticket, e)
		case Refuse:
			d.answer(e.Ticket, e)
		case Avoided:
			d.Log.Write(event.UpstreamAvoided, "upstream", e.Upstream, "for_ms", e.For.Milliseconds(), "outcome", e.Outcome)
		}
	}
}

func (d *Desk) answer(t Ticket, e Effect) {
	if w := d.waiters[t]; w != nil {
		w <- e
		delete(d.waiters, t)
	}
}

// Ask waits for an upstream. The error is a *result.Error, or that of ctx.
func (d *Desk) Ask(ctx context.Context, r Request) (Grant, error) {
	answer := make(chan Effect, 1)
	d.mu.Lock()
	if d.waiters == nil {
		d.waiters = make(map[Ticket]chan Effect)
	}
	d.next++
	t := d.next
	d.waiters[t] = answer
	d.handle(time.Now(), Ask{t, r})
	d.mu.Unlock()
	select {
	case e := <-answer:
		return granted(e)
	case <-ctx.Done():
		return d.withdraw(ctx, t, answer)
	}
}

// withdraw ends a wait. A grant that came meanwhile is used up.
func (d *Desk) withdraw(ctx context.Context, t Ticket, answer chan Effect) (Grant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case e := <-answer:
		if g, ok := e.(Grant); ok {
			d.handle(time.Now(), Done{g.Ticket, Left})
		}
	default:
		delete(d.waiters, t)
		d.handle(time.Now(), Withdrawn{t})
	}
	return Grant{}, context.Cause(ctx)
}

func granted(e Effect) (Grant, error) {
	switch e := e.(type) {
	case Grant:
		return e, nil
	case Refuse:
		err := result.Errorf(e.Code, "no upstream has room")
		err.RetryAfter = e.RetryAfter
		return Grant{}, err
	}
	return Grant{}, result.Errorf(result.Internal, "unexpected effect %T", e)
}

// Count notes a caller's request for the budget of repeats.
func (d *Desk) Count(s route.ServiceName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.Budget.Count(time.Now(), s)
}

// MayRepeat takes a repeat from the budget.
func (d *Desk) MayRepeat(s route.ServiceName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Budget.Spend(time.Now(), s, d.Core.divisor())
}

// SetBounds changes the bounds of repeats; it says whether they differ.
func (d *Desk) SetBounds(b RepeatBounds) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Budget.Bounds == b {
		return false
	}
	d.Budget.Bounds = b
	// What was counted in steps of another window says nothing in this one.
	d.Budget.services = nil
	return true
}

// Loads gives what is in flight here, for other gateways.
func (d *Desk) Loads() map[LoadKey]Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Core.Loads()
}
