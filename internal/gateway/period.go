package gateway

import "time"

// periods numbers the periods that buckets of counts cover, from the first use on. It goes by
// differences of times, which don't change when the wall clock is set.
type periods struct{ first time.Time }

// number returns the number of the period of the given length at a time.
func (p *periods) number(now time.Time, length time.Duration) int64 {
	if p.first.IsZero() {
		p.first = now
	}
	return int64(now.Sub(p.first) / length)
}
