package sidecar

import (
	"context"
	"sync"
)

// attemptGroup counts the attempts that have not ended. Unlike with a
// sync.WaitGroup, attempts may begin while wait is running, which happens until the
// listener closes.
type attemptGroup struct {
	mu    sync.Mutex
	count int
	// idle is closed when count reaches zero; nil while no call of wait is blocked.
	idle chan struct{}
}

func (g *attemptGroup) add() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count++
}

func (g *attemptGroup) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.count == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// wait waits until all attempts have ended or ctx is done.
func (g *attemptGroup) wait(ctx context.Context) {
	g.mu.Lock()
	if g.count == 0 {
		g.mu.Unlock()
		return
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
