package main

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/demo"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/standin"
	"jasminewing.dev/jasminewing/pkg/table"
)

// classLoad sends drafts of one class until the returned function is called.
func (c *cluster) classLoad(g *proc, class table.ClassName, rate float64, words int) func() (*standin.ClassReport, map[string]int) {
	l := &standin.Load{
		Gateway: fleet.Address(g.callers), Rate: rate, Duration: patience, Streamed: 0.5, Concurrency: 96,
		ClassHeader: "Jasminewing-Class", Seed: 11,
		Profiles: []standin.RequestProfile{{Class: class, Key: demo.MarketKey, Model: "draft", MaxTokens: words}},
	}
	stop := make(chan struct{})
	done := make(chan standin.LoadReport, 1)
	go func() {
		r, err := l.RunUntil(context.Background(), stop)
		assert.Check(c.t, err)
		done <- r
	}()
	return func() (*standin.ClassReport, map[string]int) {
		close(stop)
		r := <-done
		return r.Classes[class], r.Codes
	}
}

// withSmallQueues makes every queue fill up soon.
func withSmallQueues(c *cluster) {
	c.gatewayFlags = []string{"--max-waiting", "24"}
	c.sidecarFlags = []string{"--max-parked", "16"}
}

// roomForMarket lifts the client account's own limits out of the way.
var roomForMarket = withEdit("accounts", ",10,500,200,", ",10,50000,20000,")

// fault is what befalls the third upstream, and what ends it.
type fault struct {
	name   string
	begin  func(d *drafts, u *upstream)
	end    func(d *drafts, u *upstream)
	relays bool
}

func faults() []fault {
	none := func(*drafts, *upstream) {}
	return []fault{
		{name: "kill", begin: func(_ *drafts, u *upstream) { u.kill() }, end: none},
		{
			name: "freeze", begin: func(_ *drafts, u *upstream) { u.freeze() },
			end: func(_ *drafts, u *upstream) { u.wake() },
		},
		{
			name: "reset", begin: func(_ *drafts, u *upstream) { u.before.Reset() },
			end: func(_ *drafts, u *upstream) { u.before.Restore() }, relays: true,
		},
		{
			name: "drop", begin: func(_ *drafts, u *upstream) { u.before.Drop() },
			end: func(_ *drafts, u *upstream) { u.before.Restore() }, relays: true,
		},
		{
			name: "platform down", begin: func(d *drafts, _ *upstream) { d.config.SetDown(true); d.vms.SetDown(true) },
			end: func(d *drafts, _ *upstream) { d.config.SetDown(false); d.vms.SetDown(false) },
		},
		{
			name: "data centre out", begin: func(d *drafts, _ *upstream) { d.edit("data_centres", southIn, southOut) },
			end: func(d *drafts, _ *upstream) { d.edit("data_centres", southOut, southIn) },
		},
	}
}

// withFaults runs a test once for each fault.
func withFaults(t *testing.T, test func(t *testing.T, f fault, options ...option)) {
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			options := []option{roomForMarket, withEdit("upstreams", ",8,1,", ",2,2,")}
			if f.relays {
				options = append(options, withRelays)
			}
			test(t, f, options...)
		})
	}
}

func slowEngine() *standin.Engine { return &standin.Engine{Slots: 2, TokenGap: 5 * time.Millisecond} }

// The lowest tier floods queues that hold little, and a fault befalls an
// upstream: the flood is shed, and nothing of the top tier is.
func TestTopTierNotShed(t *testing.T) {
	t.Parallel()
	withFaults(t, func(t *testing.T, f fault, options ...option) {
		d := newDrafts(t, threeEngines, slowEngine, append(options, withSmallQueues)...)
		u := d.upstreams[2]
		flood := d.classLoad(d.gateways[0], "season_summary", 100, 40)
		questions := d.classLoad(d.gateways[0], "booth_question", 5, 4)
		d.await("the flood is served", func() bool { return u.engine.Stats().Completed > 5 })
		f.begin(d, u)
		wait(time.Now().Add(2 * time.Second))
		f.end(d, u)
		wait(time.Now().Add(500 * time.Millisecond))
		top, codes := questions()
		low, shed := flood()
		assert.DeepEqual(t, codes, map[string]int{})
		assert.Equal(t, top.Complete, top.Due)
		assert.Equal(t, top.Wrong+low.Wrong, 0)
		assert.Assert(t, low.Complete < low.Due && len(shed) > 0, "nothing was shed")
	})
}

// The top tier floods more than all engines can take, and a fault befalls one:
// a long draft of the lowest tier completes all the same.
func TestLowestTierCompletes(t *testing.T) {
	t.Parallel()
	withFaults(t, func(t *testing.T, f fault, options ...option) {
		options = append(options, withEdit("classes", "100ms,5m,30s", "100ms,5m,300ms"))
		d := newDrafts(t, threeEngines, slowEngine, options...)
		u := d.upstreams[2]
		flood := d.classLoad(d.gateways[0], "booth_question", 150, 20)
		d.await("the flood is served", func() bool { return u.engine.Stats().Completed > 5 })
		f.begin(d, u)
		r := draft("long manifest", 60, true)
		r.class = "season_summary"
		q := d.gateways[0].begin(r)
		d.await("the manifest is written", q.ended)
		assertWhole(t, r, q.reply)
		f.end(d, u)
		top, _ := flood()
		assert.Assert(t, top.NotSent > 0, "the flood was no flood")
		assert.Equal(t, top.Wrong, 0)
	})
}
