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
	faultAfter = 30 * time.Second
	// faultFor is how long it lasts, where it ends.
	faultFor = 90 * time.Second
)

// Load is a demand and what goes wrong meanwhile.
type Load struct {
	Name string
	// Factor gives what the steady share of a class is multiplied by in the
	// window.
	Factor func(d *Deployment, t Traffic) float64
	// Fault is called once, faultAfter into the window.
	Fault func(w *world)
	// LowestFits says that the lowest tier's demand fits what the others leave.
	LowestFits bool
	// Crash says that an engine dies.
	Crash bool
}

func same(factor float64) func(*Deployment, Traffic) float64 {
	return func(*Deployment, Traffic) float64 { return factor }
}

// burst raises one class until all engine classes together ask for total.
func burst(total float64) func(*Deployment, Traffic) float64 {
	return func(d *Deployment, t Traffic) float64 {
		if t.Class != d.Burst {
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
		{Name: "steady 70 %", Factor: same(1), LowestFits: true},
		{Name: "full 100 %", Factor: burst(1)},
		{Name: "burst 200 %", Factor: burst(2)},
		{Name: "straggler", Factor: same(1), Fault: straggle, LowestFits: true},
		{Name: "crash", Factor: same(1), Fault: crash, LowestFits: true, Crash: true},
		{Name: "cold return", Factor: burst(1), Fault: coldReturn},
		{Name: "data centre out", Factor: same(1), Fault: dataCentreOut},
		{Name: "top-tier flood", Factor: flood(0.85)},
	}
}

// straggle makes the first engine five times slower for a while.
func straggle(w *world) {
	const factor = 5
	e := w.firstEngine()
	e.setSlow(factor)
	w.loop.after(faultFor, func() { e.setSlow(1) })
}

// crash kills the first engine.
func crash(w *world) { w.firstEngine().crash() }

// coldReturn turns the first engine cold without a word.
func coldReturn(w *world) { w.firstEngine().turnCold() }

// dataCentreOut takes the first data centre out and back in.
func dataCentreOut(w *world) {
	dc := w.deployment.dataCentres()[0]
	w.setDataCentre(dc, table.Out)
	w.loop.after(faultFor, func() { w.setDataCentre(dc, table.In) })
}
