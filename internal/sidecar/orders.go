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

// loadOrderPrefix is the prefix of a load order; the name of the load follows.
const loadOrderPrefix = "load "

// OrderSender sends orders to the engine.
type OrderSender interface {
	Order(ctx context.Context, o engine.Order) error
}

// Orders is the task that owns the order core. No other task sends orders to the
// engine. The exported fields must be set before Init.
type Orders struct {
	Core   order.Core
	Fleet  Fleet
	Engine OrderSender
	Log    *event.Log
	VM     fleet.VMName
	// UpstreamName names the sidecar's row in the table.
	UpstreamName table.UpstreamName

	count func(result.Code)
	// checkHealth polls the engine's health, which an order may change at once.
	checkHealth func(ctx context.Context)
	inbox       chan orderEnvelope
	lastWake    time.Time
	// pauses counts the detected pauses of this process.
	pauses int
	calls  sync.WaitGroup
	ended  chan struct{}
}

// orderEnvelope carries a message to the core.
type orderEnvelope struct {
	message order.Message
	// pause is set for a PauseEnded and is the number of the pause that it ends.
	pause int
}

// Init prepares the task to receive messages.
func (o *Orders) Init() {
	o.inbox = make(chan orderEnvelope, inboxSize)
	o.ended = make(chan struct{})
}

// Run runs the core until ctx is done.
func (o *Orders) Run(ctx context.Context) error {
	defer o.calls.Wait()
	defer close(o.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	o.lastWake = time.Now()
	changed := o.Fleet.Changed()
	o.handle(ctx, o.configuration())
	for {
		select {
		case <-ctx.Done():
			return nil
		case env := <-o.inbox:
			o.detectPause(ctx)
			o.receive(ctx, env)
		case <-changed:
			o.detectPause(ctx)
			o.handle(ctx, o.configuration())
		case <-ticker.C:
			o.detectPause(ctx)
			o.handle(ctx, order.Ticked{})
		}
	}
}

// detectPause checks whether this process was paused. If so, no order is sent
// until the view is renewed.
func (o *Orders) detectPause(ctx context.Context) {
	now := time.Now()
	gap := now.Sub(o.lastWake)
	o.lastWake = now
	if gap < pauseGap {
		return
	}
	o.handle(ctx, order.PauseBegan{})
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
	o.send(orderEnvelope{message: order.PauseEnded{}, pause: pause})
}

// receive handles a message from the inbox. At the end of a pause it first passes
// the renewed configuration to the core, so that a pending order is not sent if
// its row has changed.
func (o *Orders) receive(ctx context.Context, env orderEnvelope) {
	if _, ok := env.message.(order.PauseEnded); ok {
		if env.pause != o.pauses {
			return
		}
		o.handle(ctx, o.configuration())
	}
	o.handle(ctx, env.message)
}

// configuration returns the sidecar's row according to the current view.
func (o *Orders) configuration() order.Message {
	v := o.Fleet.View()
	if v.Table == nil {
		return order.Configured{OnHold: true}
	}
	schedule, listed := order.ScheduleFor(v, o.VM)
	return order.Configured{
		Wanted:   v.Table.Upstreams[o.UpstreamName].Load,
		Fencing:  order.FencingToken(v.Table.UpstreamsRevision),
		OnHold:   !listed || !v.Ready || v.Paused,
		Schedule: schedule,
	}
}

// healthChecked reports the result of a health check to the core.
func (o *Orders) healthChecked(h engine.Health, err error) {
	o.send(orderEnvelope{message: order.HealthChecked{
		Reached: err == nil, Instance: h.Instance, ReportsLoad: h.ReportsLoad, Loaded: h.Loaded,
	}})
}

// Drain stops the sending of orders.
func (o *Orders) Drain() { o.send(orderEnvelope{message: order.Draining{}}) }

func (o *Orders) send(env orderEnvelope) {
	select {
	case o.inbox <- env:
	case <-o.ended:
	}
}

func (o *Orders) handle(ctx context.Context, m order.Message) {
	for _, e := range o.Core.Handle(time.Now(), m) {
		o.carryOut(ctx, e)
	}
}

func (o *Orders) carryOut(ctx context.Context, e order.Effect) {
	switch e := e.(type) {
	case order.SendOrder:
		o.calls.Add(1)
		go o.sendOrder(ctx, e.Order, time.Now())
	case order.Accepted:
		o.count(result.OK)
		o.Log.Write(event.OrderGiven, "upstream", o.UpstreamName, "load", e.Order.Load, "fencing", e.Order.Fencing)
	case order.Failed:
		o.count(e.Code)
		nextAttempt := "with a newer table"
		if !e.RetryAt.IsZero() {
			nextAttempt = e.RetryAt.Format(time.RFC3339)
		}
		o.Log.Write(event.OrderFailed, "upstream", o.UpstreamName, "load", e.Order.Load, "fencing", e.Order.Fencing,
			"code", int(e.Code), "again", nextAttempt)
	}
}

// sendOrder sends an order to the engine, unless this process was paused since
// the decision, because the row may have changed during the pause.
func (o *Orders) sendOrder(ctx context.Context, d order.Order, decided time.Time) {
	defer o.calls.Done()
	code := result.Paused
	if time.Since(decided) < pauseGap {
		code = result.CodeOf(o.Engine.Order(ctx, engine.Order{
			Order:   loadOrderPrefix + string(d.Load),
			Fencing: engine.FencingToken(d.Fencing),
		}))
	}
	if code == result.OK {
		o.checkHealth(ctx)
	}
	o.send(orderEnvelope{message: order.Ended{Code: code}})
}
