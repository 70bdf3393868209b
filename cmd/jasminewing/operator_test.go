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

// addAccount edits a client account in, whose key shows where the edit is in force.
func (c *cluster) addAccount(name string) {
	c.t.Helper()
	hash := sha256.Sum256([]byte("key-" + name))
	row := fmt.Sprintf("%s,%x,booth_question,10,500,200,\n", name, hash)
	c.edit("accounts", "manager,", row+"manager,")
}

// acceptsKeyOf says whether a gateway takes the key of an account.
func (p *proc) acceptsKeyOf(account string) bool {
	r := chatRequest("do you know me", 1, false)
	r.bearer = "key-" + account
	return p.send(r).code() != result.BadKey
}

// sleepUntil lets a bound pass that a test holds something against.
func sleepUntil(until time.Time) {
	t := time.NewTimer(time.Until(until))
	<-t.C
}

// A data centre is taken out while streams run in it, and brought back. What
// runs ends whole where it runs; nothing new begins there after a few seconds;
// back in, it gets work again, and cold no more than it bears.
func TestDataCentreOutAndBack(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, twoEngines, func() *standin.Engine {
		return &standin.Engine{TokenGap: 10 * time.Millisecond, ColdSlots: 1, WarmAfter: 1}
	})
	south := d.upstreams[1]
	stopLoad := d.startLoad(d.gateways[0], 40)
	d.await("work in the south", func() bool { return south.engine.Stats().Completed > 5 && south.engine.Stats().Running > 0 })
	long := d.gateways[1].begin(chatRequest("long", 60, true))
	d.await("a stream runs", func() bool { return long.hasEvents(3) })

	d.edit("data_centres", southIn, southOut)
	edited := time.Now()
	d.awaitWithin("the south is out", edited, maxTakeOutDelay, func() bool { return south.readyCode() == result.DataCentreOut })
	sleepUntil(edited.Add(maxTakeOutDelay))
	before := south.engine.Stats()
	north := d.upstreams[0].engine.Stats().Completed
	d.await("the north goes on", func() bool { return d.upstreams[0].engine.Stats().Completed > north+20 })
	after := south.engine.Stats()
	assert.Equal(t, after.Started, before.Started, "new work after the data centre was out")
	assert.Equal(t, after.Cancelled, 0, "what ran was cut off")
	<-long.done
	assertComplete(t, long.request, long.reply)

	assert.NilError(t, south.engine.Control(standin.Cold, 0))
	d.edit("data_centres", southOut, southIn)
	d.awaitWithin("work in the south again", time.Now(), maxEditDelay, func() bool { return south.engine.Stats().Completed > after.Completed+5 })
	assertAllComplete(t, stopLoad())
	for _, u := range d.upstreams {
		assert.Equal(t, u.engine.Stats().ColdFalls, 0, "%s fell over while cold", u.vm.Name)
		assert.Equal(t, u.engine.Stats().MostRunningCold, 1)
	}
}

// The VM list says that an upstream's VM leaves: what runs there ends, and
// nothing new begins after a few seconds.
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
	d.await("the other goes on", func() bool { return other.engine.Stats().Completed > served+20 })
	assert.Equal(t, u.engine.Stats().Started, before, "new work after the VM began to leave")
	<-q.done
	assertComplete(t, r, q.reply)
	assert.Equal(t, u.engine.Stats().Cancelled, 0)
	assertAllComplete(t, stopLoad())
}

// Operators edit in quick succession: the last edit is in force everywhere
// within seconds, and no earlier one comes back.
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
	d.awaitWithin("the last edit is in force", edited, maxEditDelay, func() bool {
		return south.readyCode() == result.DataCentreOut && d.gateways[0].acceptsKeyOf("last") && d.gateways[1].acceptsKeyOf("last")
	})
	before := south.engine.Stats().Started
	sleepUntil(edited.Add(maxTakeOutDelay))
	for i := range 40 {
		g := d.gateways[i%2]
		assert.Equal(t, south.readyCode(), result.DataCentreOut, "an earlier edit came back")
		assert.Assert(t, g.acceptsKeyOf("last"), "an earlier edit came back")
	}
	assert.Equal(t, south.engine.Stats().Started, before)
	d.edit("data_centres", southOut, southIn)
	d.awaitWithin("work in the south again", time.Now(), maxEditDelay, func() bool {
		assert.Assert(t, d.gateways[0].acceptsKeyOf("last"), "an earlier edit came back")
		return south.engine.Stats().Started > before
	})
}

// An edit that does not validate is refused as a whole: the last good one
// stays in force, and the next good one is in force everywhere within seconds.
func TestInvalidEdit(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, twoEngines, func() *standin.Engine { return &standin.Engine{} })
	d.addAccount("first")
	d.awaitWithin("a good edit", time.Now(), maxEditDelay, func() bool { return d.gateways[0].acceptsKeyOf("first") && d.gateways[1].acceptsKeyOf("first") })
	d.edit("upstreams", "draft_3,south,engine,draft,1,8,1,in", "draft_3,south,engine,draft,1,eight,1,out")
	for _, p := range append(d.gateways, d.upstreams[0].proc, d.upstreams[1].proc) {
		d.await("refusal at "+string(p.vm.Name), func() bool { return p.firstEvent("table_refused") != nil })
		assert.Equal(t, p.readyCode(), result.OK)
	}
	for _, g := range d.gateways {
		r := chatRequest("still here", 3, true)
		assertComplete(t, r, g.send(r))
		assert.Assert(t, g.acceptsKeyOf("first"), "a good edit was lost with a bad one")
	}
	d.edit("upstreams", "draft_3,south,engine,draft,1,eight,1,out", "draft_3,south,engine,draft,1,8,1,out")
	d.addAccount("second")
	d.awaitWithin("the next good edit", time.Now(), maxEditDelay, func() bool {
		return d.upstreams[1].readyCode() == result.UpstreamOut && d.gateways[0].acceptsKeyOf("second") && d.gateways[1].acceptsKeyOf("second")
	})
}

// The data centre of a key's home is taken out and brought back while the
// booking runs and is repeated: it runs once, and its caller has its answer.
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
				assert.Assert(t, !got.refusal().NotRun, "a false not run: %s", got.body)
				assert.Assert(t, got.code() != result.KeyOutcomeUnknown, "the answer was forgotten: %s", got.body)
				return isFirstRunAnswer(got, "pitch-1")
			})
		}
		b.edit("data_centres", toggle[0], toggle[1])
	}
	assert.Equal(t, b.runs("pitch-1"), 1)
}
