package sidecar

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Attempts begin and end while wait is running. wait returns only once no attempt
// is left, and the race detector must report nothing.
func TestAttemptGroup(t *testing.T) {
	var g attemptGroup
	g.wait(context.Background())
	g.add()
	waited := make(chan struct{})
	go func() {
		defer close(waited)
		g.wait(context.Background())
	}()
	var others sync.WaitGroup
	for range 8 {
		others.Go(func() {
			g.add()
			g.done()
		})
	}
	others.Wait()
	select {
	case <-waited:
		t.Fatal("wait returned while an attempt was running")
	default:
	}
	g.done()
	<-waited

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.add()
	g.wait(ctx)
	assert.Equal(t, g.count, 1)
}
