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

// startClassLoad sends chat requests of one class to a gateway. The returned function
// stops the load and returns the report of the class and the error codes.
func (c *cluster) startClassLoad(g *proc, class table.ClassName, rate float64, tokens int) func() (*standin.ClassReport, map[string]int) {
	l := &standin.Load{
		Gateway: fleet.Address(g.callerAddr), Rate: rate, Duration: awaitTimeout, Streamed: 0.5, Concurrency: 96,
		ClassHeader: "Jasminewing-Class", Seed: 11,
		Profiles: []standin.RequestProfile{{Class: class, Key: demo.MarketKey, Model: "draft", MaxTokens: tokens}},
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

// withSmallQueues limits the queues of gateways and sidecars so that they fill up
// quickly.
func withSmallQueues(c *cluster) {
	c.gatewayFlags = []string{"--max-waiting", "24"}
	c.sidecarFlags = []string{"--max-parked", "16"}
}

// withRaisedMarketLimits raises the limits of the client account market so that the
// tests do not reach them.
var withRaisedMarketLimits = withEdit("accounts", ",10,500,200,", ",10,50000,20000,")

// fault is a failure of the third upstream, its data centre or the platform, with the
// functions that cause and end it.
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

// forEachFault runs a test as a subtest for each fault.
func forEachFault(t *testing.T, test func(t *testing.T, f fault, options ...clusterOption)) {
	for _, f := range faults() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			options := []clusterOption{withRaisedMarketLimits, withEdit("upstreams", ",8,1,", ",2,2,")}
			if f.relays {
				options = append(options, withRelays)
			}
			test(t, f, options...)
		})
	}
}

func slowEngine() *standin.Engine { return &standin.Engine{Slots: 2, TokenGap: 5 * time.Millisecond} }

// The lowest tier overloads the fleet, whose queues are small, while a fault occurs.
// Requests of the lowest tier are shed, and none of the top tier.
func TestTopTierNotShed(t *testing.T) {
	t.Parallel()
	forEachFault(t, func(t *testing.T, f fault, options ...clusterOption) {
		d := newEngineDeployment(t, threeEngines, slowEngine, append(options, withSmallQueues)...)
		u := d.upstreams[2]
		flood := d.startClassLoad(d.gateways[0], "season_summary", 100, 40)
		questions := d.startClassLoad(d.gateways[0], "booth_question", 5, 4)
		d.await("completed requests of the lowest tier", func() bool { return u.engine.Stats().Completed > 5 })
		f.begin(d, u)
		sleepUntil(time.Now().Add(2 * time.Second))
		f.end(d, u)
		sleepUntil(time.Now().Add(500 * time.Millisecond))
		top, codes := questions()
		low, shed := flood()
		assert.DeepEqual(t, codes, map[string]int{})
		assert.Equal(t, top.Complete, top.Due)
		assert.Equal(t, top.Wrong+low.Wrong, 0)
		assert.Assert(t, low.Complete < low.Due && len(shed) > 0, "no request of the lowest tier was shed")
	})
}

// The top tier overloads all engines while a fault occurs. A long request of the
// lowest tier still completes.
func TestLowestTierCompletes(t *testing.T) {
	t.Parallel()
	forEachFault(t, func(t *testing.T, f fault, options ...clusterOption) {
		options = append(options, withEdit("classes", "100ms,5m,30s", "100ms,5m,300ms"))
		d := newEngineDeployment(t, threeEngines, slowEngine, options...)
		u := d.upstreams[2]
		flood := d.startClassLoad(d.gateways[0], "booth_question", 150, 20)
		d.await("completed requests of the top tier", func() bool { return u.engine.Stats().Completed > 5 })
		f.begin(d, u)
		r := chatRequest("long manifest", 60, true)
		r.class = "season_summary"
		q := d.gateways[0].begin(r)
		d.await("the end of the lowest tier's answer", q.finished)
		assertComplete(t, r, q.reply)
		f.end(d, u)
		top, _ := flood()
		assert.Assert(t, top.NotSent > 0, "the load did not exceed the capacity")
		assert.Equal(t, top.Wrong, 0)
	})
}
