package placement

import (
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

// RetryBounds limits the retries that all gateways together may send to a service.
type RetryBounds struct {
	// Ratio is the number of retries allowed per request for the service.
	Ratio float64
	// Extra is the number of retries allowed per window in addition to those that
	// Ratio allows.
	Extra float64
	// Window is the length of the sliding window in which requests and retries
	// are counted. Below budgetBuckets nanoseconds, these are the window; zero or less allows
	// no retries.
	Window time.Duration
}

const (
	// budgetBuckets is the number of buckets that a window is divided into.
	budgetBuckets = 20
	// budgetSafetyFactor is the fraction of the bounds that the gateways use. The
	// rest is a margin because upstreams count arrivals, and an attempt may arrive
	// in a later window than the one in which it was sent.
	budgetSafetyFactor = 0.75
)

// RetryBudget limits the retries of one gateway to its share of the bounds.
type RetryBudget struct {
	Bounds RetryBounds

	// begin is when the first request or retry was counted. Buckets are numbered from it by
	// differences of times, which don't change when the wall clock is set.
	begin   time.Time
	windows map[route.ServiceName]*window
}

// window counts requests and retries in a ring of buckets.
type window struct {
	bucket   int64
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
}

func (b *RetryBudget) windowFor(now time.Time, s route.ServiceName) *window {
	if b.windows == nil {
		b.windows = make(map[route.ServiceName]*window)
	}
	if b.begin.IsZero() {
		b.begin = now
	}
	w := b.windows[s]
	if w == nil {
		w = &window{}
		b.windows[s] = w
	}
	bucket := int64(now.Sub(b.begin) / max(b.Bounds.Window/budgetBuckets, 1))
	for n := max(w.bucket+1, bucket-budgetBuckets+1); n <= bucket; n++ {
		w.requests[n%budgetBuckets], w.retries[n%budgetBuckets] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
	return w
}

// CountRequest records a caller's request for the service.
func (b *RetryBudget) CountRequest(now time.Time, s route.ServiceName) {
	if b.Bounds.Window <= 0 {
		return
	}
	w := b.windowFor(now, s)
	w.requests[w.bucket%budgetBuckets]++
}

// Spend takes one retry for the service if the budget allows it, and reports
// whether it did. Bounds.Extra is divided by the number of gateways; the retries
// that Bounds.Ratio allows are not shared, as they follow from this gateway's own
// requests.
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
