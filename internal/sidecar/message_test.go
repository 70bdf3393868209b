package sidecar

import (
	"bytes"
	"context"
	"crypto/sha256"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

func bodyPart(text string, last bool) *wire.GatewayMessage {
	return &wire.GatewayMessage{Kind: &wire.GatewayMessage_Body{Body: &wire.Body{Data: []byte(text), Last: last}}}
}

func offerMessage(o *wire.Offer) *wire.GatewayMessage {
	return &wire.GatewayMessage{Kind: &wire.GatewayMessage_Offer{Offer: o}}
}

// An attempt whose messages violate the protocol is refused as not run and releases
// its slot. The upstream of this sidecar is nil, so that a call on it panics.
func TestBadMessages(t *testing.T) {
	offer := func(bytes uint64) *wire.Offer {
		return &wire.Offer{RequestId: "r", Class: "draft", Model: "draft", TimeLeftUs: 1e6, BodyBytes: bytes}
	}
	tests := []struct {
		name string
		sent []*wire.GatewayMessage
		want result.Code
	}{
		{"body longer than offered", []*wire.GatewayMessage{offerMessage(offer(3)), bodyPart("abcd", true)}, result.BadMessage},
		{"body longer in two parts", []*wire.GatewayMessage{offerMessage(offer(3)), bodyPart("ab", false), bodyPart("cd", true)}, result.BadMessage},
		{"body longer, without a last part", []*wire.GatewayMessage{offerMessage(offer(3)), bodyPart("abcd", false)}, result.BadMessage},
		{"body shorter than offered", []*wire.GatewayMessage{offerMessage(offer(3)), bodyPart("ab", true)}, result.BadMessage},
		{"body without a last part", []*wire.GatewayMessage{offerMessage(offer(3)), bodyPart("abc", false)}, result.BadBody},
		{"a second offer", []*wire.GatewayMessage{offerMessage(offer(3)), offerMessage(offer(3))}, result.BadMessage},
		{"body larger than the sidecar accepts", []*wire.GatewayMessage{offerMessage(offer(101))}, result.BodyTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newIdleSidecar()
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = s.admitter.Run(ctx) }()
				s.admitter.notifyCore(admission.Configured{Upstream: table.Upstream{Name: "draft_1", Limit: 1, ColdLimit: 1}})
				g := &fakeGatewayStream{ctx: ctx, sent: tt.sent}
				assert.NilError(t, (&Work{s}).Run(g))
				last := g.got[len(g.got)-1].GetRefused()
				assert.Equal(t, result.Code(last.GetCode()), tt.want, "%s", last.GetDetail())
				assert.Assert(t, last.GetNotRun())
				synctest.Wait()
				assert.Equal(t, s.State().InFlight, 0)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// A stream whose first message is not an offer ends with an error, which is
// counted as a refusal.
func TestFirstMessageNotOffer(t *testing.T) {
	s := newIdleSidecar()
	g := &fakeGatewayStream{ctx: t.Context(), sent: []*wire.GatewayMessage{bodyPart("abc", true)}}
	err := (&Work{s}).Run(g)
	assert.Equal(t, result.CodeOf(err), result.BadMessage)
	assert.Equal(t, len(g.got), 0)
	var b bytes.Buffer
	s.WriteMetrics(&b)
	assert.Assert(t, strings.Contains(b.String(), refusalMetric(result.BadMessage)+" 1\n"))
}

// The body of a request with a key must match the hash with which the key was
// claimed.
func TestBodyMatchesItsHash(t *testing.T) {
	h := sha256.Sum256([]byte("abc"))
	tests := []struct {
		name, key, body string
		want            result.Code
	}{
		{"matching body", "k", "abc", result.OK},
		{"different body", "k", "abd", result.BadMessage},
		{"different body without a key", "", "abd", result.OK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := &attempt{
				stream: &fakeGatewayStream{sent: []*wire.GatewayMessage{bodyPart(tt.body, true)}},
				offer:  &wire.Offer{Key: tt.key, BodyHash: h[:], BodyBytes: 3},
				class:  table.Class{Kind: table.Plain},
			}
			assert.Equal(t, result.CodeOf(a.receiveBody()), tt.want)
		})
	}
}
