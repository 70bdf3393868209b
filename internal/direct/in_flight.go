package direct

import (
	"sync"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
)

// inFlight holds the requests that are being served.
type inFlight struct {
	mu       sync.Mutex
	requests map[*proxiedRequest]struct{}
}

func (f *inFlight) add(p *proxiedRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = make(map[*proxiedRequest]struct{})
	}
	f.requests[p] = struct{}{}
}

func (f *inFlight) remove(p *proxiedRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, p)
}

func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

// LogUnfinished logs a line for each request that is still being served. The program calls it
// before it ends, because their handlers will write none.
func (g *Gateway) LogUnfinished() {
	g.inFlight.mu.Lock()
	defer g.inFlight.mu.Unlock()
	for p := range g.inFlight.requests {
		if id := p.id.Load(); id != nil {
			g.Log.Write(event.RequestUnfinished, "request_id", *id, "total_ms", time.Since(p.receivedAt).Milliseconds())
		}
	}
}
