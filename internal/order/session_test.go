package order

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

var sessionStart = time.Unix(6000, 0)

// session connects a core to a simulated engine and keeps a transcript for
// comparison with a golden file.
type session struct {
	t    *testing.T
	core *Core
	now  time.Time
	text strings.Builder
	// answer returns the engine's answer to an order. If it is nil, the engine
	// accepts all orders.
	answer func(o Order) (c result.Code, answered bool)
	got    []Order
}

func newSession(t *testing.T) *session {
	return &session{t: t, core: &Core{}, now: sessionStart}
}

func (s *session) note(format string, args ...any) { fmt.Fprintf(&s.text, "\n# "+format+"\n", args...) }

func (s *session) handle(m Message) {
	s.t.Helper()
	es := s.core.Handle(s.now, m)
	if _, tick := m.(Ticked); !tick || len(es) > 0 {
		fmt.Fprintf(&s.text, "%7.2f <- %T %+v\n", s.now.Sub(sessionStart).Seconds(), m, m)
	}
	for _, e := range es {
		text := fmt.Sprintf("%T %+v", e, e)
		if f, ok := e.(Failed); ok {
			text = fmt.Sprintf("%T %+v %s", e, f.Order, f.Code)
			if !f.RetryAt.IsZero() {
				text += fmt.Sprintf(" again in %s", f.RetryAt.Sub(s.now))
			}
		}
		fmt.Fprintf(&s.text, "        -> %s\n", text)
	}
	for _, e := range es {
		if g, ok := e.(SendOrder); ok {
			s.answerOrder(g.Order)
		}
	}
}

// answerOrder checks that the fencing tokens of the orders never decrease, as a
// single writer guarantees, and answers the order.
func (s *session) answerOrder(o Order) {
	s.t.Helper()
	if n := len(s.got); n > 0 {
		assert.Assert(s.t, o.Fencing >= s.got[n-1].Fencing, "%v after %v", o, s.got[n-1])
	}
	s.got = append(s.got, o)
	code, answered := result.OK, true
	if s.answer != nil {
		code, answered = s.answer(o)
	}
	if answered {
		s.handle(Ended{code})
	}
}

// advance advances the time with a tick every 250 ms.
func (s *session) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(250 * time.Millisecond)
		s.handle(Ticked{})
	}
}

func (s *session) configure(load table.LoadName, f FencingToken) {
	s.handle(Configured{Wanted: load, Fencing: f, Schedule: Schedule{Members: 1}})
}

func (s *session) configureOnHold(load table.LoadName, f FencingToken) {
	s.handle(Configured{Wanted: load, Fencing: f, OnHold: true, Schedule: Schedule{Members: 1}})
}

func (s *session) checkHealth(instance string, loaded table.LoadName) {
	s.handle(HealthChecked{Reached: true, Instance: instance, ReportsLoad: true, Loaded: loaded})
}

// checkHealthNoLoad sends a health check of an engine that does not report its
// load.
func (s *session) checkHealthNoLoad(instance string) {
	s.handle(HealthChecked{Reached: true, Instance: instance})
}

func (s *session) finish(orders ...Order) {
	s.t.Helper()
	assert.DeepEqual(s.t, s.got, orders)
	golden.Assert(s.t, s.text.String(), s.t.Name()+".golden")
}

func TestSession(t *testing.T) {
	tests := []struct {
		name string
		run  func(s *session)
		want []Order
	}{
		{"edit", edit, []Order{{"draft@v1", 4}, {"draft@v2", 7}}},
		{"quick_edits", quickEdits, []Order{{"draft@v1", 4}, {"draft@v2", 5}, {"draft@v1", 7}}},
		{"other_rows", otherRows, []Order{{"draft@v1", 4}}},
		{"restarted_with_older_view", restarted, []Order{{"draft@v2", 9}}},
		{"pause", pause, []Order{{"draft@v3", 6}}},
		{"refused_old_fencing_token", refusedOldFencingToken, []Order{{"draft@v1", 4}, {"draft@v1", 9}}},
		{"failure", failure, []Order{{"draft@v1", 4}, {"draft@v1", 4}, {"draft@v1", 4}, {"draft@v1", 4}, {"draft@v1", 4}, {"draft@v2", 5}}},
		{"out_and_back", outAndBack, []Order{{"draft@v3", 6}}},
		{"engine_restarts", engineRestarts, []Order{{"draft@v1", 4}, {"draft@v1", 4}}},
		{"crash_after_load", crashAfterLoad, []Order{{"draft@v1", 4}, {"draft@v1", 4}}},
		{"load_not_reported", loadNotReported, []Order{{"draft@v1", 4}, {"draft@v1", 4}}},
		{"load_lost", loadLost, []Order{{"draft@v1", 4}, {"draft@v1", 4}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSession(t)
			tt.run(s)
			s.finish(tt.want...)
		})
	}
}

func edit(s *session) {
	s.note("no order is sent before the first health check")
	s.configure("draft@v1", 4)
	s.advance(3 * time.Second)
	s.checkHealth("e-0", "")
	s.advance(2 * time.Second)
	s.checkHealth("e-0", "draft@v1")
	s.note("the row is edited")
	s.configure("draft@v2", 7)
	s.advance(2 * time.Second)
	s.checkHealth("e-0", "draft@v2")
	s.note("an empty cell causes no order")
	s.configure("", 8)
	s.advance(2 * time.Second)
}

func quickEdits(s *session) {
	s.configure("draft@v1", 4)
	s.checkHealth("e-0", "")
	s.advance(2 * time.Second)
	s.checkHealth("e-0", "draft@v1")
	s.note("the engine is slow to accept v2; the row is edited to v3 and back to v1 meanwhile")
	s.answer = func(Order) (result.Code, bool) { return 0, false }
	s.configure("draft@v2", 5)
	s.advance(2 * time.Second)
	s.configure("draft@v3", 6)
	s.configure("draft@v1", 7)
	s.advance(2 * time.Second)
	s.note("the engine accepts v2 and still reports v1, but will load v2")
	s.answer = nil
	s.handle(Ended{result.OK})
	s.advance(2 * time.Second)
}

func otherRows(s *session) {
	s.configure("draft@v1", 4)
	s.checkHealthNoLoad("e-0")
	s.advance(2 * time.Second)
	s.note("rows of other upstreams are edited")
	s.configure("draft@v1", 5)
	s.configure("draft@v1", 6)
	s.advance(2 * time.Second)
	s.note("a table older than the last one is ignored")
	s.configure("draft@v0", 3)
	s.advance(2 * time.Second)
}

func restarted(s *session) {
	s.note("a new sidecar gets an older copy of the table before it has asked its peers")
	s.checkHealth("e-0", "draft@v2")
	s.configureOnHold("draft@v1", 7)
	s.advance(2 * time.Second)
	s.note("it has asked its peers; the engine holds the wanted load")
	s.configure("draft@v2", 8)
	s.advance(2 * time.Second)
	s.note("the older copy arrives again")
	s.configure("draft@v1", 7)
	s.advance(2 * time.Second)
	s.note("the engine restarts without the load; the order has the revision of the last edit of the section")
	s.configure("draft@v2", 9)
	s.checkHealth("e-1", "")
	s.advance(2 * time.Second)
}

func pause(s *session) {
	s.note("v2 is wanted but not yet ordered when the process is paused")
	s.checkHealth("e-0", "draft@v1")
	s.configureOnHold("draft@v2", 5)
	s.handle(PauseBegan{})
	s.configure("draft@v2", 5)
	s.advance(2 * time.Second)
	s.note("the view is renewed and the row has changed")
	s.configure("draft@v3", 6)
	s.advance(2 * time.Second)
	s.handle(PauseEnded{})
	s.advance(2 * time.Second)
	s.note("a process that is stopping sends no order")
	s.handle(Draining{})
	s.configure("draft@v4", 7)
	s.advance(2 * time.Second)
}

func refusedOldFencingToken(s *session) {
	s.answer = func(o Order) (result.Code, bool) {
		if o.Fencing < 9 {
			return result.UpstreamRefused, true
		}
		return result.OK, true
	}
	s.configure("draft@v1", 4)
	s.checkHealth("e-0", "draft@v2")
	s.advance(5 * time.Minute)
	s.note("a newer table with the same row")
	s.configure("draft@v1", 9)
	s.advance(2 * time.Second)
}

func failure(s *session) {
	s.answer = func(Order) (result.Code, bool) { return result.UpstreamUnhealthy, true }
	s.configure("draft@v1", 4)
	s.checkHealth("e-0", "")
	s.advance(10 * time.Second)
	s.note("an engine that does not answer gets no order")
	s.handle(HealthChecked{})
	s.advance(5 * time.Minute)
	s.note("the engine answers again; a new edit does not wait for the backoff of the previous order")
	s.checkHealth("e-0", "")
	s.answer = nil
	s.configure("draft@v2", 5)
	s.advance(2 * time.Second)
}

func outAndBack(s *session) {
	s.note("the row is edited twice while its data centre is out")
	s.checkHealth("e-0", "draft@v1")
	s.configureOnHold("draft@v2", 4)
	s.advance(time.Minute)
	s.configureOnHold("draft@v3", 5)
	s.advance(time.Minute)
	s.configure("draft@v3", 6)
	s.advance(2 * time.Second)
}

func engineRestarts(s *session) {
	s.configure("draft@v1", 4)
	s.checkHealth("e-0", "")
	s.advance(2 * time.Second)
	s.note("the engine restarts in order to load")
	s.handle(HealthChecked{})
	s.checkHealth("e-1", "")
	s.advance(2 * time.Second)
	s.checkHealth("e-1", "draft@v1")
	s.note("the engine crashes later and restarts without a load")
	s.handle(HealthChecked{})
	s.checkHealth("e-2", "")
	s.advance(2 * time.Second)
}

func crashAfterLoad(s *session) {
	s.configure("draft@v1", 4)
	s.checkHealth("e-0", "")
	s.advance(2 * time.Second)
	s.checkHealth("e-0", "draft@v1")
	s.note("soon afterwards the engine crashes and restarts without a load")
	s.handle(HealthChecked{})
	s.checkHealth("e-1", "")
	s.advance(2 * time.Second)
}

func loadNotReported(s *session) {
	s.configure("draft@v1", 4)
	s.checkHealthNoLoad("e-0")
	s.advance(2 * time.Second)
	s.note("the engine restarts in order to load")
	s.checkHealthNoLoad("e-1")
	s.advance(2 * time.Second)
	s.note("a second restart is not attributed to the order")
	s.checkHealthNoLoad("e-2")
	s.advance(2 * time.Second)
}

func loadLost(s *session) {
	s.configure("draft@v1", 4)
	s.checkHealth("e-0", "draft@v0")
	s.note("the engine accepts the order but never reports the load")
	s.advance(MaxLoadTime + time.Minute)
}
