package measure

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// Phases of a run. Attainment counts the calls that arrive in the window, goodput
// the answers that end in it.
const (
	// DefaultWarmUp is the time before the window. It lets the sidecars finish
	// their cold start.
	DefaultWarmUp = 120 * time.Second
	// DefaultWindow is the length of the measurement window.
	DefaultWindow = 240 * time.Second
	// faultDelay is the time from the start of the window to the fault.
	faultDelay = 30 * time.Second
	// faultDuration is the duration of faults that are reverted.
	faultDuration = 90 * time.Second
)

// Load is a demand and a fault that is injected under it.
type Load struct {
	Name string
	// Factor returns the factor by which the steady rate of a class is multiplied
	// from the start of the window.
	Factor func(d *Deployment, t Traffic) float64
	// Fault injects the fault. It is called once, faultDelay after the start of
	// the window; nil for no fault.
	Fault func(sim *simulation)
	// LowestTierFits reports that the capacity left by the other tiers is enough
	// for the lowest tier's demand.
	LowestTierFits bool
	// Crash reports that the fault crashes an engine.
	Crash bool
}

func constant(factor float64) func(*Deployment, Traffic) float64 {
	return func(*Deployment, Traffic) float64 { return factor }
}

// burst raises the deployment's burst class until the demand of all engine
// classes together is total, a multiple of the capacity.
func burst(total float64) func(*Deployment, Traffic) float64 {
	return func(d *Deployment, t Traffic) float64 {
		if t.Class != d.BurstClass {
			return 1
		}
		return 1 + (total-steadyLoad)/t.Share
	}
}

// flood raises the demand of each engine class of the top tier to a share of the
// capacity.
func flood(share float64) func(*Deployment, Traffic) float64 {
	return func(d *Deployment, t Traffic) float64 {
		if d.Table.Classes[t.Class].Tier != 1 || t.Share == 0 {
			return 1
		}
		return share / t.Share
	}
}

// Loads returns all loads in the order of the report.
func Loads() []Load {
	return []Load{
		{Name: "steady 70 %", Factor: constant(1), LowestTierFits: true},
		{Name: "full 100 %", Factor: burst(1)},
		{Name: "burst 200 %", Factor: burst(2)},
		{Name: "straggler", Factor: constant(1), Fault: straggle, LowestTierFits: true},
		{Name: "crash", Factor: constant(1), Fault: crash, LowestTierFits: true, Crash: true},
		{Name: "cold return", Factor: burst(1), Fault: coldReturn},
		{Name: "data centre out", Factor: constant(1), Fault: dataCentreOut},
		{Name: "top-tier flood", Factor: flood(0.85)},
	}
}

// straggle makes the first engine five times slower for faultDuration.
func straggle(sim *simulation) {
	const factor = 5
	e := sim.firstEngine()
	e.setSlowdown(factor)
	sim.loop.After(faultDuration, func() { e.setSlowdown(1) })
}

// crash crashes the first engine.
func crash(sim *simulation) { sim.firstEngine().crash() }

// coldReturn turns the first engine cold without a sign of it: the engine stays
// up and keeps its instance number, so health checks don't detect it.
func coldReturn(sim *simulation) { sim.firstEngine().turnCold() }

// dataCentreOut takes the first data centre out of service and puts it back
// after faultDuration.
func dataCentreOut(sim *simulation) {
	dc := sim.deployment.dataCentres()[0]
	sim.setDataCentreState(dc, table.Out)
	sim.loop.After(faultDuration, func() { sim.setDataCentreState(dc, table.In) })
}
