package placement

import "time"

const (
	// minBatchShare is the least share of an engine's batch that requests of the least
	// urgent tier may fill, and initialBatchShare the share before any of them ended.
	minBatchShare, initialBatchShare = 0.2, 0.2
	// targetTimeUsed is the fraction of its time that a request should need. The more
	// requests an engine runs, the more slowly it generates each token; requests that
	// need much more of their time than this often pass their deadline, after all the
	// work that was spent on them.
	targetTimeUsed = 0.4
	// increaseGain and decreaseGain scale the change of the share. It decreases faster,
	// because the requests that are already admitted go on to slow each other.
	increaseGain, decreaseGain = 0.04, 0.16
)

// pace adjusts the share of engines that the least urgent requests of a service may
// fill, by the fraction of their time that they needed.
type pace struct {
	adjusted bool
	share    float64
}

// batchShare returns the share of an engine's batch that may be filled.
func (p *pace) batchShare() float64 {
	if !p.adjusted {
		return initialBatchShare
	}
	return p.share
}

// observe records a request that took some of the time that it had.
func (p *pace) observe(took, had time.Duration) {
	if had <= 0 {
		return
	}
	used := min(float64(took)/float64(had), 1)
	gain := increaseGain
	if used > targetTimeUsed {
		gain = decreaseGain
	}
	share := p.batchShare() + gain*(targetTimeUsed-used)/targetTimeUsed
	p.share, p.adjusted = min(max(share, minBatchShare), 1), true
}
