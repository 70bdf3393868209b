package order

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// FencingToken numbers an order. It is the revision of the section upstreams that
// asks for the order.
type FencingToken uint64

// Order tells an engine what to load.
type Order struct {
	Load    table.LoadName
	Fencing FencingToken
}

// Message is an input to Core.Handle.
type Message interface{ message() }

// Configured reports the configuration in the fleet's view.
type Configured struct {
	// Wanted is the load that the engine should hold. If it is empty, no order
	// is sent.
	Wanted table.LoadName
	// Fencing is the revision of the section upstreams in force.
	Fencing FencingToken
	// OnHold reports that no order may be sent now.
	OnHold bool
	// Schedule determines this sidecar's time slots at the weight store.
	Schedule Schedule
}

// HealthChecked reports the result of a health check of the engine.
type HealthChecked struct {
	// Reached reports that the engine answered.
	Reached bool
	// Instance changes when the engine restarts. It is empty if the engine does
	// not report it.
	Instance string
	// ReportsLoad is whether the engine reports its load.
	ReportsLoad bool
	// Loaded is the load that the engine reports; empty if it holds none.
	Loaded table.LoadName
}

// Ended reports the result of the last order: OK if the engine accepted it,
// UpstreamRefused if the engine has seen a higher fencing token.
type Ended struct{ Code result.Code }

// PauseBegan reports that this process was paused.
type PauseBegan struct{}

// PauseEnded reports that the view was renewed after a pause. The renewed view is
// sent as Configured before it.
type PauseEnded struct{}

// Draining reports that this process is stopping and sends no more orders.
type Draining struct{}

// Ticked reports that time has passed, so that a load whose time slot has come is
// ordered.
type Ticked struct{}

func (Configured) message()    {}
func (HealthChecked) message() {}
func (Ended) message()         {}
func (PauseBegan) message()    {}
func (PauseEnded) message()    {}
func (Draining) message()      {}
func (Ticked) message()        {}

// Effect is an action that Core.Handle asks its caller to carry out.
type Effect interface{ effect() }

// SendOrder sends the engine an order. Core sends no other until it gets the
// matching Ended.
type SendOrder struct{ Order Order }

// Accepted reports that the engine accepted an order.
type Accepted struct{ Order Order }

// Failed reports that an order was not accepted.
type Failed struct {
	Order Order
	Code  result.Code
	// RetryAt is the earliest time of a retry. It is zero if an order with this
	// fencing token is never retried.
	RetryAt time.Time
}

func (SendOrder) effect() {}
func (Accepted) effect()  {}
func (Failed) effect()    {}
