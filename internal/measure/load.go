package measure

import (
	"time"

	"jasminewing.dev/jasminewing/pkg/table"
)

// Times of a run. What is measured arrives or ends in the window.
const (
	// DefaultWarmUp lets the sidecars come out of their cold start.
	DefaultWarmUp = 120 * time.Second
	// DefaultWindow is the time that is measured.
	DefaultWindow = 240 * time.Second
	// faultAfter is when in the window a fault comes.
	faultDelay = 30 * time.Second
	// faultFor is how long it lasts, where it ends.
	faultDuration = 90 * time.Second
)

// Load is a demand and what goes wrong meanwhile.
type Load struct {
	Name string
	// Factor gives what the steady share of a class is multiplied by in the
	// window.
	Factor func(d *Deployment, t Traffic) float64
	// Fault is called once, faultAfter into the window.
	Fault func(w *simulation)
	// LowestFits says that the lowest tier's demand fits what the others leave.
	LowestTierFits bool
	// Crash says that an engine dies.
	Crash bool
}

func constant(factor float64) func(*Deployment, Traffic) float64 {
	return func(*Deployment, Traffic) float64 { return factor }
}

// burst raises one class until all engine classes together ask for total.
func burst(total float64) func(*Deployment, Traffic) float64 {
	return func(d *Deployment, t Traffic) float64 {
		if t.Class != d.BurstClass {
			return 1
		}
		return 1 + (total-steadyLoad)/t.Share
	}
}

// flood raises the top tier to a share of the capacity.
func flood(share float64) func(*Deployment, Traffic) float64 {
	return func(d *Deployment, t Traffic) float64 {
		if d.Table.Classes[t.Class].Tier != 1 || t.Share == 0 {
			return 1
		}
		return share / t.Share
	}
}

// Loads gives all loads in the order of the table.
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

// straggle makes the first engine five times slower for a while.
func straggle(sim *simulation) {
	const factor = 5
	e := sim.firstEngine()
	e.setSlowdown(factor)
	sim.loop.after(faultDuration, func() { e.setSlowdown(1) })
}

// crash kills the first engine.
func crash(sim *simulation) { sim.firstEngine().crash() }

// coldReturn turns the first engine cold without a word.
func coldReturn(sim *simulation) { sim.firstEngine().turnCold() }

// dataCentreOut takes the first data centre out and back in.
func dataCentreOut(sim *simulation) {
	dc := sim.deployment.dataCentres()[0]
	sim.setDataCentreState(dc, table.Out)
	sim.loop.after(faultDuration, func() { sim.setDataCentreState(dc, table.In) })
}
