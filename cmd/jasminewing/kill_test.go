package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/standin"
	"jasminewing.dev/jasminewing/pkg/result"
)

// A sidecar killed in the midst of a stream, and another in the midst of a
// whole answer: both callers get their whole answer from elsewhere.
func TestSidecarKilledMidAnswer(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, threeEngines, func() *standin.Engine { return &standin.Engine{TokenGap: 20 * time.Millisecond} })
	for _, streamed := range []bool{true, false} {
		r := chatRequest("killed", 60, streamed)
		q, u := d.beginRunning(d.gateways[0], r)
		u.kill()
		<-q.done
		assertComplete(t, r, q.reply)
		resumed := 0
		for _, o := range d.upstreams {
			resumed += o.engine.Stats().Resumed
		}
		assert.Equal(t, resumed, 1, "only the stream is resumed, a whole answer is had anew")
	}
}

// A gateway killed with a booking in flight: its key, repeated through the
// other gateway, gives the recorded answer of the one run.
func TestGatewayKilledWithBooking(t *testing.T) {
	t.Parallel()
	b := newBookingDeployment(t, 500*time.Millisecond)
	r := bookingRequest("pitch-7", "key-7")
	q := b.gateways[0].begin(r)
	b.home("pitch-7")
	b.gateways[0].kill()
	<-q.done
	assert.Assert(t, q.reply.err != nil, "the killed gateway answered")

	var last reply
	b.await("recorded answer", func() bool {
		last = b.gateways[1].send(r)
		assert.Assert(t, !last.refusal().NotRun, "a false not run: %s", last.body)
		return last.status == 200
	})
	assert.Assert(t, isFirstRunAnswer(last, "pitch-7"), "%s", last.body)
	assert.Equal(t, b.runs("pitch-7"), 1)
}

// The home of a key killed with the booking in flight: repeats through both
// gateways, while the VM list still has it and after, never run it again.
func TestHomeKilledWithBooking(t *testing.T) {
	t.Parallel()
	b := newBookingDeployment(t, 300*time.Millisecond)
	r := bookingRequest("pitch-8", "key-8")
	q := b.gateways[0].begin(r)
	home := b.home("pitch-8")
	home.kill()
	<-q.done
	assertRefused(t, q.reply, false, result.OutcomeUnknown)

	unknown := func(g *proc) bool {
		got := g.send(r)
		assert.Assert(t, got.status != 200 && !got.refusal().NotRun, "%d %s", got.status, got.body)
		return got.code() == result.KeyOutcomeUnknown
	}
	for _, g := range b.gateways {
		assert.Assert(t, !unknown(g), "the list still has the home, so nobody else may speak for it")
	}
	b.vms.Remove(home.vm.Name)
	for _, g := range b.gateways {
		b.await("the witnesses' word", func() bool { return unknown(g) })
	}
	assert.Equal(t, b.runs("pitch-8"), 1)

	// What is left of the service goes on.
	for i, g := range b.gateways {
		name := []string{"pitch-9", "pitch-10"}[i]
		b.await("a fresh booking", func() bool { return g.send(bookingRequest(name, name)).status == 200 })
		assert.Equal(t, b.runs(name), 1)
	}
}
