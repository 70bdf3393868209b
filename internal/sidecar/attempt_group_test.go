package sidecar

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Attempts begin and end while somebody waits; the wait ends with the last of
// those that it saw, and the race detector has nothing to say.
func TestAttemptGroup(t *testing.T) {
	var p attemptGroup
	p.wait(context.Background())
	p.add()
	waited := make(chan struct{})
	go func() {
		defer close(waited)
		p.wait(context.Background())
	}()
	var others sync.WaitGroup
	for range 8 {
		others.Go(func() {
			p.add()
			p.done()
		})
	}
	others.Wait()
	select {
	case <-waited:
		t.Fatal("the wait ended with an attempt under way")
	default:
	}
	p.done()
	<-waited

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	p.add()
	p.wait(ctx)
	assert.Equal(t, p.count, 1)
}
