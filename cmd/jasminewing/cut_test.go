package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/standin"
	"jasminewing.dev/jasminewing/pkg/result"
)

// maxAnswerDelay is the maximum time to an answer after its connection is cut. It
// includes the timeout after which a silent connection is abandoned.
const maxAnswerDelay = 10 * time.Second

// cut is a way to cut the network, and the relay of an upstream at which to do so.
type cut struct {
	name  string
	relay func(*upstream) *standin.Relay
	cut   func(*standin.Relay)
}

func cuts() []cut {
	front := func(u *upstream) *standin.Relay { return u.frontRelay }
	back := func(u *upstream) *standin.Relay { return u.backRelay }
	return []cut{
		{"reset between gateway and sidecar", front, (*standin.Relay).Reset},
		{"drop between gateway and sidecar", front, (*standin.Relay).Drop},
		{"reset between sidecar and upstream", back, (*standin.Relay).Reset},
		{"drop between sidecar and upstream", back, (*standin.Relay).Drop},
	}
}

// The connections of an engine are cut in the middle of a streamed and of an
// unstreamed answer. Both callers get a complete answer in time, from another
// engine.
func TestCutMidAnswer(t *testing.T) {
	t.Parallel()
	for _, c := range cuts() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newEngineDeployment(t, twoEngines, func() *standin.Engine { return &standin.Engine{TokenGap: 20 * time.Millisecond} }, withRelays)
			for _, streamed := range []bool{true, false} {
				r := chatRequest("cut", 60, streamed)
				q, u := d.beginRunning(d.gateways[0], r)
				start := time.Now()
				c.cut(c.relay(u))
				d.awaitWithin("answer", start, maxAnswerDelay, q.finished)
				assertComplete(t, r, q.reply)
				c.relay(u).Restore()
				d.await("no running requests", func() bool { return d.runningUpstream() == nil })
				d.await("the upstream to be ready again", func() bool { return u.readyCode() == result.OK })
			}
		})
	}
}

// The connections of an upstream are cut while it runs a booking. The caller gets
// the error that the outcome is unknown. Repeated requests with the key never run
// the booking again and, after a cut between gateway and sidecar, return the
// recorded answer.
func TestCutMidBooking(t *testing.T) {
	t.Parallel()
	for _, c := range cuts() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBookingDeployment(t, 500*time.Millisecond, withRelays, withEdit("classes", "2s,,10s,2s", "1s,,3s,1s"))
			r := bookingRequest("pitch-1", "key-1")
			start := time.Now()
			q := b.gateways[0].begin(r)
			home := b.home("pitch-1")
			c.cut(c.relay(home))
			b.awaitWithin("reply to the booking", start, maxAnswerDelay, q.finished)
			assertRefused(t, q.reply, false, result.OutcomeUnknown)
			c.relay(home).Restore()

			var last reply
			for _, g := range b.gateways {
				b.await("the outcome of the key", func() bool {
					last = g.send(r)
					assert.Assert(t, !last.refusal().NotRun, "not_run is true for a booking that ran: %s", last.body)
					return last.status == 200 || last.code() == result.KeyOutcomeUnknown
				})
			}
			if c.relay(home) == home.frontRelay {
				assert.Assert(t, isFirstRunAnswer(last, "pitch-1"), "%s", last.body)
			}
			assert.Equal(t, b.runs("pitch-1"), 1)
		})
	}
}
