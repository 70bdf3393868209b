package main

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/standin"
)

// coldCrashingEngine is an engine that bears one request while cold and falls over
// with two; a clean answer warms it.
func coldCrashingEngine() *standin.Engine {
	return &standin.Engine{TokenGap: 5 * time.Millisecond, ColdSlots: 1, ColdFactor: 4, WarmAfter: 1, RestartAfter: 100 * time.Millisecond}
}

// startFullLoad gives full load to a fleet until each engine has run its limit at once,
// and gives what ends the load.
func (d *engineDeployment) startFullLoad() func() standin.LoadReport {
	d.t.Helper()
	stopLoad := d.startLoad(d.gateways[0], 120)
	for _, u := range d.upstreams {
		d.await("full load at "+u.engine.Name, func() bool { return u.engine.Stats().MostRunning >= 4 })
	}
	return stopLoad
}

// Fresh engines get full load at once, and one crashes under it and comes back
// cold: no engine ever runs more than it bears cold, and answers are whole.
func TestColdUnderFullLoad(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, threeEngines, coldCrashingEngine)
	stopLoad := d.startFullLoad()
	u := d.upstreams[0]
	d.await("work at the engine", func() bool { return u.engine.Stats().Running >= 2 })
	assert.NilError(t, u.engine.Control(standin.Crash, 0))
	before := u.engine.Stats().Completed
	d.await("work after the crash", func() bool { return u.engine.Stats().Completed > before+20 })
	r := stopLoad()
	for _, u := range d.upstreams {
		s := u.engine.Stats()
		assert.Equal(t, s.ColdFalls, 0, "%s fell over while cold", s.Instance)
		assert.Equal(t, s.MostRunningCold, 1, "%s", s.Instance)
	}
	assertAllComplete(t, r)
}

// An engine turns cold without a sign while it runs its full load. Nobody can
// know before it shows: the next grant may make it fall, once. From then on it
// gets no more than it bears, and every answer is whole.
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
	d.await("work after the cold", func() bool { s := u.engine.Stats(); return s.Completed > before+20 && !s.Cold })
	r := stopLoad()
	t.Logf("%+v", u.engine.Stats())
	assert.Assert(t, u.engine.Stats().ColdFalls <= 1, "fell over %d times", u.engine.Stats().ColdFalls)
	assertAllComplete(t, r)
}
