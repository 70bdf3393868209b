package suspect

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/wire"
)

// Who tells of a death waits until peers know of it, though not for ever; what
// peers know already, and what is heard from them, is waited for by nobody.
func TestDiedWaitsForPeers(t *testing.T) {
	tests := []struct {
		name string
		// answerAfter is how long peers take; zero for one that never answers.
		answerAfter, want time.Duration
	}{
		{"peers answer", 30 * time.Millisecond, 30 * time.Millisecond},
		{"a peer does not", 0, spreadTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				spreads := 0
				b := &Tracker{Spread: func() <-chan struct{} {
					spreads++
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
				died := func() { b.Died(time.Now(), "draft_1/1", crasher) }
				assert.Equal(t, took(died), tt.want)
				assert.Equal(t, took(died), time.Duration(0), "told twice")
				received := []*wire.Suspicion{{Fingerprint: []byte("other"), Deaths: 1, DeathsOf: []string{"draft_2/1"}}}
				assert.Equal(t, took(func() { b.Merge(time.Now(), received) }), time.Duration(0))
				assert.Equal(t, spreads, 2, "what was heard is passed on once")
			})
		})
	}
}
