package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"jasminewing.dev/jasminewing/internal/admission"
)

const (
	// tickInterval is the interval at which the admission core and the order core
	// check their timeouts.
	tickInterval = 50 * time.Millisecond
	// pauseGap is the minimum time between two wake-ups of a task that counts as a
	// pause of this process.
	pauseGap = time.Second
	// offerEffects is the capacity of an offer's channel of effects, enough for all
	// effects that one offer may receive: parked, granted, refused.
	offerEffects = 4
	inboxSize    = 1024
)

// envelope carries a message to the admitter, with the channels for its replies.
type envelope struct {
	message admission.Message
	// effects is set for an Offered and receives the effects of the offer.
	effects chan admission.Effect
	// accepted is set for a BodyReceived and receives whether the grant was still
	// valid.
	accepted chan bool
	// pause is set for a PauseEnded and is the number of the pause that it ends.
	pause int
}

// admitter is the task that owns the admission core.
type admitter struct {
	Core admission.Core
	// Renew is called in its own goroutine after a pause. It calls ended once this
	// process has renewed its view and passed it to the core.
	Renew func(ctx context.Context, ended func())
	// PublishState is called with each state that gateways should receive at once,
	// StoreState with every state.
	PublishState, StoreState func(admission.State)

	inbox    chan envelope
	offers   map[admission.OfferID]chan admission.Effect
	lastWake time.Time
	// pauses counts the detected pauses of this process.
	pauses int
	ids    atomic.Uint64
	ended  chan struct{}
}

func (a *admitter) init() {
	a.inbox = make(chan envelope, inboxSize)
	a.offers = make(map[admission.OfferID]chan admission.Effect)
	a.ended = make(chan struct{})
}

// Run runs the core until ctx is done.
func (a *admitter) Run(ctx context.Context) error {
	defer close(a.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	a.lastWake = time.Now()
	a.PublishState(a.Core.State())
	for {
		select {
		case <-ctx.Done():
			return nil
		case env := <-a.inbox:
			a.detectPause(ctx)
			a.handle(env)
		case <-ticker.C:
			a.detectPause(ctx)
			a.handle(envelope{message: admission.Ticked{}})
		}
	}
}

// detectPause checks whether this process was paused. If so, the core refuses all
// work until the view is renewed, because a grant based on stale data could send
// work to a data centre that operators have taken out of service in the meantime.
func (a *admitter) detectPause(ctx context.Context) {
	now := time.Now()
	gap := now.Sub(a.lastWake)
	a.lastWake = now
	if gap < pauseGap {
		return
	}
	a.handle(envelope{message: admission.PauseBegan{}})
	a.pauses++
	pause := a.pauses
	go a.Renew(ctx, func() { a.send(envelope{message: admission.PauseEnded{}, pause: pause}) })
}

func (a *admitter) handle(env envelope) {
	if _, ok := env.message.(admission.PauseEnded); ok && env.pause != a.pauses {
		// Another pause began after this renewal, so its result is stale.
		return
	}
	if o, ok := env.message.(admission.Offered); ok {
		a.offers[o.ID] = env.effects
	}
	for _, e := range a.Core.Handle(time.Now(), env.message) {
		a.carryOut(e)
	}
	a.StoreState(a.Core.State())
	switch m := env.message.(type) {
	case admission.BodyReceived:
		env.accepted <- a.Core.Runs(m.ID)
	case admission.Withdrawn:
		delete(a.offers, m.ID)
	case admission.Finished:
		delete(a.offers, m.ID)
	}
}

func (a *admitter) carryOut(e admission.Effect) {
	switch e := e.(type) {
	case admission.Grant:
		a.deliver(e.ID, e)
	case admission.Park:
		a.deliver(e.ID, e)
	case admission.Refuse:
		a.deliver(e.ID, e)
		delete(a.offers, e.ID)
	case admission.ReportChanged:
		a.PublishState(e.State)
	}
}

func (a *admitter) deliver(id admission.OfferID, e admission.Effect) {
	if c, ok := a.offers[id]; ok {
		c <- e
	}
}

// offer submits an offer to the core and returns its ID and the channel of its
// effects.
func (a *admitter) offer(o admission.Offered) (admission.OfferID, <-chan admission.Effect) {
	o.ID = admission.OfferID(a.ids.Add(1))
	c := make(chan admission.Effect, offerEffects)
	a.send(envelope{message: o, effects: c})
	return o.ID, c
}

// bodyReceived reports to the core that the body has arrived, and returns whether
// the grant is still valid.
func (a *admitter) bodyReceived(id admission.OfferID) bool {
	c := make(chan bool, 1)
	a.send(envelope{message: admission.BodyReceived{ID: id}, accepted: c})
	select {
	case ok := <-c:
		return ok
	case <-a.ended:
		return false
	}
}

// notifyCore sends the core a message that has no reply.
func (a *admitter) notifyCore(m admission.Message) { a.send(envelope{message: m}) }

func (a *admitter) send(env envelope) {
	select {
	case a.inbox <- env:
	case <-a.ended:
	}
}
