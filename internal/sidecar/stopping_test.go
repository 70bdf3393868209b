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

// stillFleet is a view that never changes.
type stillFleet struct{ view fleet.View }

func (f *stillFleet) View() *fleet.View { return &f.view }

func (f *stillFleet) Changed() <-chan struct{} { return nil }

func (f *stillFleet) Behind(table.Revision, fleet.ListVersion, fleet.Address) {}

func (f *stillFleet) Renew(context.Context) error { return nil }

// gatewaySide is the stream of a gateway that sends these messages.
type gatewaySide struct {
	wire.DRPCWork_RunStream
	ctx  context.Context
	sent []*wire.GatewayMessage
	got  []*wire.SidecarMessage
}

func (g *gatewaySide) Context() context.Context { return g.ctx }

func (g *gatewaySide) Recv() (*wire.GatewayMessage, error) {
	if len(g.sent) == 0 {
		return nil, io.EOF
	}
	m := g.sent[0]
	g.sent = g.sent[1:]
	return m, nil
}

func (g *gatewaySide) Send(m *wire.SidecarMessage) error {
	g.got = append(g.got, m)
	return nil
}

// newStill gives a sidecar whose tasks do not run.
func newStill() *Sidecar {
	t := &table.Table{
		Classes:   map[table.ClassName]table.Class{"draft": {Name: "draft", Kind: table.Engine, Idempotent: true}},
		Upstreams: map[table.UpstreamName]table.Upstream{"draft_1": {Name: "draft_1", Kind: table.Engine, Serves: []table.ServiceName{"draft"}}},
	}
	s := &Sidecar{
		UpstreamName: "draft_1", Fleet: &stillFleet{fleet.View{Ready: true, Table: t}},
		Keys: &Keys{}, Suspects: &suspect.Tracker{}, MaxBody: 100,
	}
	s.admitter.Report, s.admitter.Count = s.noteState, s.reports.count
	s.admitter.init()
	s.metrics.init(s)
	s.Keys.Init()
	return s
}

// An offer that reaches a sidecar whose tasks have ended is refused as not run,
// and counted.
func TestStoppedSidecarRefuses(t *testing.T) {
	s := newStill()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, s.admitter.Run(ended))
	g := &gatewaySide{ctx: t.Context(), sent: []*wire.GatewayMessage{{Kind: &wire.GatewayMessage_Offer{
		Offer: &wire.Offer{Class: "draft", Model: "draft", TimeLeftUs: 1e6},
	}}}}
	assert.NilError(t, (&Work{s}).Run(g))
	assert.Equal(t, len(g.got), 1)
	assert.Equal(t, result.Code(g.got[0].GetRefused().GetCode()), result.Stopping)
	assert.Assert(t, g.got[0].GetRefused().NotRun)
	var b bytes.Buffer
	s.WriteMetrics(&b)
	assert.Assert(t, strings.Contains(b.String(), refusalName(result.Stopping)+" 1\n"))
}
