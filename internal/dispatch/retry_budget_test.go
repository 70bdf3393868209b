package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// countSpent calls Spend the given number of times and counts the retries that
// the budget grants.
func countSpent(b *RetryBudget, tries int) int {
	n := 0
	for range tries {
		if b.Spend() {
			n++
		}
	}
	return n
}

func TestRetryBudget(t *testing.T) {
	tests := []struct {
		name  string
		share float64
		run   func(b *RetryBudget) int
		want  int
	}{
		{"a new budget holds the full burst", 0.1, func(b *RetryBudget) int { return countSpent(b, 100) }, retryBurst},
		{"a share of zero allows no retries", 0, func(b *RetryBudget) int {
			for range 1000 {
				b.Earn()
			}
			return countSpent(b, 10)
		}, 0},
		{"requests earn their share of retries", 0.25, func(b *RetryBudget) int {
			countSpent(b, 100)
			for range 40 {
				b.Earn()
			}
			return countSpent(b, 100)
		}, 10},
		{"the balance is capped at the burst", 0.5, func(b *RetryBudget) int {
			for range 1000 {
				b.Earn()
			}
			return countSpent(b, 100)
		}, retryBurst},
		{"interleaved requests and retries keep to the share", 0.125, func(b *RetryBudget) int {
			countSpent(b, 100)
			n := 0
			for range 800 {
				b.Earn()
				n += countSpent(b, 1)
			}
			return n
		}, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, tt.run(&RetryBudget{Share: tt.share}), tt.want)
		})
	}
}
