package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/standin"
)

// coldCrashingEngine returns an engine that runs one request at a time while cold
// and crashes with two. One completed answer warms it up.
func coldCrashingEngine() *standin.Engine {
	return &standin.Engine{TokenGap: 5 * time.Millisecond, ColdSlots: 1, ColdFactor: 4, WarmAfter: 1, RestartAfter: 100 * time.Millisecond}
}

// startFullLoad starts full load and waits until each engine has run 4 requests at
// once. It returns a function that stops the load and returns the report.
func (d *engineDeployment) startFullLoad() func() standin.LoadReport {
	d.t.Helper()
	stopLoad := d.startLoad(d.gateways[0], 120)
	for _, u := range d.upstreams {
		d.await("full load on "+u.engine.Name, func() bool { return u.engine.Stats().MostRunning >= 4 })
	}
	return stopLoad
}

// New engines get full load immediately, and one of them crashes under load and
// restarts cold. A cold engine must never run more than its cold limit, because it
// would crash again. All answers are complete.
func TestColdUnderFullLoad(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, threeEngines, coldCrashingEngine)
	stopLoad := d.startFullLoad()
	u := d.upstreams[0]
	d.await("running requests on the engine", func() bool { return u.engine.Stats().Running >= 2 })
	assert.NilError(t, u.engine.Control(standin.Crash, 0))
	before := u.engine.Stats().Completed
	d.await("completed requests after the crash", func() bool { return u.engine.Stats().Completed > before+20 })
	r := stopLoad()
	for _, u := range d.upstreams {
		s := u.engine.Stats()
		assert.Equal(t, s.ColdCrashes, 0, "%s crashed while cold", s.Instance)
		assert.Equal(t, s.MostRunningCold, 1, "%s", s.Instance)
	}
	assertAllComplete(t, r)
}

// An engine turns cold without notice while it runs its full load. The sidecar
// cannot detect this in advance, so the next grant may crash the engine once. After
// that, the engine gets no more than its cold limit. All answers are complete.
func TestEngineTurnsColdAtFullLoad(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, threeEngines, func() *standin.Engine {
		e := coldCrashingEngine()
		e.ColdSlots, e.WarmAfter = 2, 3
		return e
	})
	stopLoad := d.startFullLoad()
	u := d.upstreams[0]
	d.await("full load", func() bool { return u.engine.Stats().Running >= 5 })
	assert.NilError(t, u.engine.Control(standin.Cold, 0))
	before := u.engine.Stats().Completed
	d.await("completed requests and a warm engine", func() bool { s := u.engine.Stats(); return s.Completed > before+20 && !s.Cold })
	r := stopLoad()
	t.Logf("%+v", u.engine.Stats())
	assert.Assert(t, u.engine.Stats().ColdCrashes <= 1, "crashed %d times while cold", u.engine.Stats().ColdCrashes)
	assertAllComplete(t, r)
}
