package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/standin"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

// freeze stops the process with SIGSTOP and waits until all its threads have
// stopped.
func (p *proc) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	tasks := fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid)
	(&cluster{t: p.t}).await("freeze of "+string(p.vm.Name), func() bool {
		stats, err := filepath.Glob(tasks)
		assert.NilError(p.t, err)
		for _, s := range stats {
			text, err := os.ReadFile(s)
			// The state follows the name, which is in parentheses.
			if _, state, _ := strings.Cut(string(text), ") "); err != nil || !strings.HasPrefix(state, "T") {
				return false
			}
		}
		return len(stats) > 0
	})
}

// resume continues a frozen process.
func (p *proc) resume() { p.signal(syscall.SIGCONT) }

// A sidecar is frozen in the middle of an answer and resumes after the answer has
// ended. Another sidecar completes the answer in time, and the resumed sidecar does
// not interfere.
func TestSidecarFrozenMidAnswer(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, twoEngines, func() *standin.Engine { return &standin.Engine{TokenGap: 20 * time.Millisecond} })
	for _, streamed := range []bool{true, false} {
		r := chatRequest("frozen", 60, streamed)
		q, u := d.beginRunning(d.gateways[0], r)
		u.freeze()
		d.awaitWithin("answer", time.Now(), maxAnswerDelay, q.finished)
		u.resume()
		assertComplete(t, r, q.reply)
		d.await("no running requests", func() bool { return d.runningUpstream() == nil })
		d.awaitReady(u.proc)
	}
	d.awaitServing(chatRequest("after", 2, true), d.gateways...)
}

// The home of a key is frozen with the booking in flight and resumes after the
// deadline of the booking. The booking runs once.
func TestHomeFrozenWithBooking(t *testing.T) {
	t.Parallel()
	b := newBookingDeployment(t, 300*time.Millisecond, withEdit("classes", "2s,,10s,2s", "1s,,3s,1s"))
	r := bookingRequest("pitch-1", "key-1")
	q := b.gateways[0].begin(r)
	home := b.home("pitch-1")
	home.freeze()
	<-q.done
	assertRefused(t, q.reply, false, result.OutcomeUnknown)
	got := b.gateways[1].send(r)
	assert.Assert(t, got.status != 200 && !got.refusal().NotRun, "%d %s", got.status, got.body)
	home.resume()
	b.await("the outcome of the key", func() bool {
		got = b.gateways[1].send(r)
		assert.Assert(t, !got.refusal().NotRun, "not_run is true for a booking that ran: %s", got.body)
		return got.status == 200 || got.code() == result.KeyOutcomeUnknown
	})
	assert.Equal(t, b.runs("pitch-1"), 1)
}

// All sidecars of a service are frozen when bookings arrive, and resume after the
// deadline of the bookings. No booking runs then, with or without a key. The
// callers without a key were told that their booking was not run.
func TestBookingOfferedToFrozenSidecars(t *testing.T) {
	t.Parallel()
	b := newBookingDeployment(t, 0, withEdit("classes", "2s,,10s,2s", "1s,,3s,1s"))
	for _, u := range b.upstreams {
		u.freeze()
	}
	// The first booking arrives while the gateways still trust the last reports of
	// the sidecars.
	var all []*pendingRequest
	for i := range 4 {
		key := ""
		if i%2 == 1 {
			key = fmt.Sprint("key ", i)
		}
		all = append(all, b.gateways[i/2].begin(bookingRequest(fmt.Sprint("pitch ", i), key)))
	}
	for i, q := range all {
		<-q.done
		assertRefused(t, q.reply, i%2 == 0, result.DeadlinePassed, result.SidecarUnreached, result.NoUpstream)
	}
	for _, u := range b.upstreams {
		u.resume()
	}
	b.awaitServing(bookingRequest("after", "after"), b.gateways...)
	for i := range all {
		assert.Equal(t, b.runs(fmt.Sprint("pitch ", i)), 0)
	}
}

// A sidecar is frozen while operators take its data centre out, or while its VM
// begins to leave. Earlier offers of the gateways are still in its socket buffers
// when it resumes. None of them reaches its engine, because the change is older
// than the few seconds in which new work is still allowed.
func TestSidecarFrozenWhileTakenOut(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		out  func(*engineDeployment, *upstream)
		want result.Code
	}{
		{"data centre out", func(d *engineDeployment, _ *upstream) { d.edit("data_centres", southIn, southOut) }, result.DataCentreOut},
		{"leaving", func(d *engineDeployment, u *upstream) {
			vm := u.vm
			vm.State = fleet.Leaving
			d.vms.Set(vm)
		}, result.UpstreamLeaving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			d := newEngineDeployment(t, twoEngines, func() *standin.Engine { return &standin.Engine{} })
			south := d.upstreams[1]
			south.freeze()
			before := south.engine.Stats().Started
			var offered []*pendingRequest
			for i := range 16 {
				offered = append(offered, d.gateways[i%2].begin(chatRequest(fmt.Sprint("offered ", i), 2, true)))
			}
			tt.out(d, south)
			changed := time.Now()
			for _, q := range offered {
				<-q.done
				assertComplete(t, q.request, q.reply)
			}
			sleepUntil(changed.Add(maxTakeOutDelay))
			south.resume()
			d.await("the resumed sidecar to learn of the change", func() bool {
				got := d.gateways[0].send(chatRequest("meanwhile", 1, false))
				assert.Equal(t, got.status, 200, "%s", got.body)
				return south.readyCode() == tt.want
			})
			assert.Equal(t, south.engine.Stats().Started, before, "the engine got new work after it was taken out")
		})
	}
}

// A sidecar resumes while it can reach neither the platform nor its peers, and gets
// an offer from a gateway with an old table. It cannot know what has changed during
// the pause, so it grants nothing.
func TestSidecarResumedWithoutPeers(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, twoEngines, func() *standin.Engine { return &standin.Engine{} })
	south := d.upstreams[1]
	for _, p := range append(d.gateways, d.upstreams[0].proc) {
		p.freeze()
	}
	south.freeze()
	d.config.SetDown(true)
	d.vms.SetDown(true)
	pause := time.NewTimer(1500 * time.Millisecond)
	<-pause.C
	before := south.engine.Stats().Started
	south.resume()

	m := sendOffer(t, south, chatRequest("old", 1, false))
	refused := m.GetRefused()
	assert.Assert(t, refused != nil, "the resumed sidecar answered %v", m)
	assert.Equal(t, result.Code(refused.Code), result.Paused)
	assert.Assert(t, refused.NotRun)
	assert.Equal(t, south.engine.Stats().Started, before)
}

// sendOffer offers a request to a sidecar as a gateway does, and returns the first
// message that is not a notice that the offer is parked.
func sendOffer(t *testing.T, p *upstream, r request) *wire.SidecarMessage {
	t.Helper()
	dialer := &wire.Dialer{Secret: testSecret}
	defer dialer.Close()
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	run, err := wire.NewDRPCWorkClient(dialer.To(string(p.vm.Address))).Run(ctx)
	assert.NilError(t, err)
	assert.NilError(t, run.Send(&wire.GatewayMessage{Kind: &wire.GatewayMessage_Offer{Offer: &wire.Offer{
		RequestId: "req_0_1", Attempt: 1, Account: "market", Class: "booth_question", Tier: 1, Model: "draft",
		Method: "POST", Path: r.path, BodyBytes: uint64(len(r.body)), Idempotent: true, CostTokens: 1,
		TimeLeftUs: uint64(awaitTimeout.Microseconds()), TableRevision: 1, VmListVersion: 1, Gateway: "gw_1",
	}}}))
	for {
		m, err := run.Recv()
		assert.NilError(t, err)
		if m.GetParked() == nil {
			return m
		}
	}
}
