package sidecar

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/booking"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/table"
)

// emptyFleet is a Fleet with an empty view.
type emptyFleet struct{}

func (emptyFleet) View() *fleet.View                                                { return &fleet.View{} }
func (emptyFleet) Changed() <-chan struct{}                                         { return nil }
func (emptyFleet) ObserveVersions(table.Revision, fleet.ListVersion, fleet.Address) {}
func (emptyFleet) Renew(context.Context) error                                      { return nil }

// Messages that were queued before the task ended are handled. Otherwise the
// outcome of the last run of a stopping sidecar would be lost.
func TestKeysHandleQueuedMessagesAtStop(t *testing.T) {
	for range 32 {
		k := &Keys{Fleet: emptyFleet{}, Core: booking.Core{Self: fleet.VM{Name: "vm_1"}}}
		k.Init()
		reply := make(chan *wire.ClaimReply, 1)
		claim := &wire.ClaimRequest{Account: "market", Key: "key", Home: "vm_2", ClaimId: 1}
		k.send(keyEnvelope{message: booking.ClaimReceived{Ref: 1, Request: claim}, reply: reply})
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		assert.NilError(t, k.Run(ctx))
		assert.Equal(t, len(reply), 1, "the queued claim was not answered")
	}
}
