package sidecar

import (
	"context"
	"sync"
)

// pending counts the attempts that are not over. Unlike a sync.WaitGroup it may
// be waited for while attempts still begin, as they do until the listener closes.
type pending struct {
	mu    sync.Mutex
	count int
	// none is closed when the count comes down to zero; nil while nobody waits.
	none chan struct{}
}

func (p *pending) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
}

func (p *pending) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count--
	if p.count == 0 && p.none != nil {
		close(p.none)
		p.none = nil
	}
}

// wait waits until no attempt is left, or ctx ends.
func (p *pending) wait(ctx context.Context) {
	p.mu.Lock()
	if p.count == 0 {
		p.mu.Unlock()
		return
	}
	if p.none == nil {
		p.none = make(chan struct{})
	}
	none := p.none
	p.mu.Unlock()
	select {
	case <-none:
	case <-ctx.Done():
	}
}
