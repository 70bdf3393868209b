package main

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/standin"
	"jasminewing.dev/jasminewing/pkg/result"
)

// A request that ends each engine that runs it, sent again and again by its
// caller through both gateways in turn, without a pause: two engines end, and
// from then on it is refused everywhere. Nobody else is harmed.
func TestRequestThatEndsEngines(t *testing.T) {
	t.Parallel()
	const row = "draft_3,south,engine,draft,1,8,1,in,\n"
	engines := append([]upstreamRow{{"draft_4", "south"}}, threeEngines...)
	d := newDrafts(t, engines, func() *standin.Engine {
		return &standin.Engine{TokenGap: 10 * time.Millisecond, RestartAfter: 200 * time.Millisecond}
	}, withEdit("upstreams", row, row+"draft_4,south,engine,draft,1,8,1,in,\n"))
	crashes := func() (n int) {
		for _, u := range d.upstreams {
			n += u.engine.Stats().Crashes
		}
		return n
	}
	const killers, repeats, others = 3, 6, 8
	for k := range killers {
		var innocent []*pending
		for i := range others {
			r := draft(fmt.Sprintf("innocent %d beside killer %d", i, k), 30, i%4 < 2)
			innocent = append(innocent, d.gateways[i%2].begin(r))
		}
		d.await("others run", func() bool { return d.running() != nil })
		before := crashes()
		killer := draft(fmt.Sprintf("%s %d", standin.CrashText, k), 10, false)
		for i := range repeats {
			got := d.gateways[(k+i)%2].send(killer)
			assertRefused(t, got, i > 0, result.Suspect)
		}
		n := crashes() - before
		t.Logf("killer %d: %d engines ended", k, n)
		assert.Assert(t, n > 0 && n <= 2, "%d engines ended", n)
		for _, q := range innocent {
			<-q.done
			assertWhole(t, q.request, q.reply)
		}
	}
}
