package placement

import (
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

// RepeatBounds bound what all gateways together may send again to a service.
type RepeatBounds struct {
	// Ratio is the part of the requests for the service.
	Ratio float64
	// Extra is added to that.
	Extra float64
	// Window is the sliding time in which both are counted.
	Window time.Duration
}

const (
	// budgetSteps are the parts that a window is counted in.
	budgetSteps = 20
	// budgetMargin is the part of the bounds that is used: the upstreams count
	// arrivals, which may fall into another window than the sends.
	budgetMargin = 0.75
)

// Budget keeps the repeats of one gateway within its part of the bounds.
type Budget struct {
	Bounds RepeatBounds

	services map[route.ServiceName]*window
}

// window counts requests and repeats in steps of a ring.
type window struct {
	step     int64
	requests [budgetSteps]int
	repeats  [budgetSteps]int
}

func (b *Budget) windowOf(now time.Time, s route.ServiceName) *window {
	if b.services == nil {
		b.services = make(map[route.ServiceName]*window)
	}
	w := b.services[s]
	if w == nil {
		w = &window{}
		b.services[s] = w
	}
	step := now.UnixNano() / int64(b.Bounds.Window/budgetSteps)
	for n := max(w.step+1, step-budgetSteps+1); n <= step; n++ {
		w.requests[n%budgetSteps], w.repeats[n%budgetSteps] = 0, 0
	}
	w.step = max(w.step, step)
	return w
}

// Count notes a caller's request.
func (b *Budget) Count(now time.Time, s route.ServiceName) {
	if b.Bounds.Window <= 0 {
		return
	}
	w := b.windowOf(now, s)
	w.requests[w.step%budgetSteps]++
}

// Spend takes one repeat, if there is one; divisor is the number of gateways
// that share what is not earned by requests.
func (b *Budget) Spend(now time.Time, s route.ServiceName, divisor float64) bool {
	if b.Bounds.Window <= 0 {
		return false
	}
	w := b.windowOf(now, s)
	requests, repeats := 0, 0
	for n := range budgetSteps {
		requests += w.requests[n]
		repeats += w.repeats[n]
	}
	if float64(repeats+1) > budgetMargin*(b.Bounds.Ratio*float64(requests)+b.Bounds.Extra/divisor) {
		return false
	}
	w.repeats[w.step%budgetSteps]++
	return true
}
