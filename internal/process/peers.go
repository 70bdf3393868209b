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

// peerClient calls other processes of the fleet.
type peerClient struct{ dialer *wire.Dialer }

// Sync exchanges fleet state with the process at an address.
func (p *peerClient) Sync(ctx context.Context, to fleet.Address, r *wire.SyncRequest) (*wire.SyncReply, error) {
	return wire.NewDRPCPeerClient(p.dialer.To(string(to))).Sync(ctx, r)
}

// Claim asks the witness at an address to record a claim.
func (p *peerClient) Claim(ctx context.Context, to fleet.Address, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	return wire.NewDRPCPeerClient(p.dialer.To(string(to))).Claim(ctx, r)
}

// peerServer answers the calls of other processes of the fleet.
type peerServer struct {
	fleet *fleet.Task
	// keys is nil in a gateway.
	keys *sidecar.Keys
}

// Sync handles an exchange of fleet state that a peer started.
func (s *peerServer) Sync(ctx context.Context, r *wire.SyncRequest) (*wire.SyncReply, error) {
	return s.fleet.HandleSync(ctx, r)
}

// Claim handles a claim of the sidecar that is the home of a key.
func (s *peerServer) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	if s.keys == nil {
		return nil, result.Errorf(result.BadMessage, "this process is no witness")
	}
	return s.keys.Claim(ctx, r)
}

// servePeers serves DRPC until the program stops. It counts and logs connections
// that do not present the secret.
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
