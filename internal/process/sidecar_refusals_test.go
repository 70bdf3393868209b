package process

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net/http"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/booking"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/standin"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// keyWithHome returns an idempotency key whose home is the given VM if both
// booking VMs are listed.
func keyWithHome(home fleet.VMName) string {
	vms := []fleet.VM{{Name: "vm_booking_1"}, {Name: "vm_booking_2"}}
	for i := 0; ; i++ {
		k := fmt.Sprintf("k%d", i)
		if booking.Order(booking.Key{Account: "free", Text: k}, vms)[0].Name == home {
			return k
		}
	}
}

// crashingBody returns a body that crashes its engine. If first is true,
// vm_draft_1 is the suspect.Place of the request; otherwise both other VMs are
// chosen before vm_draft_1.
func crashingBody(first bool) string {
	vms := []fleet.VM{{Name: "vm_draft_1"}, {Name: "vm_draft_2"}, {Name: "vm_draft_3"}}
	for i := 0; ; i++ {
		body := fmt.Sprintf(`{"model":"draft","prompt":"%s %d"}`, standin.CrashText, i)
		f := suspect.Fingerprint(draftOffer(body).Fingerprint)
		place, _ := suspect.Place(f, vms)
		if first && place.Name == "vm_draft_1" {
			return body
		}
		var rest []fleet.VM
		for _, vm := range vms {
			if vm.Name != place.Name {
				rest = append(rest, vm)
			}
		}
		second, _ := suspect.Place(f, rest)
		if !first && place.Name != "vm_draft_1" && second.Name != "vm_draft_1" {
			return body
		}
	}
}

// refusalStep returns a step that applies change and then sends offers to a
// sidecar until the sidecar refuses one with code.
func refusalStep(name string, code result.Code, change func(w *scenarioCluster)) step {
	return step{name, []string{refusalMetric(code)}, func(w *scenarioCluster) {
		change(w)
		w.await(name, func() bool { return w.runOffer(w.draftAddress, draftOffer("{}"), "{}") == code })
	}}
}

func editSection(section, text, old, fresh string) func(w *scenarioCluster) {
	return func(w *scenarioCluster) {
		assert.Assert(w.t, strings.Contains(text, old))
		w.config.Set(section, []byte(strings.Replace(text, old, fresh, 1)))
	}
}

func sendOffer(o *wire.Offer) func(*scenarioCluster) {
	return func(w *scenarioCluster) { w.runOffer(w.draftAddress, o, "x") }
}

// sidecarRefusalScenario covers the refusals that sidecars send to a gateway whose
// offers are late or invalid or that has the wrong secret.
func sidecarRefusalScenario() scenario {
	late, large := draftOffer("x"), draftOffer("x")
	late.TimeLeftUs = 0
	large.BodyBytes = 5 << 10
	options := clusterOptions{noGateway: true, maxParked: 1, unreachable: []table.UpstreamName{"draft_2", "draft_3", "booking_2"}}
	return scenario{"sidecar refusals", options, []step{
		{"body never sent", []string{refusalMetric(result.GrantLapsed), refusalMetric(result.SidecarEvicted), refusalMetric(result.SidecarQueueFull)}, fillQueue},
		{"deadline passed", []string{refusalMetric(result.DeadlinePassed)}, sendOffer(late)},
		{"body too large", []string{refusalMetric(result.BodyTooLarge)}, sendOffer(large)},
		{"other model", []string{refusalMetric(result.WrongUpstream)}, sendOffer(newOffer("question", "other", "", "x"))},
		{"other class", []string{refusalMetric(result.StaleTable)}, sendOffer(newOffer("none", "draft", "", "x"))},
		{"body without an offer", []string{refusalMetric(result.BadMessage)}, func(w *scenarioCluster) { w.openStream(w.draftAddress, bodyMessage("x")).end() }},
		{"body longer than offered", []string{refusalMetric(result.BadMessage)}, func(w *scenarioCluster) { w.runOffer(w.draftAddress, draftOffer("x"), "xyz") }},
		{"incomplete body", []string{refusalMetric(result.BadBody)}, func(w *scenarioCluster) {
			a := w.openStream(w.draftAddress, offerMessage(draftOffer("x")))
			a.recvUntil(isGranted)
			assert.NilError(w.t, a.stream.CloseSend())
			a.end()
		}},
		{"wrong secret", []string{refusalMetric(result.BadSecret)}, func(w *scenarioCluster) {
			d := &wire.Dialer{Secret: "another"}
			defer d.Close()
			_, err := wire.NewDRPCPeerClient(d.To(w.draftAddress)).Sync(context.Background(), &wire.SyncRequest{})
			assert.Assert(w.t, err != nil)
		}},
		{"not the home", []string{refusalMetric(result.NotHome)}, func(w *scenarioCluster) {
			w.runOffer(w.bookingAddress, pitchOffer(keyWithHome("vm_booking_2"), "x"), "x")
		}},
		{"witness unreachable", []string{refusalMetric(result.WitnessUnreached)}, func(w *scenarioCluster) {
			w.runOffer(w.bookingAddress, pitchOffer(keyWithHome("vm_booking_1"), "x"), "x")
		}},
		{"key claimed elsewhere", []string{refusalMetric(result.KeyClaimedElsewhere)}, func(w *scenarioCluster) {
			o := pitchOffer(keyWithHome("vm_booking_1"), "x")
			_, err := wire.NewDRPCPeerClient(w.dialer.To(w.bookingAddress)).Claim(context.Background(), &wire.ClaimRequest{
				Account: o.Account, Key: o.Key, BodyHash: o.BodyHash, Home: "vm_booking_2", HomeIncarnation: "i", ClaimId: 1,
			})
			assert.NilError(w.t, err)
			w.runOffer(w.bookingAddress, o, "x")
		}},
		{"suspect at another place", []string{refusalMetric(result.SuspectBusy)}, func(w *scenarioCluster) {
			body := crashingBody(false)
			assert.Equal(w.t, w.runOffer(w.draftAddress, draftOffer(body), body), result.UpstreamCutOff)
			w.runOffer(w.draftAddress, draftOffer(body), body)
		}},
		{"two crashes", []string{refusalMetric(result.Suspect)}, func(w *scenarioCluster) {
			body := crashingBody(true)
			for range 3 {
				w.runOffer(w.draftAddress, draftOffer(body), body)
			}
		}},
		{"upstream unreachable", []string{refusalMetric(result.UpstreamUnreached)}, func(w *scenarioCluster) {
			// The health checks continue over their idle connection.
			assert.NilError(w.t, w.servers[len(w.servers)-1].Listener.Close())
			w.runOffer(w.bookingAddress, pitchOffer("", "x"), "x")
		}},
		refusalStep("data centre out", result.DataCentreOut, editSection("data_centres", scenarioDataCentres, "demo,in", "demo,out")),
		refusalStep("upstream out", result.UpstreamOut, func(w *scenarioCluster) {
			w.config.Set("data_centres", []byte(scenarioDataCentres))
			editSection("upstreams", scenarioUpstreams, "draft,1,1,in", "draft,1,1,out")(w)
		}),
		refusalStep("upstream unhealthy", result.UpstreamUnhealthy, func(w *scenarioCluster) {
			w.config.Set("upstreams", []byte(scenarioUpstreams))
			assert.NilError(w.t, w.engine.Control(standin.Drain, 0))
		}),
		refusalStep("upstream leaving", result.UpstreamLeaving, func(w *scenarioCluster) {
			w.vms.Set(fleet.VM{
				Name: "vm_draft_1", Role: fleet.Sidecar, DataCentre: "north", Upstream: "draft_1",
				Address: fleet.Address(w.draftAddress), State: fleet.Leaving,
			})
		}),
	}}
}

// fillQueue fills a sidecar that has one slot and one place in its queue, and
// never sends a body.
func fillQueue(w *scenarioCluster) {
	summary := func(name string) *wire.Offer { return newOffer("summary", "draft", "", name) }
	first := w.openStream(w.draftAddress, offerMessage(draftOffer("a")))
	first.recvUntil(isGranted)
	low := w.openStream(w.draftAddress, offerMessage(summary("b")))
	low.recvUntil(isParked)
	high := w.openStream(w.draftAddress, offerMessage(draftOffer("c")))
	defer high.cancel()
	assert.Equal(w.t, low.end(), result.SidecarEvicted)
	full := w.openStream(w.draftAddress, offerMessage(summary("d")))
	assert.Equal(w.t, full.end(), result.SidecarQueueFull)
	assert.Equal(w.t, first.end(), result.GrantLapsed)
}

// newOffer returns an offer for a body as a gateway would send it.
func newOffer(class, model, key, body string) *wire.Offer {
	h := sha256.Sum256([]byte(body))
	return &wire.Offer{
		RequestId: "r_" + key + body, Attempt: 1, Account: "free", Class: class, TimeLeftUs: uint64((10 * time.Second).Microseconds()),
		Fingerprint: []byte(suspect.FingerprintOf("free", h[:])), Key: key, BodyHash: h[:], Idempotent: key == "",
		Method: http.MethodPost, Path: "/v1/chat/completions", BodyBytes: uint64(len(body)), Model: model,
	}
}

func draftOffer(body string) *wire.Offer { return newOffer("question", "draft", "", body) }

func pitchOffer(key, body string) *wire.Offer { return newOffer("pitch", "", key, body) }

// workStream is one Run stream to a sidecar.
type workStream struct {
	w      *scenarioCluster
	stream wire.DRPCWork_RunClient
	cancel context.CancelFunc
}

func (w *scenarioCluster) openStream(address string, m *wire.GatewayMessage) *workStream {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	stream, err := wire.NewDRPCWorkClient(w.dialer.To(address)).Run(ctx)
	assert.NilError(w.t, err)
	assert.NilError(w.t, stream.Send(m))
	return &workStream{w, stream, cancel}
}

func offerMessage(o *wire.Offer) *wire.GatewayMessage {
	return &wire.GatewayMessage{Kind: &wire.GatewayMessage_Offer{Offer: o}}
}

func bodyMessage(text string) *wire.GatewayMessage {
	return &wire.GatewayMessage{Kind: &wire.GatewayMessage_Body{Body: &wire.Body{Data: []byte(text), Last: true}}}
}

// recvUntil receives messages until kind accepts one or the stream ends, and
// returns the last one.
func (a *workStream) recvUntil(kind func(*wire.SidecarMessage) bool) *wire.SidecarMessage {
	for {
		m, err := a.stream.Recv()
		if err != nil || kind(m) {
			return m
		}
	}
}

func isGranted(m *wire.SidecarMessage) bool { return m.GetGranted() != nil }

func isParked(m *wire.SidecarMessage) bool { return m.GetParked() != nil }

// end receives until the attempt ends and returns its result code.
func (a *workStream) end() result.Code {
	defer a.cancel()
	m := a.recvUntil(func(m *wire.SidecarMessage) bool { return m.GetRefused() != nil || m.GetEnd() != nil })
	if m == nil {
		return result.OK
	}
	return result.Code(max(m.GetRefused().GetCode(), m.GetEnd().GetCode()))
}

// runOffer sends an offer, then the body unless the offer is refused, and returns
// the result code.
func (w *scenarioCluster) runOffer(address string, o *wire.Offer, body string) result.Code {
	w.t.Helper()
	a := w.openStream(address, offerMessage(o))
	m := a.recvUntil(func(m *wire.SidecarMessage) bool { return isGranted(m) || m.GetRefused() != nil })
	if m != nil && m.GetRefused() != nil {
		a.cancel()
		return result.Code(m.GetRefused().Code)
	}
	_ = a.stream.Send(bodyMessage(body))
	return a.end()
}
