package process

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/standin"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Counters that a step moves.
func answers(c result.Code) string { return codeCounter("results", c) }

func refusals(c result.Code) string { return codeCounter("sidecar_refusals", c) }

func ends(c result.Code) string { return codeCounter("sidecar_ends", c) }

func codeCounter(name string, c result.Code) string {
	return fmt.Sprintf("jasminewing_%s_total{code=%q,name=%q}", name, strconv.Itoa(int(c)), c)
}

func retries(r dispatch.RetryReason) string {
	return fmt.Sprintf("jasminewing_retries_total{reason=%q}", string(r))
}

// step provokes what its counters count.
type step struct {
	name string
	want []string
	play func(w *world)
}

// scenario is steps in one world, in order.
type scenario struct {
	name  string
	shape shape
	steps []step
}

// notHere are the codes that no step provokes, and where they stand instead.
var notHere = map[result.Code]string{
	result.Paused:          "needs a stopped process: cmd/jasminewing, freeze_test.go",
	result.Stopping:        "answered between the end of a sidecar's tasks and that of its listener: internal/sidecar, stopping_test.go",
	result.ConfigUnreached: "no answer, in log lines only: internal/platform, platform_test.go",
	result.VMListUnreached: "no answer, in log lines only: internal/platform, platform_test.go",
	result.CallBudget:      "no answer, in log lines only: internal/platform, platform_test.go",
	result.Internal:        "a fault of the program; none is known",
}

// Every code that a caller or a gateway may be answered with, and every reason
// for a retry, can be provoked and moves its counter.
func TestEveryRefusalIsReachable(t *testing.T) {
	scenarios := []scenario{callers(), crowded(), evictions(), withoutRetries(), frozenSidecar(), unready(), doors()}
	wanted := make(map[string]bool)
	for _, s := range scenarios {
		for _, p := range s.steps {
			for _, c := range p.want {
				wanted[c] = true
			}
		}
	}
	const firstOfCallers = result.BodyTooLarge
	for _, i := range result.All() {
		if i.Code < firstOfCallers {
			continue
		}
		reached := wanted[answers(i.Code)] || wanted[refusals(i.Code)] || wanted[ends(i.Code)]
		assert.Equal(t, reached, notHere[i.Code] == "", "%d %s", i.Code, i.Name)
	}
	for _, r := range dispatch.RetryReasons() {
		assert.Assert(t, wanted[retries(r)], r)
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			w := startWorld(t, s.shape)
			for _, p := range s.steps {
				before := w.counts()
				p.play(w)
				for _, c := range p.want {
					w.await(p.name+" moves "+c, func() bool { return w.counts()[c] > before[c] })
				}
			}
		})
	}
}

func asking(c callerRequest) func(*world) { return func(w *world) { w.ask(c) } }

func sending(head, body string) func(*world) {
	return func(w *world) { w.raw(w.callers, head+"Authorization: Bearer key-free\r\n"+body) }
}

// callers are what one caller can meet at a time.
func callers() scenario {
	const post = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
	long := chat(strings.Repeat("x", 5<<10))
	other := chat("x")
	other.body = `{"model":"other"}`
	ghost := chat("x")
	ghost.body = `{"model":"ghost"}`
	broken := chat("x")
	broken.body = `{"model":`
	return scenario{"callers", shape{retryShare: 0.1, maxWaiting: 8}, []step{
		{"large body", []string{answers(result.BodyTooLarge)}, asking(long)},
		{"broken JSON", []string{answers(result.BadJSON)}, asking(broken)},
		{"unknown model", []string{answers(result.UnknownModel)}, asking(other)},
		{"unknown key", []string{answers(result.BadKey)}, asking(chat("x").of("nobody"))},
		{"unknown class", []string{answers(result.UnknownClass)}, asking(chat("x").class("none"))},
		{"class of others", []string{answers(result.ClassNotAllowed)}, asking(chat("x").of("one_class").class("summary"))},
		{"two classes", []string{answers(result.BadHeader)}, asking(chat("x").class("question").class("summary"))},
		{"no such path", []string{answers(result.NotFound)}, sending("GET /none HTTP/1.1\r\nHost: x\r\n", "\r\n")},
		{"no such method", []string{answers(result.MethodNotAllowed)}, sending("GET /v1/chat/completions HTTP/1.1\r\nHost: x\r\n", "\r\n")},
		{"two idempotency keys", []string{answers(result.BadIdempotencyKey)}, asking(pitch("a", "x").with("Idempotency-Key: b"))},
		{"broken chunks", []string{answers(result.BadBody)}, sending(post, "Transfer-Encoding: chunked\r\n\r\nzz\r\n")},
		{"admin token", []string{answers(result.BadAdminToken)}, func(w *world) { w.raw(w.admin, "GET /readyz HTTP/1.0\r\n\r\n") }},
		{"requests a second", []string{answers(result.AccountRate)}, func(w *world) {
			for range 3 {
				w.ask(chat("x").of("rated"))
			}
		}},
		{"tokens a minute", []string{answers(result.AccountTokens)}, asking(chat("x").of("metered"))},
		{"in flight, and gone", []string{answers(result.AccountInFlight), answers(result.CallerGone)}, func(w *world) {
			leave := w.hold(chat("hold").of("single"))
			w.ask(chat("x").of("single"))
			leave()
		}},
		{"model without an upstream", []string{answers(result.NoUpstream)}, asking(ghost)},
		{"upstream refuses", []string{
			answers(result.UpstreamRefused), refusals(result.UpstreamRefused), retries(dispatch.RetryLapsed), retries(dispatch.RetryRound),
		}, func(w *world) {
			assert.NilError(w.t, w.booking.Control(standin.Refuse, 0))
			w.ask(pitchWithoutKey("x"))
			assert.NilError(w.t, w.booking.Control(standin.Normal, 0))
		}},
		{"upstream fails", []string{answers(result.UpstreamFailed), ends(result.UpstreamFailed), retries(dispatch.RetryIncomplete)}, asking(chat("fail"))},
		{"upstream cuts a booking", []string{answers(result.OutcomeUnknown), ends(result.UpstreamCutOff)}, func(w *world) {
			assert.NilError(w.t, w.booking.Control(standin.CutAfterRun, 1))
			w.ask(pitchWithoutKey("x"))
		}},
		{"no event stream", []string{answers(result.UpstreamBadStream), ends(result.UpstreamBadStream)}, asking(chat("plain text"))},
		{"large answer", []string{answers(result.AnswerTooLarge), ends(result.AnswerTooLarge)}, asking(chat("huge"))},
		{"stream cut and resumed", []string{answers(result.OK), retries(dispatch.RetryResume)}, asking(chat("cut"))},
		{"no answer in time", []string{answers(result.UpstreamTimeout)}, func(w *world) {
			w.ask(chat("hold").class("hurried"))
			<-w.drafts.held
		}},
		{"no slot in time", []string{answers(result.DeadlinePassed), retries(dispatch.RetryWiden)}, func(w *world) {
			leave := w.hold(chat("hold"))
			w.ask(chat("x").class("hurried"))
			leave()
		}},
		{"key with another body", []string{answers(result.KeyBodyDiffers), refusals(result.KeyBodyDiffers)}, func(w *world) {
			w.ask(pitch("k1", "a"))
			w.ask(pitch("k1", "b"))
		}},
		{"key without an answer", []string{answers(result.KeyOutcomeUnknown), refusals(result.KeyOutcomeUnknown)}, func(w *world) {
			assert.NilError(w.t, w.booking.Control(standin.CutAfterRun, 1))
			w.ask(pitch("k2", "a"))
			w.ask(pitch("k2", "a"))
		}},
		{"key that runs", []string{answers(result.KeyInProgress), refusals(result.KeyInProgress), retries(dispatch.RetryKey)}, func(w *world) {
			leave := w.begin(pitch("k3", "hold"))
			<-w.pitches.held
			w.ask(pitch("k3", "hold"))
			close(w.pitches.release)
			leave()
		}},
		{"no room for a key", []string{answers(result.KeyTableFull), refusals(result.KeyTableFull)}, func(w *world) {
			w.ask(pitch("k4", "a"))
			w.ask(pitch("k5", "a"))
		}},
	}}
}

// crowded is a sidecar whose queue is short, and a key whose home is dead.
func crowded() scenario {
	return scenario{"crowded", shape{retryShare: 0.1, maxWaiting: 8, maxParked: 1, dead: []table.UpstreamName{"booking_2"}}, []step{
		{"the sidecar's queue", []string{
			answers(result.SidecarEvicted), refusals(result.SidecarEvicted), answers(result.SidecarQueueFull),
			refusals(result.SidecarQueueFull), retries(dispatch.RetryRefused),
		}, func(w *world) {
			leave := w.hold(chat("hold"))
			before := w.counts()[answers(result.SidecarEvicted)]
			low := w.begin(chat("x").class("summary"))
			w.await("low tier is parked", func() bool {
				return strings.Contains(w.get(w.draftAdmin, "/metrics"), "\njasminewing_upstream_parked 1\n")
			})
			high := w.begin(chat("y"))
			w.await("low tier is evicted", func() bool { return w.counts()[answers(result.SidecarEvicted)] > before })
			w.ask(chat("z").class("summary"))
			leave()
			low()
			high()
		}},
		{"home is dead", []string{answers(result.SidecarUnreached), retries(dispatch.RetryLost)}, func(w *world) {
			w.ask(pitch(keyAt("vm_booking_2"), "a"))
		}},
		{"a request that ends its engine", []string{answers(result.Suspect)}, func(w *world) {
			w.ask(chat(standin.CrashText))
		}},
	}}
}

// evictions is a gateway where one request may wait.
func evictions() scenario {
	return scenario{"evictions", shape{retryShare: 0.1, maxWaiting: 1, maxParked: 8}, []step{
		{"the gateway's queue", []string{answers(result.Evicted), answers(result.QueueFull)}, func(w *world) {
			leave := w.hold(chat("hold"))
			before := w.counts()[answers(result.Evicted)]
			low := w.begin(chat("x").class("summary"))
			w.await("low tier waits", func() bool { return strings.Contains(w.get(w.admin, "/metrics"), "\njasminewing_waiting_requests 1\n") })
			high := w.begin(chat("y"))
			w.await("low tier is evicted", func() bool { return w.counts()[answers(result.Evicted)] > before })
			w.ask(chat("z").class("summary"))
			leave()
			low()
			high()
		}},
	}}
}

// withoutRetries is a gateway without a share of retries.
func withoutRetries() scenario {
	return scenario{"without retries", shape{maxWaiting: 8}, []step{
		{"no share left", []string{answers(result.RetryBudget)}, asking(chat("fail"))},
		{"cut stream", []string{answers(result.AnswerAbandoned)}, asking(chat("cut"))},
	}}
}

// frozen is a sidecar that takes a body and is never heard of again.
type frozen struct{ still atomic.Bool }

func (f *frozen) Run(s wire.DRPCWork_RunStream) error {
	if _, err := s.Recv(); err != nil {
		return err
	}
	if err := s.Send(&wire.SidecarMessage{Kind: &wire.SidecarMessage_Granted{Granted: &wire.Granted{}}}); err != nil {
		return err
	}
	if _, err := s.Recv(); err != nil {
		return err
	}
	f.still.Store(true)
	<-s.Context().Done()
	return nil
}

func (f *frozen) Watch(_ *wire.WatchRequest, s wire.DRPCWork_WatchStream) error {
	if !f.still.Load() {
		if err := s.Send(&wire.Report{Upstream: "draft_1", Limit: 1}); err != nil {
			return err
		}
	}
	<-s.Context().Done()
	return nil
}

func frozenSidecar() scenario {
	return scenario{"frozen sidecar", shape{retryShare: 0.1, maxWaiting: 8, sidecar: &frozen{}}, []step{
		{"frozen with a body", []string{retries(dispatch.RetrySilent), answers(result.SidecarLost)}, asking(chat("x"))},
	}}
}

// unready is a fleet that cannot read the platform.
func unready() scenario {
	return scenario{"unready", shape{unready: true}, []step{
		{"no table", []string{answers(result.NotReady), refusals(result.NotReady)}, func(w *world) {
			w.ask(chat("x"))
			w.run(w.draftAt, draftOffer("x"), "x")
		}},
	}}
}
