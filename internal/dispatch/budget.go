package dispatch

import "sync"

// retryBurst is how many retries may be saved up.
const retryBurst = 20

// Budget bounds repeated work to a share of the requests, so that retries do
// not feed an overload. It is safe for concurrent use.
type Budget struct {
	// Share is how many retries a request earns.
	Share float64

	mu      sync.Mutex
	balance float64
	filled  bool
}

// Earn is called for each request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fillOnce()
	b.balance = min(b.balance+b.Share, retryBurst)
}

// Spend takes one retry, if there is one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fillOnce()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// fillOnce grants the burst at once: a fresh gateway may have to retry its
// first requests.
func (b *Budget) fillOnce() {
	if b.filled {
		return
	}
	b.filled = true
	if b.Share > 0 {
		b.balance = retryBurst
	}
}
