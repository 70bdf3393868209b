package measure

import (
	"time"

	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Timing of a sidecar's periodic tasks.
const (
	tickInterval   = 50 * time.Millisecond
	reportInterval = 400 * time.Millisecond
	healthInterval = 250 * time.Millisecond
	healthMisses   = 2
	// reportLag is the age of an engine's own load reports.
	reportLag = time.Second
)

// sidecar is the proxy in front of an engine. Under late binding it simulates a
// sidecar process around the state machine of package admission. Under policies
// that push, it forwards every request, and gateways receive only the engine's
// own reports, which lag by reportLag.
type sidecar struct {
	sim         *simulation
	vm          fleet.VM
	engine      *engine
	core        *admission.Core
	offers      map[admission.OfferID]*attempt
	lastOfferID admission.OfferID
	starvation  starvationTracker

	up           bool
	instance     int
	missedChecks int
	timerOffset  time.Duration
}

func newSidecar(sim *simulation, number int, row table.Upstream) *sidecar {
	const stagger = 7 * time.Millisecond
	sc := &sidecar{
		sim:         sim,
		vm:          vmOf(row),
		engine:      &engine{loop: &sim.loop, row: row, slowdown: 1},
		offers:      make(map[admission.OfferID]*attempt),
		up:          true,
		timerOffset: time.Duration(number) * stagger,
		starvation:  starvationTracker{lowestTier: sim.stats.lowestTier},
	}
	if !sim.policy.pushes() {
		sc.core = &admission.Core{Upstream: row}
	}
	return sc
}

func (sc *sidecar) candidate() dispatch.Candidate {
	return dispatch.Candidate{VM: sc.vm.Name, Upstream: sc.vm.Upstream, Address: sc.vm.Address}
}

func (sim *simulation) sidecar(c dispatch.Candidate) *sidecar {
	for _, sc := range sim.sidecars {
		if sc.vm.Name == c.VM {
			return sc
		}
	}
	return nil
}

func (sc *sidecar) start() {
	sc.report()
	sc.sim.loop.Every(reportInterval, sc.timerOffset, sc.report)
	if sc.core == nil {
		return
	}
	sc.sim.loop.Every(tickInterval, sc.timerOffset, func() { sc.handle(admission.Ticked{}) })
	sc.sim.loop.Every(healthInterval, sc.timerOffset, sc.checkHealth)
}

// report sends the current state to all gateways: the sidecar's state, or the
// engine's own, which arrives reportLag late.
func (sc *sidecar) report() {
	r := dispatch.Report{Limit: sc.engine.row.Limit, InFlight: len(sc.engine.running), Parked: len(sc.engine.waiting)}
	lag := reportLag
	if sc.engine.down {
		r.Refusing = result.UpstreamUnhealthy
	}
	if sc.core != nil {
		s := sc.core.State()
		r = dispatch.Report{Refusing: s.Refusing, Limit: s.Limit, InFlight: s.InFlight, Parked: s.Parked, Cold: s.Cold}
		lag = 0
	}
	for _, g := range sc.sim.gateways {
		sc.sim.loop.After(lag+sc.sim.delay(g, sc), func() { g.pool.SetReport(sc.sim.loop.Now, sc.candidate(), r) })
	}
}

// checkHealth runs the sidecar's health check of its engine.
func (sc *sidecar) checkHealth() {
	if sc.engine.down {
		sc.missedChecks++
		if sc.missedChecks >= healthMisses {
			sc.setHealth(false, sc.instance)
		}
		return
	}
	sc.missedChecks = 0
	sc.setHealth(true, sc.engine.instance)
}

func (sc *sidecar) setHealth(up bool, instance int) {
	if up == sc.up && instance == sc.instance {
		return
	}
	restarted := instance != sc.instance
	sc.up, sc.instance = up, instance
	sc.handle(admission.HealthChanged{Up: up, Restarted: restarted})
}

func (sc *sidecar) configure(out bool) {
	if sc.core != nil {
		sc.handle(admission.Configured{Upstream: sc.engine.row, DataCentreOut: out})
	}
}

// handle passes a message to the state machine of package admission and carries
// out its effects.
func (sc *sidecar) handle(m admission.Message) {
	for _, e := range sc.core.Handle(sc.sim.loop.Now, m) {
		switch e := e.(type) {
		case admission.Grant:
			sc.grant(e.ID)
		case admission.Park:
			a := sc.offers[e.ID]
			a.sendToGateway(dispatch.Parked{Attempt: a.number})
		case admission.Refuse:
			sc.refuse(e)
		case admission.ReportChanged:
			sc.report()
		}
	}
}

func (sc *sidecar) grant(id admission.OfferID) {
	a := sc.offers[id]
	sc.starvation.granted(sc.sim.loop.Now, a.call)
	a.sendToGateway(dispatch.Granted{Attempt: a.number})
}

func (sc *sidecar) refuse(e admission.Refuse) {
	a := sc.offers[e.ID]
	delete(sc.offers, e.ID)
	sc.starvation.remove(a.call)
	a.sendToGateway(dispatch.Refused{Attempt: a.number, Code: e.Code, NotRun: e.Code.Info().NotRun, RetryAfter: e.RetryAfter})
}

// handleOffer handles an offer that arrives at the sidecar.
func (sc *sidecar) handleOffer(a *attempt) {
	sc.lastOfferID++
	a.offerID = sc.lastOfferID
	sc.offers[a.offerID] = a
	sc.starvation.add(a.call)
	sc.handle(admission.Offered{
		ID: a.offerID, Account: a.call.account.Name, Class: a.call.class, Weight: a.call.account.Weight,
		Deadline: a.call.core.Request.Deadline, Arrived: a.call.arrived,
	})
}

func (sc *sidecar) handleWithdrawal(a *attempt) {
	if a.job != nil {
		sc.cancel(a)
		return
	}
	if sc.core == nil || sc.offers[a.offerID] != a {
		return
	}
	delete(sc.offers, a.offerID)
	sc.starvation.remove(a.call)
	sc.handle(admission.Withdrawn{ID: a.offerID})
}

func (sc *sidecar) cancel(a *attempt) {
	sc.engine.cancel(a.job)
	generated := sc.engine.generatedTokens(a.job)
	a.job = nil
	sc.finish(a, admission.Finished{ID: a.offerID, Tokens: generated, Cancelled: true})
}

// handleBody forwards the request if its grant is still valid.
func (sc *sidecar) handleBody(a *attempt) {
	if sc.core != nil {
		sc.handle(admission.BodyReceived{ID: a.offerID})
		if !sc.core.Runs(a.offerID) {
			return
		}
	}
	if a.call.done {
		return
	}
	sc.forward(a)
}

func (sc *sidecar) forward(a *attempt) {
	a.forwardedAt = sc.sim.loop.Now
	a.call.upstream = sc.vm.Upstream
	sc.sim.stats.recordForward(sc)
	a.job = &job{
		tokens:       max(a.call.tokens-a.offset, 1),
		onStart:      func() { a.handleStart() },
		onFirstToken: func() { sc.handleFirstToken(a) },
		onEnd:        func(e outcome) { sc.handleEnd(a, e) },
	}
	sc.engine.add(a.job)
}

func (a *attempt) handleStart() {
	if a.call.startedAt.IsZero() {
		a.call.startedAt = a.call.sim.loop.Now
	}
}

func (sc *sidecar) handleFirstToken(a *attempt) {
	a.firstTokenAt = sc.sim.loop.Now
	a.sendToGateway(dispatch.HeadReceived{Attempt: a.number})
	a.sendToGateway(dispatch.ChunkReceived{Attempt: a.number, Tokens: 1})
	if sc.core != nil {
		sc.handle(admission.FirstTokenReceived{ID: a.offerID, After: a.firstTokenAt.Sub(a.forwardedAt)})
	}
}

// handleEnd handles the end of a job on the engine.
func (sc *sidecar) handleEnd(a *attempt, e outcome) {
	generated := a.job.tokens
	if e != jobCompleted {
		generated = sc.engine.generatedTokens(a.job)
	}
	f := admission.Finished{ID: a.offerID, Clean: e == jobCompleted, Tokens: generated}
	if generated > 1 {
		f.TokenGap = sc.sim.loop.Now.Sub(a.firstTokenAt) / time.Duration(generated-1)
		a.sendToGateway(dispatch.ChunkReceived{Attempt: a.number, Tokens: generated - 1})
	}
	switch e {
	case jobCompleted:
		a.sendToGateway(dispatch.Ended{Attempt: a.number, Complete: true})
	case jobLost:
		a.sendToGateway(dispatch.Ended{Attempt: a.number, Code: result.UpstreamCutOff})
	case jobRefused:
		a.sendToGateway(dispatch.Refused{Attempt: a.number, Code: result.UpstreamUnreached, NotRun: true})
	}
	a.job = nil
	sc.finish(a, f)
}

func (sc *sidecar) finish(a *attempt, f admission.Finished) {
	if sc.core == nil {
		return
	}
	delete(sc.offers, a.offerID)
	sc.handle(f)
}
