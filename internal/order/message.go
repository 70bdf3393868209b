package order

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// FencingToken numbers an order: the revision of the section upstreams that asks for
// it.
type FencingToken uint64

// Order is an order to load.
type Order struct {
	Load    table.LoadName
	Fencing FencingToken
}

// Message is what the core is told.
type Message interface{ message() }

// Configured tells what the fleet's view says.
type Configured struct {
	// Wanted is what the engine is to hold loaded; empty for no orders.
	Wanted table.LoadName
	// Fencing is the revision of the section upstreams in force.
	Fencing FencingToken
	// OnHold says that no order may be given now.
	OnHold bool
	// Schedule is this sidecar's turn at the weight store.
	Schedule Schedule
}

// HealthChecked tells how the engine answered when it was asked for its health.
type HealthChecked struct {
	// Reached says that it answered.
	Reached bool
	// Instance changes when the engine restarts; empty if it does not say.
	Instance string
	// ReportsLoad says that it tells what it holds loaded.
	ReportsLoad bool
	// Loaded is what it holds loaded; empty for nothing.
	Loaded table.LoadName
}

// Ended tells how the order that was given last ended: OK if the engine took
// it, UpstreamRefused if it has seen a higher number.
type Ended struct{ Code result.Code }

// PauseBegan tells that this process was paused.
type PauseBegan struct{}

// PauseEnded tells that the view is renewed, after it was told as Configured.
type PauseEnded struct{}

// Draining tells that this process stops; it gives no more orders.
type Draining struct{}

// Ticked tells that time has passed.
type Ticked struct{}

func (Configured) message()    {}
func (HealthChecked) message() {}
func (Ended) message()         {}
func (PauseBegan) message()    {}
func (PauseEnded) message()    {}
func (Draining) message()      {}
func (Ticked) message()        {}

// Effect is what the core wants done.
type Effect interface{ effect() }

// SendOrder gives the engine an order. The core waits for its Ended.
type SendOrder struct{ Order Order }

// Accepted reports that the engine took an order.
type Accepted struct{ Order Order }

// Failed reports that an order was not taken.
type Failed struct {
	Order Order
	Code  result.Code
	// RetryAt is when it may be given again; zero for never with this number.
	RetryAt time.Time
}

func (SendOrder) effect() {}
func (Accepted) effect()  {}
func (Failed) effect()    {}
