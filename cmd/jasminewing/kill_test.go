package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/standin"
	"jasminewing.dev/jasminewing/pkg/result"
)

// One sidecar is killed in the middle of a streamed answer and another in the
// middle of an unstreamed answer. Both callers get a complete answer from another
// sidecar.
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
		assert.Equal(t, resumed, 1, "only the stream is resumed; an unstreamed answer is generated again")
	}
}

// A gateway is killed with a booking in flight. A repeated request with the same
// key through the other gateway returns the recorded answer of the only run.
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
	b.await("the recorded answer", func() bool {
		last = b.gateways[1].send(r)
		assert.Assert(t, !last.refusal().NotRun, "not_run is true for a booking that ran: %s", last.body)
		return last.status == 200
	})
	assert.Assert(t, isFirstRunAnswer(last, "pitch-7"), "%s", last.body)
	assert.Equal(t, b.runs("pitch-7"), 1)
}

// The home of a key is killed with the booking in flight. Repeated requests through
// both gateways never run the booking again, neither while the VM list still
// contains the home nor after.
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
		assert.Assert(t, !unknown(g), "the VM list still contains the home, so no other sidecar may answer for the key")
	}
	b.vms.Remove(home.vm.Name)
	for _, g := range b.gateways {
		b.await("the witnesses to report an unknown outcome", func() bool { return unknown(g) })
	}
	assert.Equal(t, b.runs("pitch-8"), 1)

	// The remaining sidecars of the service continue to work.
	for i, g := range b.gateways {
		name := []string{"pitch-9", "pitch-10"}[i]
		b.await("a new booking", func() bool { return g.send(bookingRequest(name, name)).status == 200 })
		assert.Equal(t, b.runs(name), 1)
	}
}
