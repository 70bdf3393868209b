package sidecar

import (
	"context"
	"sync"
)

// attemptGroup counts the attempts that are not over. Unlike a sync.WaitGroup it may
// be waited for while attempts still begin, as they do until the listener closes.
type attemptGroup struct {
	mu    sync.Mutex
	count int
	// idle is closed when the count comes down to zero; nil while nobody waits.
	idle chan struct{}
}

func (p *attemptGroup) add() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
}

func (p *attemptGroup) done() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count--
	if p.count == 0 && p.idle != nil {
		close(p.idle)
		p.idle = nil
	}
}

// wait waits until no attempt is left, or ctx ends.
func (p *attemptGroup) wait(ctx context.Context) {
	p.mu.Lock()
	if p.count == 0 {
		p.mu.Unlock()
		return
	}
	if p.idle == nil {
		p.idle = make(chan struct{})
	}
	idle := p.idle
	p.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
