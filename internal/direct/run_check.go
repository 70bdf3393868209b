package direct

import (
	"context"
	"errors"
	"syscall"
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

const (
	// runCheckDelay is how long after a complete answer of a suspected request its upstream is
	// checked: after the time within which a crash is held against the request, and before its
	// answer counts for it, both in package suspect.
	runCheckDelay = 450 * time.Millisecond
	// runCheckTimeout is the maximum duration of the check.
	runCheckTimeout = 150 * time.Millisecond
)

// checkAfterAnswer checks after runCheckDelay whether an upstream still runs that has answered a
// suspected request. Such requests run apart from others, so that no other request may break off
// or be refused there if it crashes.
func (g *Gateway) checkAfterAnswer(u route.Upstream) {
	pool := g.poolOf(u)
	time.AfterFunc(runCheckDelay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), runCheckTimeout)
		defer cancel()
		if err := pool.Check(ctx); errors.Is(err, syscall.ECONNREFUSED) {
			g.Suspects.Refused(time.Now(), instanceOf(u))
		}
	})
}
