package sidecar

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// staticFleet is a Fleet whose view never changes.
type staticFleet struct{ view fleet.View }

func (f *staticFleet) View() *fleet.View { return &f.view }

func (f *staticFleet) Changed() <-chan struct{} { return nil }

func (f *staticFleet) ObserveVersions(table.Revision, fleet.ListVersion, fleet.Address) {}

func (f *staticFleet) Renew(context.Context) error { return nil }

// fakeGatewayStream is the stream of a gateway that sends the messages in sent. It
// records the replies in got.
type fakeGatewayStream struct {
	wire.DRPCWork_RunStream
	ctx  context.Context
	sent []*wire.GatewayMessage
	got  []*wire.SidecarMessage
}

func (g *fakeGatewayStream) Context() context.Context { return g.ctx }

func (g *fakeGatewayStream) Recv() (*wire.GatewayMessage, error) {
	if len(g.sent) == 0 {
		return nil, io.EOF
	}
	m := g.sent[0]
	g.sent = g.sent[1:]
	return m, nil
}

func (g *fakeGatewayStream) Send(m *wire.SidecarMessage) error {
	g.got = append(g.got, m)
	return nil
}

// newIdleSidecar returns a sidecar whose tasks are not running.
func newIdleSidecar() *Sidecar {
	t := &table.Table{
		Classes:   map[table.ClassName]table.Class{"draft": {Name: "draft", Kind: table.Engine, Idempotent: true}},
		Upstreams: map[table.UpstreamName]table.Upstream{"draft_1": {Name: "draft_1", Kind: table.Engine, Serves: []table.ServiceName{"draft"}}},
	}
	s := &Sidecar{
		UpstreamName: "draft_1", Fleet: &staticFleet{fleet.View{Ready: true, Table: t}},
		Keys: &Keys{}, Suspects: &suspect.Tracker{}, MaxBody: 100,
	}
	s.admitter.PublishState, s.admitter.StoreState = s.publishState, s.reports.store
	s.admitter.init()
	s.metrics.init(s)
	s.Keys.Init()
	return s
}

// An offer that reaches a sidecar whose tasks have ended is refused as not run, and
// the refusal is counted.
func TestStoppedSidecarRefuses(t *testing.T) {
	s := newIdleSidecar()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, s.admitter.Run(ended))
	g := &fakeGatewayStream{ctx: t.Context(), sent: []*wire.GatewayMessage{{Kind: &wire.GatewayMessage_Offer{
		Offer: &wire.Offer{Class: "draft", Model: "draft", TimeLeftUs: 1e6},
	}}}}
	assert.NilError(t, (&Work{s}).Run(g))
	assert.Equal(t, len(g.got), 1)
	assert.Equal(t, result.Code(g.got[0].GetRefused().GetCode()), result.Stopping)
	assert.Assert(t, g.got[0].GetRefused().NotRun)
	var b bytes.Buffer
	s.WriteMetrics(&b)
	assert.Assert(t, strings.Contains(b.String(), refusalMetric(result.Stopping)+" 1\n"))
}
