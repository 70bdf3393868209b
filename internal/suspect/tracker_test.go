package suspect

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/wire"
)

// Died blocks until peers have received the new suspicions, or until
// exchangeTimeout. It does not block for deaths that peers know already, and Merge
// never blocks.
func TestDiedWaitsForPeers(t *testing.T) {
	tests := []struct {
		name string
		// answerAfter is how long peers take to answer; zero means that a peer
		// never answers.
		answerAfter, want time.Duration
	}{
		{"peers answer", 30 * time.Millisecond, 30 * time.Millisecond},
		{"a peer does not answer", 0, exchangeTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				exchanges := 0
				tracker := &Tracker{ExchangeNow: func() <-chan struct{} {
					exchanges++
					shared := make(chan struct{})
					if tt.answerAfter > 0 {
						time.AfterFunc(tt.answerAfter, func() { close(shared) })
					}
					return shared
				}}
				took := func(f func()) time.Duration {
					begin := time.Now()
					f()
					return time.Since(begin)
				}
				crasher := []*wire.Offer{{Fingerprint: []byte("killer")}}
				died := func() { tracker.Died(time.Now(), "draft_1/1", crasher) }
				assert.Equal(t, took(died), tt.want)
				assert.Equal(t, took(died), time.Duration(0), "a death that is already recorded must not be shared again")
				received := []*wire.Suspicion{{Fingerprint: []byte("other"), Deaths: 1, DeathsOf: []string{"draft_2/1"}}}
				assert.Equal(t, took(func() { tracker.Merge(time.Now(), received) }), time.Duration(0))
				assert.Equal(t, exchanges, 2, "received suspicions must be forwarded once")
			})
		})
	}
}
