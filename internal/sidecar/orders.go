package sidecar

import (
	"context"
	"sync"
	"time"

	"jasminewing.dev/jasminewing/internal/engine"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/order"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// loadOrder begins an order to load; what to load follows.
const loadOrder = "load "

// OrderTaker takes orders.
type OrderTaker interface {
	Order(ctx context.Context, o engine.Order) error
}

// Orders is the task that owns the order core: the only one that gives the
// engine orders. Its exported fields are set before Init.
type Orders struct {
	Core   order.Core
	Fleet  Fleet
	Engine OrderTaker
	Log    *event.Log
	VM     fleet.VMName
	// UpstreamName is the sidecar's row.
	UpstreamName table.UpstreamName

	count func(result.Code)
	// look asks the engine for its health, which an order may change at once.
	look  func(ctx context.Context)
	inbox chan orderLetter
	last  time.Time
	// pauses counts the pauses of this process.
	pauses int
	calls  sync.WaitGroup
	ended  chan struct{}
}

// orderLetter is a message to the core.
type orderLetter struct {
	message order.Message
	// pause is set for a PauseEnded: which pause it ends.
	pause int
}

// Init makes the task ready to take messages.
func (o *Orders) Init() {
	o.inbox = make(chan orderLetter, inboxSize)
	o.ended = make(chan struct{})
}

// Run owns the core until ctx ends.
func (o *Orders) Run(ctx context.Context) error {
	defer o.calls.Wait()
	defer close(o.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	o.last = time.Now()
	changed := o.Fleet.Changed()
	o.take(ctx, o.view())
	for {
		select {
		case <-ctx.Done():
			return nil
		case l := <-o.inbox:
			o.notice(ctx)
			o.receive(ctx, l)
		case <-changed:
			o.notice(ctx)
			o.take(ctx, o.view())
		case <-ticker.C:
			o.notice(ctx)
			o.take(ctx, order.Ticked{})
		}
	}
}

// notice finds out whether this process was paused. If so, no order is given
// until the view is renewed.
func (o *Orders) notice(ctx context.Context) {
	now := time.Now()
	gap := now.Sub(o.last)
	o.last = now
	if gap < pauseGap {
		return
	}
	o.take(ctx, order.PauseBegan{})
	o.pauses++
	o.calls.Add(1)
	go o.renew(ctx, o.pauses)
}

func (o *Orders) renew(ctx context.Context, pause int) {
	defer o.calls.Done()
	for o.Fleet.Renew(ctx) != nil {
		if ctx.Err() != nil {
			return
		}
	}
	o.send(orderLetter{message: order.PauseEnded{}, pause: pause})
}

// receive takes a letter. At the end of a pause the core is told the renewed
// view first, so that an order which was pending is not given after its row has
// changed.
func (o *Orders) receive(ctx context.Context, l orderLetter) {
	if _, ok := l.message.(order.PauseEnded); ok {
		if l.pause != o.pauses {
			return
		}
		o.take(ctx, o.view())
	}
	o.take(ctx, l.message)
}

// view gives what the view in force says of the row.
func (o *Orders) view() order.Message {
	v := o.Fleet.View()
	if v.Table == nil {
		return order.Configured{OnHold: true}
	}
	place, listed := order.ScheduleFor(v, o.VM)
	return order.Configured{
		Wanted:   v.Table.Upstreams[o.UpstreamName].Load,
		Fencing:  order.FencingToken(v.Table.UpstreamsRevision),
		OnHold:   !listed || !v.Ready || v.Paused,
		Schedule: place,
	}
}

// noteHealth tells the core how the engine answered.
func (o *Orders) noteHealth(h engine.Health, err error) {
	o.send(orderLetter{message: order.HealthChecked{
		Reached: err == nil, Instance: h.Instance, ReportsLoad: h.ReportsLoaded, Loaded: h.Loaded,
	}})
}

// Drain gives no more orders.
func (o *Orders) Drain() { o.send(orderLetter{message: order.Draining{}}) }

func (o *Orders) send(l orderLetter) {
	select {
	case o.inbox <- l:
	case <-o.ended:
	}
}

func (o *Orders) take(ctx context.Context, m order.Message) {
	for _, e := range o.Core.Handle(time.Now(), m) {
		o.carryOut(ctx, e)
	}
}

func (o *Orders) carryOut(ctx context.Context, e order.Effect) {
	switch e := e.(type) {
	case order.SendOrder:
		o.calls.Add(1)
		go o.give(ctx, e.Order, time.Now())
	case order.Accepted:
		o.count(result.OK)
		o.Log.Write(event.OrderGiven, "upstream", o.UpstreamName, "load", e.Order.Load, "fencing", e.Order.Fencing)
	case order.Failed:
		o.count(e.Code)
		again := "with a newer table"
		if !e.RetryAt.IsZero() {
			again = e.RetryAt.Format(time.RFC3339)
		}
		o.Log.Write(event.OrderFailed, "upstream", o.UpstreamName, "load", e.Order.Load, "fencing", e.Order.Fencing,
			"code", int(e.Code), "again", again)
	}
}

// give gives the engine an order that was decided on at a time, unless this
// process was paused since: then the row may have changed.
func (o *Orders) give(ctx context.Context, d order.Order, decided time.Time) {
	defer o.calls.Done()
	code := result.Paused
	if time.Since(decided) < pauseGap {
		code = result.CodeOf(o.Engine.Order(ctx, engine.Order{
			Order:   loadOrder + string(d.Load),
			Fencing: engine.FencingToken(d.Fencing),
		}))
	}
	if code == result.OK {
		o.look(ctx)
	}
	o.send(orderLetter{message: order.Ended{Code: code}})
}
