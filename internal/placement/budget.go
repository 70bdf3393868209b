package placement

import (
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

// RetryBounds bound what all gateways together may send again to a service.
type RetryBounds struct {
	// Ratio is the part of the requests for the service.
	Ratio float64
	// Extra is added to that.
	Extra float64
	// Window is the sliding time in which both are counted.
	Window time.Duration
}

const (
	// budgetBuckets are the parts that a window is counted in.
	budgetBuckets = 20
	// budgetSafetyFactor is the part of the bounds that is used: the upstreams count
	// arrivals, which may fall into another window than the sends.
	budgetSafetyFactor = 0.75
)

// RetryBudget keeps the repeats of one gateway within its part of the bounds.
type RetryBudget struct {
	Bounds RetryBounds

	windows map[route.ServiceName]*window
}

// window counts requests and repeats in steps of a ring.
type window struct {
	bucket   int64
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
}

func (b *RetryBudget) windowFor(now time.Time, s route.ServiceName) *window {
	if b.windows == nil {
		b.windows = make(map[route.ServiceName]*window)
	}
	w := b.windows[s]
	if w == nil {
		w = &window{}
		b.windows[s] = w
	}
	bucket := now.UnixNano() / int64(b.Bounds.Window/budgetBuckets)
	for n := max(w.bucket+1, bucket-budgetBuckets+1); n <= bucket; n++ {
		w.requests[n%budgetBuckets], w.retries[n%budgetBuckets] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
	return w
}

// CountRequest notes a caller's request.
func (b *RetryBudget) CountRequest(now time.Time, s route.ServiceName) {
	if b.Bounds.Window <= 0 {
		return
	}
	w := b.windowFor(now, s)
	w.requests[w.bucket%budgetBuckets]++
}

// Spend takes one repeat, if there is one; divisor is the number of gateways
// that share what is not earned by requests.
func (b *RetryBudget) Spend(now time.Time, s route.ServiceName, gateways float64) bool {
	if b.Bounds.Window <= 0 {
		return false
	}
	w := b.windowFor(now, s)
	requests, retries := 0, 0
	for n := range budgetBuckets {
		requests += w.requests[n]
		retries += w.retries[n]
	}
	if float64(retries+1) > budgetSafetyFactor*(b.Bounds.Ratio*float64(requests)+b.Bounds.Extra/gateways) {
		return false
	}
	w.retries[w.bucket%budgetBuckets]++
	return true
}
