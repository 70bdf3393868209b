package sidecar

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/pkg/table"
)

// The state reported to gateways is updated after each offer, even if the change
// need not be published at once, because gateways select upstreams by these
// numbers.
func TestReportsFollowEachOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Sidecar{UpstreamName: "draft_1"}
		a := &s.admitter
		a.Core = admission.Core{Upstream: table.Upstream{Name: "draft_1", Limit: 1, ColdLimit: 1}}
		a.PublishState, a.StoreState = s.publishState, s.reports.store
		a.init()
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = a.Run(ctx) }()

		class := table.Class{Name: "draft", Tier: 1, StarvationShare: 10}
		var ids []admission.OfferID
		for range 4 {
			id, _ := a.offer(admission.Offered{Account: "market", Class: class, Weight: 1})
			ids = append(ids, id)
		}
		synctest.Wait()
		assert.Equal(t, s.State().InFlight, 1)
		assert.Equal(t, s.State().Parked, 3)
		a.notifyCore(admission.Withdrawn{ID: ids[2]})
		synctest.Wait()
		assert.Equal(t, s.State().Parked, 2)
		cancel()
		synctest.Wait()
	})
}
