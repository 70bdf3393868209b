package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"jasminewing.dev/jasminewing/internal/placement"
)

const (
	// hintSigma is the sigma of the error of a caller's estimate of the output.
	hintSigma = 0.5
	// maxRetryAfterShare is the share of its remaining time for which a caller obeys
	// a retry delay.
	maxRetryAfterShare = 1.0 / 3
	// callerDelay is the one-way delay between callers and gateways.
	callerDelay = 3 * time.Millisecond
)

// request is a request of a caller, including the retry after a refusal.
type request struct {
	kind    *Kind
	sim     *simulation
	arrived time.Time
	// deadline is when the caller gives up.
	deadline time.Time
	prompt   []placement.Part
	output   int
	hint     int
	// tries counts the times that the caller sent the request.
	tries int

	call *call
	// lastProgress is when the caller sent the request or received the last event.
	lastProgress time.Time
	firstEvent   time.Time
	longestPause time.Duration
	ended        bool
}

// start sends the request to a gateway.
func (r *request) start() {
	r.tries++
	r.lastProgress = r.sim.loop.Now
	g := r.sim.pickGateway()
	r.sim.loop.After(callerDelay, func() {
		if !r.ended {
			r.call = &call{request: r, gateway: g, began: r.sim.loop.Now}
			r.call.enqueue()
		}
	})
	r.watch(r.tries)
}

// watch ends the request when the caller's patience or time is over.
func (r *request) watch(try int) {
	at := r.lastProgress.Add(r.kind.Patience)
	if r.deadline.Before(at) {
		at = r.deadline
	}
	r.sim.loop.At(at, func() {
		now := r.sim.loop.Now
		if r.ended || r.tries != try {
			return
		}
		if now.Before(r.deadline) && now.Sub(r.lastProgress) < r.kind.Patience {
			r.watch(try)
			return
		}
		r.end(failed)
		if r.call != nil {
			r.call.callerLeft()
		}
	})
}

// receiveEvent records an event of the stream.
func (r *request) receiveEvent() {
	now := r.sim.loop.Now
	if r.firstEvent.IsZero() {
		r.firstEvent = now
	} else {
		r.longestPause = max(r.longestPause, now.Sub(r.lastProgress))
	}
	r.lastProgress = now
}

// refused handles a refusal that says that the request has not run. The caller
// retries once if it is asked to come back within the time that it accepts.
func (r *request) refused(retryAfter time.Duration) {
	now := r.sim.loop.Now
	left := r.deadline.Sub(now)
	if r.ended {
		return
	}
	if r.tries > 1 || retryAfter <= 0 || retryAfter > time.Duration(maxRetryAfterShare*float64(left)) {
		r.end(refused)
		return
	}
	r.sim.stats.returns++
	r.sim.loop.After(retryAfter+callerDelay, func() {
		if !r.ended {
			r.start()
		}
	})
}

func (r *request) end(o outcome) {
	if r.ended {
		return
	}
	r.ended = true
	r.sim.stats.record(r, o)
}

// inTime reports whether a completed request earns its full credit.
func (r *request) inTime() bool {
	return r.firstEvent.Sub(r.arrived) <= r.kind.Objective && r.longestPause <= r.kind.Pause
}

// draw returns a random value of the distribution, at least 1.
func (s Size) draw(random *rand.Rand) int {
	if s.Mean <= 0 {
		return 0
	}
	mu := math.Log(s.Mean) - s.Sigma*s.Sigma/2
	return int(max(min(math.Exp(mu+s.Sigma*random.NormFloat64()), s.Max), 1))
}
