package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/golden"

	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// session runs a core and records its messages and effects in a transcript.
type session struct {
	core    *Core
	now     time.Time
	sent    map[string]time.Time
	pending map[string]bool
	text    strings.Builder
	// views holds every view, including those where only ConfirmedAt changed.
	views []*View
}

var sessionStart = time.Unix(1000, 0)

func newSession(seeds ...Address) *session {
	return &session{
		now:     sessionStart,
		sent:    make(map[string]time.Time),
		pending: make(map[string]bool),
		core: &Core{
			Self:  VM{Name: "b_1", Role: Gateway, DataCentre: "vatva", Address: "10.0.0.1:7000", State: Live},
			Seeds: seeds,
			Parse: fakeParse,
			Seed:  3,
		},
	}
}

func testList(version ListVersion, n int) VMList {
	l := VMList{Version: version}
	for i := range n {
		l.VMs = append(l.VMs, VM{
			Name:       VMName(fmt.Sprintf("b_%d", i+1)),
			Role:       Gateway,
			DataCentre: "vatva",
			Address:    Address(fmt.Sprintf("10.0.0.%d:7000", i+1)),
			State:      Live,
		})
	}
	return l
}

func (s *session) note(format string, args ...any) {
	fmt.Fprintf(&s.text, "\n# "+format+"\n", args...)
}

// handle passes a message to the core at the current time of the session, and
// records both in the transcript. Ticks without effects and views with
// ConfirmedOnly are left out.
func (s *session) handle(m Message) []Effect {
	es := s.core.Handle(s.now, m)
	if _, tick := m.(Ticked); !tick || len(es) > 0 {
		fmt.Fprintf(&s.text, "%6.2f <- %s\n", s.now.Sub(sessionStart).Seconds(), describe(m))
	}
	for _, e := range es {
		switch e := e.(type) {
		case CallWatch:
			s.sent["watch"], s.pending["watch"] = e.Sent, true
		case CallList:
			s.sent["list"], s.pending["list"] = e.Sent, true
		case CallGet:
			s.pending[e.Name] = true
		case CallSync:
			s.sent[fmt.Sprint(e.To, e.Pull)] = e.Sent
		case ViewChanged:
			s.views = append(s.views, e.View)
			if e.ConfirmedOnly {
				continue
			}
		}
		fmt.Fprintf(&s.text, "       -> %s\n", describe(e))
	}
	return es
}

// tick advances the time by d, with a tick every TickInterval.
func (s *session) tick(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(TickInterval)
		s.handle(Ticked{})
	}
}

// await ticks until the call is made, for ten seconds (50 ticks) at most.
func (s *session) await(call string) {
	for i := 0; i < 50 && !s.pending[call]; i++ {
		s.tick(TickInterval)
	}
	s.pending[call] = false
}

func (s *session) list(l VMList) {
	s.await("list")
	s.handle(Listed{Sent: s.sent["list"], List: l})
}

func (s *session) watched(r table.Revision, changed ...ValueRevision) {
	s.await("watch")
	s.handle(Watched{Sent: s.sent["watch"], Revision: r, Changed: changed})
}

func (s *session) got(name string, r table.Revision, text string) {
	s.await(name)
	s.handle(Got{name, Value{name, r, []byte(text)}, nil})
}

// serve answers the core's reads of these values until the watch is complete.
func (s *session) serve(vs ...Value) {
	for range 50 {
		for _, v := range vs {
			if s.pending[v.Name] {
				s.got(v.Name, v.Revision, string(v.Data))
			}
		}
		if s.core.reader.target == 0 {
			return
		}
		s.tick(TickInterval)
	}
}

// pulled delivers the reply to a pull from a peer that holds the same values as
// this core does after the reply.
func (s *session) pulled(from Address, age uint64, vs ...*wire.Value) {
	digest := s.core.values.digest
	for _, v := range vs {
		old, held := s.core.values.newest[v.Name]
		if isCopy(v.Name) || held && uint64(old.Revision) >= v.Revision {
			continue
		}
		if held {
			digest ^= hashRevision(old)
		}
		digest ^= hashRevision(Value{Name: v.Name, Revision: table.Revision(v.Revision)})
	}
	s.handle(SyncAnswered{Sent: s.sent[fmt.Sprint(from, true)], From: from, Pull: true, Reply: &wire.SyncReply{
		Newer: vs, ConfirmedAgeMs: age, Have: []*wire.ValueRevision{{Revision: digest}},
	}})
}

// agrees delivers the reply to a probe from a peer that holds the same values.
func (s *session) agrees(from Address, age uint64) {
	s.handle(SyncAnswered{Sent: s.sent[fmt.Sprint(from, false)], From: from, Reply: &wire.SyncReply{
		ConfirmedAgeMs: age, Have: []*wire.ValueRevision{s.core.digestEntry()},
		VmListVersion: uint64(s.core.list.Version),
	}})
}

func (s *session) golden(t *testing.T) {
	t.Helper()
	golden.Assert(t, s.text.String(), strings.ToLower(t.Name())+".txt")
}

// startedSession returns a session with three peers and a table of revision 10 in
// force.
func startedSession() *session {
	s := newSession()
	s.handle(Ticked{})
	s.list(testList(1, 4))
	s.watched(10, ValueRevision{"classes", 9}, ValueRevision{"data_centres", 10})
	s.serve(Value{"classes", 9, []byte("fine")}, Value{"data_centres", 10, []byte("vatva in")})
	for _, v := range testList(1, 4).VMs[1:] {
		s.agrees(v.Address, 500)
		s.pulled(v.Address, 500)
	}
	s.text.Reset()
	return s
}

func wireValue(name string, r uint64, text string) *wire.Value {
	return &wire.Value{Name: name, Revision: r, Data: []byte(text)}
}

func describe(x any) string {
	switch x := x.(type) {
	case Ticked:
		return "ticked"
	case Watched:
		if x.Err != nil {
			return "watched: " + x.Err.Error()
		}
		return fmt.Sprintf("watched revision=%d changed=%v", x.Revision, x.Changed)
	case Got:
		return fmt.Sprintf("got %s@%d %q err=%v", x.Name, x.Value.Revision, x.Value.Data, x.Err)
	case Listed:
		return fmt.Sprintf("listed version=%d vms=%d err=%v", x.List.Version, len(x.List.VMs), x.Err)
	case SyncRequested:
		return fmt.Sprintf("sync_requested by %s have=%s", x.Request.From, vectorText(x.Request.Have))
	case SyncAnswered:
		if x.Err != nil {
			return fmt.Sprintf("sync_answered by %s: %v", x.From, x.Err)
		}
		return fmt.Sprintf("sync_answered by %s pull=%v have=%s newer=%s age=%s",
			x.From, x.Pull, vectorText(x.Reply.Have), newerText(x.Reply.Newer), ageText(x.Reply.ConfirmedAgeMs))
	case VersionsSeen:
		return fmt.Sprintf("versions_seen from=%s revision=%d list=%d", x.From, x.Revision, x.List)
	case CallWatch:
		return fmt.Sprintf("call_watch after=%d wait=%v", x.After, x.Wait)
	case CallGet:
		return "call_get " + x.Name
	case CallList:
		return fmt.Sprintf("call_list after=%d wait=%v", x.After, x.Wait)
	case CallSync:
		return fmt.Sprintf("call_sync to=%s pull=%v have=%s list=%d age=%s",
			x.To, x.Pull, vectorText(x.Request.Have), x.Request.VmListVersion, ageText(x.Request.ConfirmedAgeMs))
	case Answer:
		return fmt.Sprintf("answer have=%s newer=%s", vectorText(x.Reply.Have), newerText(x.Reply.Newer))
	case ViewChanged:
		return "view " + viewText(x.View)
	case Report:
		return fmt.Sprintf("report %s subject=%q revision=%d err=%v", x.Event.Entry().Name, x.Subject, x.Revision, x.Err)
	}
	return fmt.Sprintf("%T", x)
}

func viewText(v *View) string {
	text := "no table"
	if v.Table != nil {
		text = fmt.Sprintf("table=%d", v.Table.Revision)
		for name := range v.Table.DataCentres {
			text += fmt.Sprintf(" data_centre=%q", name)
		}
	}
	return fmt.Sprintf("%s vms=%d ready=%v paused=%v", text, v.VMs.Version, v.Ready, v.Paused)
}

func vectorText(vs []*wire.ValueRevision) string {
	texts := []string{}
	for _, v := range vs {
		if v.Name == digestName {
			texts = append(texts, "digest")
			continue
		}
		texts = append(texts, fmt.Sprintf("%s@%d", v.Name, v.Revision))
	}
	return "[" + strings.Join(texts, " ") + "]"
}

func newerText(vs []*wire.Value) string {
	texts := []string{}
	for _, v := range vs {
		texts = append(texts, fmt.Sprintf("%s@%d", v.Name, v.Revision))
	}
	return "[" + strings.Join(texts, " ") + "]"
}

func ageText(ms uint64) string {
	if ms == unknownAge {
		return "unknown"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}

var errDown = result.Errorf(result.ConfigUnreached, "call /v1/watch: refused")
