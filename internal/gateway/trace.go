package gateway

import (
	"sync"
	"time"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// maxTraces is the number of recent requests whose traces are kept.
	maxTraces = 4096
	// maxTraceSteps is the maximum number of steps in one trace.
	maxTraceSteps = 32
)

// TraceStep is one event in the handling of a request.
type TraceStep struct {
	// AfterMillis is the time since the request arrived, in milliseconds.
	AfterMillis float64      `json:"after_ms"`
	What        string       `json:"what"`
	VM          fleet.VMName `json:"vm,omitempty"`
	Code        result.Code  `json:"code,omitempty"`
}

// Trace lists the steps of one request through the gateway.
type Trace struct {
	RequestID dispatch.RequestID `json:"request_id"`
	Account   table.AccountName  `json:"account"`
	Class     table.ClassName    `json:"class"`
	Arrived   time.Time          `json:"arrived"`
	Ended     bool               `json:"ended"`
	Steps     []TraceStep        `json:"steps"`
}

type trace struct {
	mu sync.Mutex
	Trace
}

func (t *trace) step(what string, vm fleet.VMName, code result.Code) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.Steps) >= maxTraceSteps {
		return
	}
	after := float64(time.Since(t.Arrived).Microseconds()) / 1000
	t.Steps = append(t.Steps, TraceStep{AfterMillis: after, What: what, VM: vm, Code: code})
}

// traces holds the traces of the most recent requests.
type traces struct {
	mu   sync.Mutex
	ring [maxTraces]*trace
	next int
	byID map[dispatch.RequestID]*trace
}

func (t *traces) begin(c *call) *trace {
	added := &trace{Trace: Trace{RequestID: c.id, Account: c.account.Name, Class: c.class.Name, Arrived: c.arrived}}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = make(map[dispatch.RequestID]*trace)
	}
	if old := t.ring[t.next]; old != nil {
		delete(t.byID, old.RequestID)
	}
	t.ring[t.next] = added
	t.byID[c.id] = added
	t.next = (t.next + 1) % maxTraces
	return added
}

func (t *traces) end(tr *trace) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.Ended = true
}

// refused adds the trace of a call that the limits of its account refused.
func (t *traces) refused(c *call, code result.Code) {
	tr := t.begin(c)
	tr.step("refused", "", code)
	t.end(tr)
}

// Trace returns the trace of a recent request, and false if none is held.
func (g *Gateway) Trace(id dispatch.RequestID) (Trace, bool) {
	g.traces.mu.Lock()
	t := g.traces.byID[id]
	g.traces.mu.Unlock()
	if t == nil {
		return Trace{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	snapshot := t.Trace
	snapshot.Steps = append([]TraceStep(nil), t.Steps...)
	return snapshot, true
}

// traceMessage adds a step for a message that parks or ends an attempt.
func (r *execution) traceMessage(a streamMessage) {
	switch m := a.message.(type) {
	case dispatch.Parked:
		r.trace.step("parked", r.vmOf(m.Attempt), result.OK)
	case dispatch.Refused:
		r.trace.step("attempt_refused", r.vmOf(m.Attempt), m.Code)
	case dispatch.Ended:
		r.trace.step("attempt_ended", r.vmOf(m.Attempt), m.Code)
	case dispatch.Lost:
		r.trace.step("attempt_lost", r.vmOf(m.Attempt), result.SidecarLost)
	case dispatch.Silent:
		r.trace.step("attempt_silent", r.vmOf(m.Attempt), result.SidecarUnreached)
	}
}

func (r *execution) vmOf(n dispatch.AttemptNumber) fleet.VMName {
	if s := r.streams[n]; s != nil {
		return s.candidate.VM
	}
	return ""
}
