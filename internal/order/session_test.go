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

// session is a core before an engine, with a transcript of both.
type session struct {
	t    *testing.T
	core *Core
	now  time.Time
	text strings.Builder
	// answer answers each order; all are taken if it is nil.
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

// answerOrder holds the single writer's promise against each order, and answers it.
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

// advance lets time advance, a tick each quarter of a second.
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

// checkHealthNoLoad sees an engine that does not tell what it holds.
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
		{"refused_old_number", refusedOld, []Order{{"draft@v1", 4}, {"draft@v1", 9}}},
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
	s.note("nothing is ordered before the engine was seen")
	s.configure("draft@v1", 4)
	s.advance(3 * time.Second)
	s.checkHealth("e-0", "")
	s.advance(2 * time.Second)
	s.checkHealth("e-0", "draft@v1")
	s.note("an edit")
	s.configure("draft@v2", 7)
	s.advance(2 * time.Second)
	s.checkHealth("e-0", "draft@v2")
	s.note("an emptied cell orders nothing")
	s.configure("", 8)
	s.advance(2 * time.Second)
}

func quickEdits(s *session) {
	s.configure("draft@v1", 4)
	s.checkHealth("e-0", "")
	s.advance(2 * time.Second)
	s.checkHealth("e-0", "draft@v1")
	s.note("the engine is slow to take v2; edits to v3 and back to v1 come meanwhile")
	s.answer = func(Order) (result.Code, bool) { return 0, false }
	s.configure("draft@v2", 5)
	s.advance(2 * time.Second)
	s.configure("draft@v3", 6)
	s.configure("draft@v1", 7)
	s.advance(2 * time.Second)
	s.note("it still tells v1 when it has taken v2, but not for long")
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
	s.note("a table older than one that was told is not acted on")
	s.configure("draft@v0", 3)
	s.advance(2 * time.Second)
}

func restarted(s *session) {
	s.note("a new sidecar hears an older copy before it has asked its peers")
	s.checkHealth("e-0", "draft@v2")
	s.configureOnHold("draft@v1", 7)
	s.advance(2 * time.Second)
	s.note("it has asked them: the engine holds what is wanted")
	s.configure("draft@v2", 8)
	s.advance(2 * time.Second)
	s.note("the older copy comes again")
	s.configure("draft@v1", 7)
	s.advance(2 * time.Second)
	s.note("the engine came back without the load; the number is that of the last edit of the section")
	s.configure("draft@v2", 9)
	s.checkHealth("e-1", "")
	s.advance(2 * time.Second)
}

func pause(s *session) {
	s.note("the order to load v2 is pending when the process is paused")
	s.checkHealth("e-0", "draft@v1")
	s.configureOnHold("draft@v2", 5)
	s.handle(PauseBegan{})
	s.configure("draft@v2", 5)
	s.advance(2 * time.Second)
	s.note("the view is renewed, the row has changed")
	s.configure("draft@v3", 6)
	s.advance(2 * time.Second)
	s.handle(PauseEnded{})
	s.advance(2 * time.Second)
	s.note("a process that stops gives no order")
	s.handle(Draining{})
	s.configure("draft@v4", 7)
	s.advance(2 * time.Second)
}

func refusedOld(s *session) {
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
	s.note("an engine that does not answer is not ordered")
	s.handle(HealthChecked{})
	s.advance(5 * time.Minute)
	s.note("it answers again; another edit does not wait for the old one's backoff")
	s.checkHealth("e-0", "")
	s.answer = nil
	s.configure("draft@v2", 5)
	s.advance(2 * time.Second)
}

func outAndBack(s *session) {
	s.note("edited twice while its data centre is out")
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
	s.note("it restarts to load")
	s.handle(HealthChecked{})
	s.checkHealth("e-1", "")
	s.advance(2 * time.Second)
	s.checkHealth("e-1", "draft@v1")
	s.note("it crashes later and comes back with nothing")
	s.handle(HealthChecked{})
	s.checkHealth("e-2", "")
	s.advance(2 * time.Second)
}

func crashAfterLoad(s *session) {
	s.configure("draft@v1", 4)
	s.checkHealth("e-0", "")
	s.advance(2 * time.Second)
	s.checkHealth("e-0", "draft@v1")
	s.note("soon after it crashes and comes back with nothing")
	s.handle(HealthChecked{})
	s.checkHealth("e-1", "")
	s.advance(2 * time.Second)
}

func loadNotReported(s *session) {
	s.configure("draft@v1", 4)
	s.checkHealthNoLoad("e-0")
	s.advance(2 * time.Second)
	s.note("it restarts to load")
	s.checkHealthNoLoad("e-1")
	s.advance(2 * time.Second)
	s.note("a second restart is not the order's")
	s.checkHealthNoLoad("e-2")
	s.advance(2 * time.Second)
}

func loadLost(s *session) {
	s.configure("draft@v1", 4)
	s.checkHealth("e-0", "draft@v0")
	s.note("it took the order and never holds it")
	s.advance(MaxLoadTime + time.Minute)
}
