package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"jasminewing.dev/jasminewing/internal/admission"
)

const (
	// tickInterval is how often time-outs of the core run.
	tickInterval = 50 * time.Millisecond
	// pauseGap is the gap between two ticks that says this process was paused.
	pauseGap = time.Second
	// offerEffects is the most effects that one offer may have waiting: parked,
	// granted, refused.
	offerEffects = 4
	inboxSize    = 1024
)

// letter is a message to the admitter with where its offer's effects go.
type letter struct {
	message admission.Message
	// effects is set for an Offered.
	effects chan admission.Effect
	// accepted is set for a BodyReceived and told whether the grant still stood.
	accepted chan bool
	// pause is set for a PauseEnded: which pause it ends.
	pause int
}

// admitter is the task that owns the admission core.
type admitter struct {
	Core admission.Core
	// Renew is called after a pause, in a task of its own. It calls ended once
	// what this process knows is renewed and the core was told.
	Renew func(ctx context.Context, ended func())
	// Report is told of each state that gateways should hear at once, Count of
	// every state.
	Report, Count func(admission.State)

	inbox  chan letter
	offers map[admission.OfferID]chan admission.Effect
	last   time.Time
	// pauses counts the pauses of this process.
	pauses int
	ids    atomic.Uint64
	ended  chan struct{}
}

func (a *admitter) init() {
	a.inbox = make(chan letter, inboxSize)
	a.offers = make(map[admission.OfferID]chan admission.Effect)
	a.ended = make(chan struct{})
}

// Run owns the core until ctx ends.
func (a *admitter) Run(ctx context.Context) error {
	defer close(a.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	a.last = time.Now()
	a.Report(a.Core.State())
	for {
		select {
		case <-ctx.Done():
			return nil
		case l := <-a.inbox:
			a.notice(ctx)
			a.take(l)
		case <-ticker.C:
			a.notice(ctx)
			a.take(letter{message: admission.Ticked{}})
		}
	}
}

// notice finds out whether this process was paused. If so, the core refuses all
// work until what it knows is renewed: a grant on old knowledge could reach a
// data centre that operators have taken out meanwhile.
func (a *admitter) notice(ctx context.Context) {
	now := time.Now()
	gap := now.Sub(a.last)
	a.last = now
	if gap < pauseGap {
		return
	}
	a.take(letter{message: admission.PauseBegan{}})
	a.pauses++
	pause := a.pauses
	go a.Renew(ctx, func() { a.send(letter{message: admission.PauseEnded{}, pause: pause}) })
}

func (a *admitter) take(l letter) {
	if _, ok := l.message.(admission.PauseEnded); ok && l.pause != a.pauses {
		// Another pause came between the renewal and its word.
		return
	}
	if o, ok := l.message.(admission.Offered); ok {
		a.offers[o.ID] = l.effects
	}
	for _, e := range a.Core.Handle(time.Now(), l.message) {
		a.carryOut(e)
	}
	a.Count(a.Core.State())
	switch m := l.message.(type) {
	case admission.BodyReceived:
		l.accepted <- a.Core.Runs(m.ID)
	case admission.Withdrawn:
		delete(a.offers, m.ID)
	case admission.Finished:
		delete(a.offers, m.ID)
	}
}

func (a *admitter) carryOut(e admission.Effect) {
	switch e := e.(type) {
	case admission.Grant:
		a.tell(e.ID, e)
	case admission.Park:
		a.tell(e.ID, e)
	case admission.Refuse:
		a.tell(e.ID, e)
		delete(a.offers, e.ID)
	case admission.ReportChanged:
		a.Report(e.State)
	}
}

func (a *admitter) tell(id admission.OfferID, e admission.Effect) {
	if c, ok := a.offers[id]; ok {
		c <- e
	}
}

// offer hands an offer in and gives where its effects come.
func (a *admitter) offer(o admission.Offered) (admission.OfferID, <-chan admission.Effect) {
	o.ID = admission.OfferID(a.ids.Add(1))
	c := make(chan admission.Effect, offerEffects)
	a.send(letter{message: o, effects: c})
	return o.ID, c
}

// bodyCame says whether the grant still stands.
func (a *admitter) bodyCame(id admission.OfferID) bool {
	c := make(chan bool, 1)
	a.send(letter{message: admission.BodyReceived{ID: id}, accepted: c})
	select {
	case ok := <-c:
		return ok
	case <-a.ended:
		return false
	}
}

// tellCore hands a message in that has no answer.
func (a *admitter) tellCore(m admission.Message) { a.send(letter{message: m}) }

func (a *admitter) send(l letter) {
	select {
	case a.inbox <- l:
	case <-a.ended:
	}
}
