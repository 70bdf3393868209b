package main

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/standin"
	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	southIn  = "south,demo,in"
	southOut = "south,demo,out"
)

// addAccount adds a client account to the table. A gateway accepts its key only if
// the edit is in force there.
func (c *cluster) addAccount(name string) {
	c.t.Helper()
	hash := sha256.Sum256([]byte("key-" + name))
	row := fmt.Sprintf("%s,%x,booth_question,10,500,200,\n", name, hash)
	c.edit("accounts", "manager,", row+"manager,")
}

// acceptsKeyOf reports whether a gateway accepts the key of an account.
func (p *proc) acceptsKeyOf(account string) bool {
	r := chatRequest("do you know me", 1, false)
	r.bearer = "key-" + account
	return p.send(r).code() != result.BadKey
}

// sleepUntil sleeps until the given time, for example the end of a delay that the
// test allows.
func sleepUntil(until time.Time) {
	t := time.NewTimer(time.Until(until))
	<-t.C
}

// A data centre is taken out while it runs streams, and is put back later. Running
// requests complete where they are, and no new ones start there after a few
// seconds. Once the data centre is back, it gets work again, and its cold engine
// gets no more than its cold limit.
func TestDataCentreOutAndBack(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, twoEngines, func() *standin.Engine {
		return &standin.Engine{TokenGap: 10 * time.Millisecond, ColdSlots: 1, WarmAfter: 1}
	})
	south := d.upstreams[1]
	stopLoad := d.startLoad(d.gateways[0], 40)
	d.await("running requests in the south", func() bool { return south.engine.Stats().Completed > 5 && south.engine.Stats().Running > 0 })
	long := d.gateways[1].begin(chatRequest("long", 60, true))
	d.await("a stream to start", func() bool { return long.hasEvents(3) })

	d.edit("data_centres", southIn, southOut)
	edited := time.Now()
	d.awaitWithin("the south to be out", edited, maxTakeOutDelay, func() bool { return south.readyCode() == result.DataCentreOut })
	sleepUntil(edited.Add(maxTakeOutDelay))
	before := south.engine.Stats()
	north := d.upstreams[0].engine.Stats().Completed
	d.await("more completed requests in the north", func() bool { return d.upstreams[0].engine.Stats().Completed > north+20 })
	after := south.engine.Stats()
	assert.Equal(t, after.Started, before.Started, "the engine got new work after its data centre was taken out")
	assert.Equal(t, after.Cancelled, 0, "running requests were cancelled")
	<-long.done
	assertComplete(t, long.request, long.reply)

	assert.NilError(t, south.engine.Control(standin.Cold, 0))
	d.edit("data_centres", southOut, southIn)
	d.awaitWithin("more completed requests in the south", time.Now(), maxEditDelay, func() bool { return south.engine.Stats().Completed > after.Completed+5 })
	assertAllComplete(t, stopLoad())
	for _, u := range d.upstreams {
		assert.Equal(t, u.engine.Stats().ColdCrashes, 0, "%s crashed while cold", u.vm.Name)
		assert.Equal(t, u.engine.Stats().MostRunningCold, 1)
	}
}

// The VM list reports that the VM of an upstream is leaving. Running requests
// complete there, and no new ones start after a few seconds.
func TestVMLeaving(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, twoEngines, func() *standin.Engine { return &standin.Engine{TokenGap: 10 * time.Millisecond} })
	r := chatRequest("leaving", 60, true)
	q, u := d.beginRunning(d.gateways[0], r)
	leaving := u.vm
	leaving.State = fleet.Leaving
	d.vms.Set(leaving)
	changed := time.Now()
	stopLoad := d.startLoad(d.gateways[1], 40)
	sleepUntil(changed.Add(maxTakeOutDelay))
	before := u.engine.Stats().Started
	other := d.upstreams[0]
	if other == u {
		other = d.upstreams[1]
	}
	served := other.engine.Stats().Completed
	d.await("more completed requests on the other engine", func() bool { return other.engine.Stats().Completed > served+20 })
	assert.Equal(t, u.engine.Stats().Started, before, "the engine got new work after its VM began to leave")
	<-q.done
	assertComplete(t, r, q.reply)
	assert.Equal(t, u.engine.Stats().Cancelled, 0)
	assertAllComplete(t, stopLoad())
}

// Operators edit the table in quick succession. The last edit is in force in all
// processes within seconds, and no earlier edit takes effect again.
func TestQuickEdits(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, twoEngines, func() *standin.Engine { return &standin.Engine{} })
	south := d.upstreams[1]
	for range 10 {
		d.edit("data_centres", southIn, southOut)
		d.edit("data_centres", southOut, southIn)
	}
	d.edit("data_centres", southIn, southOut)
	d.addAccount("last")
	edited := time.Now()
	d.awaitWithin("the last edit to be in force", edited, maxEditDelay, func() bool {
		return south.readyCode() == result.DataCentreOut && d.gateways[0].acceptsKeyOf("last") && d.gateways[1].acceptsKeyOf("last")
	})
	before := south.engine.Stats().Started
	sleepUntil(edited.Add(maxTakeOutDelay))
	for i := range 40 {
		g := d.gateways[i%2]
		assert.Equal(t, south.readyCode(), result.DataCentreOut, "an earlier edit took effect again")
		assert.Assert(t, g.acceptsKeyOf("last"), "an earlier edit took effect again")
	}
	assert.Equal(t, south.engine.Stats().Started, before)
	d.edit("data_centres", southOut, southIn)
	d.awaitWithin("new work in the south", time.Now(), maxEditDelay, func() bool {
		assert.Assert(t, d.gateways[0].acceptsKeyOf("last"), "an earlier edit took effect again")
		return south.engine.Stats().Started > before
	})
}

// An invalid edit is refused as a whole. The last valid table stays in force, and
// the next valid edit is in force in all processes within seconds.
func TestInvalidEdit(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, twoEngines, func() *standin.Engine { return &standin.Engine{} })
	d.addAccount("first")
	d.awaitWithin("a valid edit", time.Now(), maxEditDelay, func() bool { return d.gateways[0].acceptsKeyOf("first") && d.gateways[1].acceptsKeyOf("first") })
	d.edit("upstreams", "draft_3,south,engine,draft,1,8,1,in", "draft_3,south,engine,draft,1,eight,1,out")
	for _, p := range append(d.gateways, d.upstreams[0].proc, d.upstreams[1].proc) {
		d.await("refusal of the table by "+string(p.vm.Name), func() bool { return p.firstEvent("table_refused") != nil })
		assert.Equal(t, p.readyCode(), result.OK)
	}
	for _, g := range d.gateways {
		r := chatRequest("still here", 3, true)
		assertComplete(t, r, g.send(r))
		assert.Assert(t, g.acceptsKeyOf("first"), "an invalid edit undid a valid one")
	}
	d.edit("upstreams", "draft_3,south,engine,draft,1,eight,1,out", "draft_3,south,engine,draft,1,8,1,out")
	d.addAccount("second")
	d.awaitWithin("the next valid edit", time.Now(), maxEditDelay, func() bool {
		return d.upstreams[1].readyCode() == result.UpstreamOut && d.gateways[0].acceptsKeyOf("second") && d.gateways[1].acceptsKeyOf("second")
	})
}

// The data centre of the home of a key is taken out and put back while the booking
// runs and while its request is repeated. The booking runs once, and the caller gets
// its answer each time.
func TestHomeOutAndBackWithBooking(t *testing.T) {
	t.Parallel()
	b := newBookingDeployment(t, 300*time.Millisecond)
	r := bookingRequest("pitch-1", "key-1")
	q := b.gateways[0].begin(r)
	home := b.home("pitch-1")
	name := string(home.vm.DataCentre)
	in, out := name+",demo,in", name+",demo,out"
	b.edit("data_centres", in, out)
	<-q.done
	assert.Assert(t, isFirstRunAnswer(q.reply, "pitch-1"), "%d %s", q.reply.status, q.reply.body)
	for _, toggle := range [][2]string{{out, in}, {in, out}, {out, in}} {
		for _, g := range b.gateways {
			b.await("the recorded answer", func() bool {
				got := g.send(r)
				assert.Assert(t, !got.refusal().NotRun, "not_run is true for a booking that ran: %s", got.body)
				assert.Assert(t, got.code() != result.KeyOutcomeUnknown, "the recorded answer was lost: %s", got.body)
				return isFirstRunAnswer(got, "pitch-1")
			})
		}
		b.edit("data_centres", toggle[0], toggle[1])
	}
	assert.Equal(t, b.runs("pitch-1"), 1)
}
