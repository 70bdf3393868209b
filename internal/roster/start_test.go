package roster

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/suspect"
)

// Guards against a gateway that replaces another one, hears nobody yet, and begins trials of
// what is held back beside the gateways whose turn it is. In a session with three gateways, one
// began a trial 0.5 s after its start.
func TestStartingGatewayTakesNoTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, fresh := newGateway(1, "old"), newGateway(2, "fresh")
		start := func(g *Task) {
			g.init()
			g.startedAt = time.Now()
			g.publishLivePeers(time.Now())
		}
		chosen := func(g *Task) (n int) {
			for turn := range uint64(100) {
				if g.Chosen(turn) {
					n++
				}
			}
			return n
		}
		assert.Equal(t, chosen(old), 0, "before the start")
		start(old)
		time.Sleep(maxHearingTime)
		old.publishLivePeers(time.Now())
		assert.Equal(t, chosen(old), 100, "a gateway alone takes all turns")
		start(fresh)
		for begin := time.Now(); time.Since(begin) < fresh.silentAfter(); time.Sleep(exchangeInterval) {
			fresh.publishLivePeers(time.Now())
			assert.Equal(t, chosen(fresh), 0, "after %s", time.Since(begin))
			exchange(t, fresh, old)
		}
		for _, g := range []*Task{old, fresh} {
			g.publishLivePeers(time.Now())
		}
		assert.Assert(t, chosen(fresh) > 0 && chosen(old) > 0)
		for turn := range uint64(100) {
			assert.Assert(t, old.Chosen(turn) != fresh.Chosen(turn), "turn %d", turn)
		}
	})
}

// Guards against a gateway that is ready before it knows what others hold back, and sends on
// what they refuse.
func TestGatewayIsIntroducedBeforeItIsReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := newGateway(1, "old")
		for _, i := range []fleet.Incarnation{"i-1/1", "i-2/1"} {
			old.Suspects.Core.Handle(time.Now(), suspect.Died{Incarnation: i, Traits: []suspect.Trait{7}})
			time.Sleep(time.Second)
		}
		started := func(seeds ...string) *Task {
			g := newGateway(2, "fresh")
			g.Seeds = seeds
			assert.Assert(t, !g.Introduced(), "before the start")
			g.init()
			g.startedAt = time.Now()
			return g
		}
		assert.Assert(t, started().Introduced(), "there is no other gateway")
		assert.Assert(t, started("10.0.0.2:1").Introduced(), "it is its only seed")

		g := started(old.Self)
		assert.Assert(t, !g.Introduced())
		old.init()
		old.addPeer(g.Self)
		g.receive(t.Context(), old.state(time.Now(), g.Self, false))
		assert.Assert(t, !g.Introduced(), "a message with the latest changes only")
		exchange(t, g, old)
		assert.Assert(t, g.Introduced())
		assert.Equal(t, g.Suspects.Digest(), old.Suspects.Digest())

		g = started(old.Self)
		g.recordFailedCall(t.Context(), old.Self)
		assert.Assert(t, g.Introduced(), "nothing listens at the seed")

		g = started(old.Self)
		time.Sleep(introductionTime - time.Millisecond)
		assert.Assert(t, !g.Introduced())
		time.Sleep(time.Millisecond)
		assert.Assert(t, g.Introduced(), "nobody answers")
	})
}
