package direct

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/memory"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	// requestCost is the memory of a request besides its headers and its body, in bytes:
	// the stack and the buffers of its connection, and its state. 180 requests whose bodies
	// stalled took 20 KB each.
	requestCost = 32 << 10
	// headerCopies is how many copies of the caller's headers a request holds, and
	// headerCost what each line costs besides its text.
	headerCopies, headerCost = 3, 64
	// maxErrorSize is the maximum size in bytes of a buffered response with status 400 or
	// more.
	maxErrorSize = 256 << 10
)

// openMemory opens the request's account and reserves what every request needs.
func (p *proxiedRequest) openMemory(r *http.Request) error {
	c, control := p.call, http.NewResponseController(p.w)
	ctx, cancel := context.WithCancel(context.Background())
	p.evicted = ctx
	h := memory.Holder{Request: string(c.ID), Evict: func(was memory.Activity) {
		cancel()
		// While the body is not being read, a read deadline in the past would look like a
		// caller who has disconnected.
		switch was {
		case memory.Reading:
			_ = control.SetReadDeadline(time.Now())
		case memory.Writing:
			_ = control.SetWriteDeadline(time.Now())
		}
	}}
	if c.account != nil {
		h.Client = string(c.account.Name)
	}
	p.memory = p.gateway.Memory.Open(h)
	p.body = &memory.Buffer{Account: p.memory}
	if err := p.memory.Grow(requestCost + headersCost(r.Header)); err != nil {
		p.closeBody(control)
		return p.memoryError(err)
	}
	return nil
}

// headersCost returns the memory of a request's headers in bytes.
func headersCost(h http.Header) int64 {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += headerCost + len(name) + len(v)
		}
	}
	return int64(headerCopies * n)
}

// releaseMemory returns the memory of the request at its end.
func (p *proxiedRequest) releaseMemory() {
	if p.memory == nil {
		return
	}
	if p.buffered != nil {
		p.buffered.body.Release()
	}
	p.body.Release()
	p.memory.Close()
}

// write writes a part of the answer to the caller, with all parts before it if it is flushed.
func (p *proxiedRequest) write(part []byte, flush bool) error {
	if err := p.memory.BeginWrite(len(part)); err != nil {
		return err
	}
	defer p.memory.EndWrite()
	_, err := p.w.Write(part)
	if err == nil && flush {
		err = http.NewResponseController(p.w).Flush()
	}
	return err
}

// releaseSentBody returns the memory of the body if it can't be sent again.
func (a *attempt) releaseSentBody() {
	if a.call.route.RetryPolicy == route.RetryNever && a.exchange.RequestWritten() {
		a.call.Body = nil
		a.body.Release()
	}
}

func isMemoryError(err error) bool {
	return errors.Is(err, memory.ErrNoRoom) || errors.Is(err, memory.ErrEvicted)
}

// memoryError returns the refusal of a request that has not run.
func (p *proxiedRequest) memoryError(cause error) error {
	e := result.Errorf(result.MemoryFull, "%w", cause)
	e.RetryAfter = refusedRetryAfter(time.Until(p.call.deadline))
	return e
}

// logMemory logs when memory becomes short or sufficient.
func (g *Gateway) logMemory(s memory.Stats) {
	n := event.MemoryFree
	if s.Short {
		n = event.MemoryShort
	}
	g.Log.Write(n, "held", s.Held, "limit", s.Limit, "reading", s.ByActivity[memory.Reading], "waiting", s.ByActivity[memory.Waiting],
		"sent", s.ByActivity[memory.Sent], "writing", s.ByActivity[memory.Writing], "refused", s.Refused, "evicted", s.Evicted)
}

func (g *Gateway) initMemoryMetrics() {
	set := g.metrics.set
	gauge := func(name string, value func(memory.Stats) float64) {
		set.NewGauge(name, func() float64 { return value(g.Memory.Stats()) })
	}
	gauge("jasminewing_direct_memory_limit_bytes", func(s memory.Stats) float64 { return float64(s.Limit) })
	for a := memory.Reading; a <= memory.Writing; a++ {
		gauge(fmt.Sprintf("jasminewing_direct_memory_held_bytes{activity=%q}", a), func(s memory.Stats) float64 { return float64(s.ByActivity[a]) })
	}
	gauge("jasminewing_direct_memory_refused_total", func(s memory.Stats) float64 { return float64(s.Refused) })
	gauge("jasminewing_direct_memory_evicted_total", func(s memory.Stats) float64 { return float64(s.Evicted) })
	gauge("jasminewing_direct_memory_short", func(s memory.Stats) float64 {
		if s.Short {
			return 1
		}
		return 0
	})
}
