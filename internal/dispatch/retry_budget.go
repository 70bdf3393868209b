package dispatch

import "sync"

// retryBurst is the maximum balance of a RetryBudget, in retries.
const retryBurst = 20

// RetryBudget limits retries to a share of the requests, so that retries do not
// amplify an overload. It is safe for concurrent use.
type RetryBudget struct {
	// Share is the number of retries that each request adds to the balance.
	Share float64

	mu      sync.Mutex
	balance float64
	filled  bool
}

// Earn adds one request's share to the balance. It is called for each request.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fillOnce()
	b.balance = min(b.balance+b.Share, retryBurst)
}

// Spend takes one retry from the balance. It returns false if less than one is
// left.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fillOnce()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// fillOnce sets the balance to the full burst on first use, because a gateway
// that has just started may have to retry its first requests. The balance stays
// zero if Share is zero.
func (b *RetryBudget) fillOnce() {
	if b.filled {
		return
	}
	b.filled = true
	if b.Share > 0 {
		b.balance = retryBurst
	}
}
