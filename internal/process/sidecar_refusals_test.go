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

// keyAt gives a key whose home is a VM, where both bookings are listed.
func keyAt(home fleet.VMName) string {
	vms := []fleet.VM{{Name: "vm_booking_1"}, {Name: "vm_booking_2"}}
	for i := 0; ; i++ {
		k := fmt.Sprintf("k%d", i)
		if booking.Order(booking.Key{Account: "free", Text: k}, vms)[0].Name == home {
			return k
		}
	}
}

// crasherAt gives a body that ends its engine, and of which vm_draft_1 is the
// first place or, with the other two before it, none.
func crasherAt(first bool) string {
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

// refusedAs gives a step that offers to a sidecar until it refuses with a code.
func refusedAs(name string, code result.Code, change func(w *world)) step {
	return step{name, []string{refusals(code)}, func(w *world) {
		change(w)
		w.await(name, func() bool { return w.run(w.draftAt, draftOffer("{}"), "{}") == code })
	}}
}

func editing(section, text, old, fresh string) func(w *world) {
	return func(w *world) {
		assert.Assert(w.t, strings.Contains(text, old))
		w.config.Set(section, []byte(strings.Replace(text, old, fresh, 1)))
	}
}

func offering(o *wire.Offer) func(*world) {
	return func(w *world) { w.run(w.draftAt, o, "x") }
}

// doors are what sidecars answer to a gateway that is late, wrong or foreign.
func doors() scenario {
	late, large := draftOffer("x"), draftOffer("x")
	late.TimeLeftUs = 0
	large.BodyBytes = 5 << 10
	h := shape{noGateway: true, maxParked: 1, dead: []table.UpstreamName{"draft_2", "draft_3", "booking_2"}}
	return scenario{"doors", h, []step{
		{"no body", []string{refusals(result.GrantLapsed), refusals(result.SidecarEvicted), refusals(result.SidecarQueueFull)}, playQueue},
		{"late", []string{refusals(result.DeadlinePassed)}, offering(late)},
		{"large", []string{refusals(result.BodyTooLarge)}, offering(large)},
		{"other model", []string{refusals(result.WrongUpstream)}, offering(offerOf("question", "other", "", "x"))},
		{"other class", []string{refusals(result.StaleTable)}, offering(offerOf("none", "draft", "", "x"))},
		{"no offer", []string{refusals(result.BadMessage)}, func(w *world) { w.offer(w.draftAt, bodyOf("x")).end() }},
		{"body not as offered", []string{refusals(result.BadMessage)}, func(w *world) { w.run(w.draftAt, draftOffer("x"), "xyz") }},
		{"half a body", []string{refusals(result.BadBody)}, func(w *world) {
			a := w.offer(w.draftAt, offered(draftOffer("x")))
			a.until(granted)
			assert.NilError(w.t, a.stream.CloseSend())
			a.end()
		}},
		{"other secret", []string{refusals(result.BadSecret)}, func(w *world) {
			d := &wire.Dialer{Secret: "another"}
			defer d.Close()
			_, err := wire.NewDRPCPeerClient(d.To(w.draftAt)).Sync(context.Background(), &wire.SyncRequest{})
			assert.Assert(w.t, err != nil)
		}},
		{"home elsewhere", []string{refusals(result.NotHome)}, func(w *world) {
			w.run(w.bookingAt, pitchOffer(keyAt("vm_booking_2"), "x"), "x")
		}},
		{"witness is dead", []string{refusals(result.WitnessUnreached)}, func(w *world) {
			w.run(w.bookingAt, pitchOffer(keyAt("vm_booking_1"), "x"), "x")
		}},
		{"claimed elsewhere", []string{refusals(result.KeyClaimedElsewhere)}, func(w *world) {
			o := pitchOffer(keyAt("vm_booking_1"), "x")
			_, err := wire.NewDRPCPeerClient(w.dialer.To(w.bookingAt)).Claim(context.Background(), &wire.ClaimRequest{
				Account: o.Account, Key: o.Key, BodyHash: o.BodyHash, Home: "vm_booking_2", HomeIncarnation: "i", ClaimId: 1,
			})
			assert.NilError(w.t, err)
			w.run(w.bookingAt, o, "x")
		}},
		{"suspect at another place", []string{refusals(result.SuspectBusy)}, func(w *world) {
			body := crasherAt(false)
			assert.Equal(w.t, w.run(w.draftAt, draftOffer(body), body), result.UpstreamCutOff)
			w.run(w.draftAt, draftOffer(body), body)
		}},
		{"two deaths", []string{refusals(result.Suspect)}, func(w *world) {
			body := crasherAt(true)
			for range 3 {
				w.run(w.draftAt, draftOffer(body), body)
			}
		}},
		{"no connection", []string{refusals(result.UpstreamUnreached)}, func(w *world) {
			// What asks for its health goes on over its idle connection.
			assert.NilError(w.t, w.servers[len(w.servers)-1].Listener.Close())
			w.run(w.bookingAt, pitchOffer("", "x"), "x")
		}},
		refusedAs("data centre out", result.DataCentreOut, editing("data_centres", worldCentres, "demo,in", "demo,out")),
		refusedAs("upstream out", result.UpstreamOut, func(w *world) {
			w.config.Set("data_centres", []byte(worldCentres))
			editing("upstreams", worldUpstreams, "draft,1,1,in", "draft,1,1,out")(w)
		}),
		refusedAs("upstream unhealthy", result.UpstreamUnhealthy, func(w *world) {
			w.config.Set("upstreams", []byte(worldUpstreams))
			assert.NilError(w.t, w.engine.Control(standin.Drain, 0))
		}),
		refusedAs("leaving", result.UpstreamLeaving, func(w *world) {
			w.vms.Set(fleet.VM{
				Name: "vm_draft_1", Role: fleet.Sidecar, DataCentre: "north", Upstream: "draft_1",
				Address: fleet.Address(w.draftAt), State: fleet.Leaving,
			})
		}),
	}}
}

// playQueue fills a sidecar of one slot and one place, and never sends a body.
func playQueue(w *world) {
	summary := func(name string) *wire.Offer { return offerOf("summary", "draft", "", name) }
	first := w.offer(w.draftAt, offered(draftOffer("a")))
	first.until(granted)
	low := w.offer(w.draftAt, offered(summary("b")))
	low.until(parked)
	high := w.offer(w.draftAt, offered(draftOffer("c")))
	defer high.cancel()
	assert.Equal(w.t, low.end(), result.SidecarEvicted)
	full := w.offer(w.draftAt, offered(summary("d")))
	assert.Equal(w.t, full.end(), result.SidecarQueueFull)
	assert.Equal(w.t, first.end(), result.GrantLapsed)
}

// offerOf gives an offer for a body, as a gateway would make it.
func offerOf(class, model, key, body string) *wire.Offer {
	h := sha256.Sum256([]byte(body))
	return &wire.Offer{
		RequestId: "r_" + key + body, Attempt: 1, Account: "free", Class: class, TimeLeftUs: uint64((10 * time.Second).Microseconds()),
		Fingerprint: []byte(suspect.FingerprintOf("free", h[:])), Key: key, BodyHash: h[:], Idempotent: key == "",
		Method: http.MethodPost, Path: "/v1/chat/completions", BodyBytes: uint64(len(body)), Model: model,
	}
}

func draftOffer(body string) *wire.Offer { return offerOf("question", "draft", "", body) }

func pitchOffer(key, body string) *wire.Offer { return offerOf("pitch", "", key, body) }

// attemptAt is one stream of a sidecar's work.
type attemptAt struct {
	w      *world
	stream wire.DRPCWork_RunClient
	cancel context.CancelFunc
}

func (w *world) offer(at string, m *wire.GatewayMessage) *attemptAt {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	stream, err := wire.NewDRPCWorkClient(w.dialer.To(at)).Run(ctx)
	assert.NilError(w.t, err)
	assert.NilError(w.t, stream.Send(m))
	return &attemptAt{w, stream, cancel}
}

func offered(o *wire.Offer) *wire.GatewayMessage {
	return &wire.GatewayMessage{Kind: &wire.GatewayMessage_Offer{Offer: o}}
}

func bodyOf(text string) *wire.GatewayMessage {
	return &wire.GatewayMessage{Kind: &wire.GatewayMessage_Body{Body: &wire.Body{Data: []byte(text), Last: true}}}
}

// until reads until a message of a kind has come, or the stream has ended.
func (a *attemptAt) until(kind func(*wire.SidecarMessage) bool) *wire.SidecarMessage {
	for {
		m, err := a.stream.Recv()
		if err != nil || kind(m) {
			return m
		}
	}
}

func granted(m *wire.SidecarMessage) bool { return m.GetGranted() != nil }

func parked(m *wire.SidecarMessage) bool { return m.GetParked() != nil }

// end reads to the end and gives the code of it.
func (a *attemptAt) end() result.Code {
	defer a.cancel()
	m := a.until(func(m *wire.SidecarMessage) bool { return m.GetRefused() != nil || m.GetEnd() != nil })
	if m == nil {
		return result.OK
	}
	return result.Code(max(m.GetRefused().GetCode(), m.GetEnd().GetCode()))
}

// run carries an offer with its body to its end.
func (w *world) run(at string, o *wire.Offer, body string) result.Code {
	w.t.Helper()
	a := w.offer(at, offered(o))
	m := a.until(func(m *wire.SidecarMessage) bool { return granted(m) || m.GetRefused() != nil })
	if m != nil && m.GetRefused() != nil {
		a.cancel()
		return result.Code(m.GetRefused().Code)
	}
	_ = a.stream.Send(bodyOf(body))
	return a.end()
}
