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

// wait waits until all attempts have ended or ctx is done.
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
