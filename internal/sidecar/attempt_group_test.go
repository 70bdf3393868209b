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
		t.Fatal("wait returned while an attempt was running")
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
