package process

import (
	"context"
	"net"

	"go.uber.org/fx"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/sidecar"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

// peerClient calls other processes.
type peerClient struct{ dialer *wire.Dialer }

// Sync exchanges what both sides know.
func (p *peerClient) Sync(ctx context.Context, to fleet.Address, r *wire.SyncRequest) (*wire.SyncReply, error) {
	return wire.NewDRPCPeerClient(p.dialer.To(string(to))).Sync(ctx, r)
}

// Claim asks a witness.
func (p *peerClient) Claim(ctx context.Context, to fleet.Address, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	return wire.NewDRPCPeerClient(p.dialer.To(string(to))).Claim(ctx, r)
}

// peerServer answers other processes.
type peerServer struct {
	fleet *fleet.Task
	// keys is nil in a gateway.
	keys *sidecar.Keys
}

// Sync answers a peer.
func (s *peerServer) Sync(ctx context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	return s.fleet.HandleSync(ctx, r)
}

// Claim answers another home.
func (s *peerServer) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	if s.keys == nil {
		return nil, result.Errorf(result.BadMessage, "this process is no witness")
	}
	return s.keys.Claim(ctx, r)
}

// servePeers serves drpc until the program stops.
func servePeers(lc fx.Lifecycle, g *group, l net.Listener, s *wire.Server, p refusalCounter, log *event.Log) {
	s.OnRefused = func(remote string, err error) {
		host, _, _ := net.SplitHostPort(remote)
		p.CountRefusal(result.CodeOf(err))
		log.WriteThrottled(event.PeerRefused, host, "error", err)
	}
	lc.Append(fx.StartHook(func() {
		g.run(func(ctx context.Context) error { return s.Serve(ctx, l) })
	}))
}
