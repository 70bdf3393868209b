package setting

import "jasminewing.dev/jasminewing/internal/fleet"

// Gateway contains the settings of a gateway.
type Gateway struct {
	Common

	Listen     fleet.Address `long:"listen" env:"JASMINEWING_LISTEN" value-name:"IP:PORT" description:"address to listen on for callers"`
	PeerListen fleet.Address `long:"peer-listen" env:"JASMINEWING_PEER_LISTEN" value-name:"IP:PORT" description:"address to listen on for other processes of the fleet"`

	StopSettle Duration `long:"stop-settle" env:"JASMINEWING_STOP_SETTLE" value-name:"DURATION" default:"2s" description:"how long requests are still accepted after a stop was requested and readiness fails"`

	MaxWaiting Count `long:"max-waiting" env:"JASMINEWING_MAX_WAITING" value-name:"N" default:"4096" description:"maximum number of requests waiting at this gateway"`
	RetryShare Share `long:"retry-share" env:"JASMINEWING_RETRY_SHARE" value-name:"SHARE" default:"0.1" description:"share of requests that may be retried, 0 to 1"`
	Subset     Count `long:"subset" env:"JASMINEWING_SUBSET" value-name:"N" default:"8" description:"minimum number of sidecars per service that this gateway connects to"`
}

// Bounds of a gateway's settings.
const (
	maxWaiting = 1_000_000
	maxSubset  = 10_000
)

// Validate returns all errors, in the order of the settings. Each is a *result.Error
// with the code result.BadSetting.
func (g *Gateway) Validate() []error {
	var k checker
	g.check(&k)
	k.listen("listen", g.Listen)
	k.listen("peer-listen", g.PeerListen)
	k.distinct(
		listener{"admin-listen", g.AdminListen},
		listener{"listen", g.Listen},
		listener{"peer-listen", g.PeerListen},
	)
	k.duration("stop-settle", g.StopSettle, 0, maxStopDuration)
	k.count("max-waiting", g.MaxWaiting, 1, maxWaiting)
	k.share("retry-share", g.RetryShare)
	k.count("subset", g.Subset, 1, maxSubset)
	return k.errs
}
