package simulation

import "time"

// Load is the traffic of a run, relative to the usual traffic of a site.
type Load struct {
	Name string
	// Factor multiplies the rates of all kinds of request.
	Factor float64
	// Bursts multiply the rate of one kind for some time.
	Bursts []Burst
	// Crashes take engines down.
	Crashes []Crash
	// Withdrawals make engines leave or ask for pauses.
	Withdrawals []Withdrawal
	// Duration is how long callers send requests.
	Duration time.Duration
}

// Burst multiplies the rate of a kind of request by Factor.
type Burst struct {
	Kind     string
	From     time.Duration
	Duration time.Duration
	Factor   float64
}

// Crash takes a share of the engines down. They return with empty caches.
type Crash struct {
	At       time.Duration
	Duration time.Duration
	Share    float64
}

// Withdrawal makes a share of the engines leave and another share refuse requests, which
// only their answers say: what is published stays as it is.
type Withdrawal struct {
	At time.Duration
	// LeavingShare of the engines say that they leave, and are gone after LeavingFor.
	LeavingShare float64
	LeavingFor   time.Duration
	// PausingShare of the engines refuse requests for PausingFor, and ask for a pause of
	// Pause each time.
	PausingShare      float64
	PausingFor, Pause time.Duration
}

// rate returns the rate of a kind of request at a time since the start.
func (l Load) rate(k *Kind, since time.Duration) float64 {
	rate := k.Rate * l.Factor
	for _, b := range l.Bursts {
		if b.Kind == k.Name && since >= b.From && since < b.From+b.Duration {
			rate *= b.Factor
		}
	}
	return rate
}

// maxRate returns the highest rate of a kind of request in the load.
func (l Load) maxRate(k *Kind) float64 {
	most := l.rate(k, 0)
	for _, b := range l.Bursts {
		most = max(most, l.rate(k, b.From))
	}
	return most
}
