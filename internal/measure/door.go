package measure

import (
	"time"

	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Intervals of a sidecar.
const (
	tickInterval   = 50 * time.Millisecond
	reportInterval = 400 * time.Millisecond
	healthInterval = 250 * time.Millisecond
	healthMisses   = 2
	// reportLag is the age of the engine's own load reports.
	reportLag = time.Second
)

// door stands before an engine. For late binding it is a sidecar round the core
// of package admission; for push it passes everything on, and only the engine's
// own lagging reports are known of it.
type door struct {
	world  *world
	vm     fleet.VM
	engine *engine
	core   *admission.Core
	offers map[admission.OfferID]*attempt
	next   admission.OfferID
	passes passes

	up       bool
	instance int
	misses   int
	offset   time.Duration
}

func newDoor(w *world, number int, row table.Upstream) *door {
	const spread = 7 * time.Millisecond
	d := &door{
		world:  w,
		vm:     vmOf(row),
		engine: &engine{loop: &w.loop, row: row, slow: 1},
		offers: make(map[admission.OfferID]*attempt),
		up:     true,
		offset: time.Duration(number) * spread,
		passes: passes{lowest: w.score.lowest},
	}
	if !w.policy.pushes() {
		d.core = &admission.Core{Upstream: row}
	}
	return d
}

func (d *door) candidate() dispatch.Candidate {
	return dispatch.Candidate{VM: d.vm.Name, Upstream: d.vm.Upstream, Address: d.vm.Address}
}

func (w *world) door(c dispatch.Candidate) *door {
	for _, d := range w.doors {
		if d.vm.Name == c.VM {
			return d
		}
	}
	return nil
}

func (d *door) start() {
	d.report()
	d.world.loop.every(reportInterval, d.offset, d.report)
	if d.core == nil {
		return
	}
	d.world.loop.every(tickInterval, d.offset, func() { d.handle(admission.Ticked{}) })
	d.world.loop.every(healthInterval, d.offset, d.askHealth)
}

// report tells all gateways of the state of now: the sidecar's, or the
// engine's own, which comes late.
func (d *door) report() {
	r := dispatch.Report{Limit: d.engine.row.Limit, InFlight: len(d.engine.running), Parked: len(d.engine.waiting)}
	lag := reportLag
	if d.engine.down {
		r.Refusing = result.UpstreamUnhealthy
	}
	if d.core != nil {
		s := d.core.State()
		r = dispatch.Report{Refusing: s.Refusing, Limit: s.Limit, InFlight: s.InFlight, Parked: s.Parked, Cold: s.Cold}
		lag = 0
	}
	for _, g := range d.world.gateways {
		d.world.loop.after(lag+d.world.delay(g, d), func() { g.pool.SetReport(d.world.loop.now, d.candidate(), r) })
	}
}

// askHealth is the sidecar's look at its engine.
func (d *door) askHealth() {
	if d.engine.down {
		d.misses++
		if d.misses >= healthMisses {
			d.noteHealth(false, d.instance)
		}
		return
	}
	d.misses = 0
	d.noteHealth(true, d.engine.instance)
}

func (d *door) noteHealth(up bool, instance int) {
	if up == d.up && instance == d.instance {
		return
	}
	restarted := instance != d.instance
	d.up, d.instance = up, instance
	d.handle(admission.HealthChanged{Up: up, Restarted: restarted})
}

func (d *door) configure(out bool) {
	if d.core != nil {
		d.handle(admission.Configured{Upstream: d.engine.row, DataCentreOut: out})
	}
}

// handle hands a message to the core and carries out its effects.
func (d *door) handle(m admission.Message) {
	for _, e := range d.core.Handle(d.world.loop.now, m) {
		switch e := e.(type) {
		case admission.Grant:
			d.granted(e.ID)
		case admission.Park:
			a := d.offers[e.ID]
			a.tell(dispatch.Parked{Attempt: a.number})
		case admission.Refuse:
			d.refuse(e)
		case admission.ReportChanged:
			d.report()
		}
	}
}

func (d *door) granted(id admission.OfferID) {
	a := d.offers[id]
	d.passes.granted(d.world.loop.now, a.call)
	a.tell(dispatch.Granted{Attempt: a.number})
}

func (d *door) refuse(e admission.Refuse) {
	a := d.offers[e.ID]
	delete(d.offers, e.ID)
	d.passes.left(a.call)
	a.tell(dispatch.Refused{Attempt: a.number, Code: e.Code, NotRun: e.Code.Info().NotRun, RetryAfter: e.RetryAfter})
}

// offered is an offer that comes in.
func (d *door) offered(a *attempt) {
	d.next++
	a.offer = d.next
	d.offers[a.offer] = a
	d.passes.came(a.call)
	d.handle(admission.Offered{
		ID: a.offer, Account: a.call.account.Name, Class: a.call.class, Weight: a.call.account.Weight,
		Deadline: a.call.core.Request.Deadline, Arrived: a.call.arrived,
	})
}

func (d *door) withdrawn(a *attempt) {
	if a.job != nil {
		d.cancel(a)
		return
	}
	if d.core == nil || d.offers[a.offer] != a {
		return
	}
	delete(d.offers, a.offer)
	d.passes.left(a.call)
	d.handle(admission.Withdrawn{ID: a.offer})
}

func (d *door) cancel(a *attempt) {
	d.engine.cancel(a.job)
	given := d.engine.given(a.job)
	a.job = nil
	d.finished(a, admission.Finished{ID: a.offer, Tokens: given, Cancelled: true})
}

// bodyCame forwards the request if its grant still stands.
func (d *door) bodyCame(a *attempt) {
	if d.core != nil {
		d.handle(admission.BodyReceived{ID: a.offer})
		if !d.core.Runs(a.offer) {
			return
		}
	}
	if a.call.done {
		return
	}
	d.forward(a)
}

func (d *door) forward(a *attempt) {
	a.forward = d.world.loop.now
	a.call.upstream = d.vm.Upstream
	d.world.score.forwarded(d)
	a.job = &job{
		tokens: max(a.call.tokens-a.offset, 1),
		begin:  func() { a.begin() },
		first:  func() { d.firstToken(a) },
		end:    func(e ending) { d.ended(a, e) },
	}
	d.engine.add(a.job)
}

func (a *attempt) begin() {
	if a.call.began.IsZero() {
		a.call.began = a.call.world.loop.now
	}
}

func (d *door) firstToken(a *attempt) {
	a.first = d.world.loop.now
	a.tell(dispatch.HeadReceived{Attempt: a.number})
	a.tell(dispatch.ChunkReceived{Attempt: a.number, Tokens: 1})
	if d.core != nil {
		d.handle(admission.FirstTokenReceived{ID: a.offer, After: a.first.Sub(a.forward)})
	}
}

// ended is the engine's end of a job.
func (d *door) ended(a *attempt, e ending) {
	given := a.job.tokens
	if e != whole {
		given = d.engine.given(a.job)
	}
	f := admission.Finished{ID: a.offer, Clean: e == whole, Tokens: given}
	if given > 1 {
		f.TokenGap = d.world.loop.now.Sub(a.first) / time.Duration(given-1)
		a.tell(dispatch.ChunkReceived{Attempt: a.number, Tokens: given - 1})
	}
	switch e {
	case whole:
		a.tell(dispatch.Ended{Attempt: a.number, Complete: true})
	case died:
		a.tell(dispatch.Ended{Attempt: a.number, Code: result.UpstreamCutOff})
	case refused:
		a.tell(dispatch.Refused{Attempt: a.number, Code: result.UpstreamUnreached, NotRun: true})
	}
	a.job = nil
	d.finished(a, f)
}

func (d *door) finished(a *attempt, f admission.Finished) {
	if d.core == nil {
		return
	}
	delete(d.offers, a.offer)
	d.handle(f)
}
