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

// startClassLoad sends drafts of one class until the returned function is called.
func (c *cluster) startClassLoad(g *proc, class table.ClassName, rate float64, tokens int) func() (*standin.ClassReport, map[string]int) {
	l := &standin.Load{
		Gateway: fleet.Address(g.callerAddr), Rate: rate, Duration: awaitTimeout, Streamed: 0.5, Concurrency: 96,
		ClassHeader: "Jasminewing-Class", Seed: 11,
		Mixes: []standin.Mix{{Class: class, Key: demo.MarketKey, Model: "draft", MaxTokens: tokens}},
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

// withoutMarketLimits lifts the client account's own limits out of the way.
var withoutMarketLimits = withEdit("accounts", ",10,500,200,", ",10,50000,20000,")

// fault is what befalls the third upstream, and what ends it.
type fault struct {
	name   string
	begin  func(d *engineDeployment, u *upstream)
	end    func(d *engineDeployment, u *upstream)
	relays bool
}

func faults() []fault {
	noop := func(*engineDeployment, *upstream) {}
	return []fault{
		{name: "kill", begin: func(_ *engineDeployment, u *upstream) { u.kill() }, end: noop},
		{
			name: "freeze", begin: func(_ *engineDeployment, u *upstream) { u.freeze() },
			end: func(_ *engineDeployment, u *upstream) { u.resume() },
		},
		{
			name: "reset", begin: func(_ *engineDeployment, u *upstream) { u.frontRelay.Reset() },
			end: func(_ *engineDeployment, u *upstream) { u.frontRelay.Restore() }, relays: true,
		},
		{
			name: "drop", begin: func(_ *engineDeployment, u *upstream) { u.frontRelay.Drop() },
			end: func(_ *engineDeployment, u *upstream) { u.frontRelay.Restore() }, relays: true,
		},
		{
			name: "platform down", begin: func(d *engineDeployment, _ *upstream) { d.config.SetDown(true); d.vms.SetDown(true) },
			end: func(d *engineDeployment, _ *upstream) { d.config.SetDown(false); d.vms.SetDown(false) },
		},
		{
			name: "data centre out", begin: func(d *engineDeployment, _ *upstream) { d.edit("data_centres", southIn, southOut) },
			end: func(d *engineDeployment, _ *upstream) { d.edit("data_centres", southOut, southIn) },
		},
	}
}

// forEachFault runs a test once for each fault.
func forEachFault(t *testing.T, test func(t *testing.T, f fault, options ...clusterOption)) {
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			options := []clusterOption{withoutMarketLimits, withEdit("upstreams", ",8,1,", ",2,2,")}
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
	forEachFault(t, func(t *testing.T, f fault, options ...clusterOption) {
		d := newEngineDeployment(t, threeEngines, slowEngine, append(options, withSmallQueues)...)
		u := d.upstreams[2]
		flood := d.startClassLoad(d.gateways[0], "season_summary", 100, 40)
		questions := d.startClassLoad(d.gateways[0], "booth_question", 5, 4)
		d.await("the flood is served", func() bool { return u.engine.Stats().Completed > 5 })
		f.begin(d, u)
		sleepUntil(time.Now().Add(2 * time.Second))
		f.end(d, u)
		sleepUntil(time.Now().Add(500 * time.Millisecond))
		top, codes := questions()
		low, shed := flood()
		assert.DeepEqual(t, codes, map[string]int{})
		assert.Equal(t, top.Whole, top.Due)
		assert.Equal(t, top.Wrong+low.Wrong, 0)
		assert.Assert(t, low.Whole < low.Due && len(shed) > 0, "nothing was shed")
	})
}

// The top tier floods more than all engines can take, and a fault befalls one:
// a long draft of the lowest tier completes all the same.
func TestLowestTierCompletes(t *testing.T) {
	t.Parallel()
	forEachFault(t, func(t *testing.T, f fault, options ...clusterOption) {
		options = append(options, withEdit("classes", "100ms,5m,30s", "100ms,5m,300ms"))
		d := newEngineDeployment(t, threeEngines, slowEngine, options...)
		u := d.upstreams[2]
		flood := d.startClassLoad(d.gateways[0], "booth_question", 150, 20)
		d.await("the flood is served", func() bool { return u.engine.Stats().Completed > 5 })
		f.begin(d, u)
		r := chatRequest("long manifest", 60, true)
		r.class = "season_summary"
		q := d.gateways[0].begin(r)
		d.await("the manifest is written", q.finished)
		assertComplete(t, r, q.reply)
		f.end(d, u)
		top, _ := flood()
		assert.Assert(t, top.NotSent > 0, "the flood was no flood")
		assert.Equal(t, top.Wrong, 0)
	})
}
