package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	peer2 Address = "10.0.0.2:7000"
	peer3 Address = "10.0.0.3:7000"
	peer4 Address = "10.0.0.4:7000"
)

// A data centre is taken out and back in within a second, and the values arrive
// from peers and from the configuration service, late and out of order. The
// revision in force must never decrease.
func TestOperatorRace(t *testing.T) {
	s := startedSession()
	s.note("a peer announces revision 12")
	s.handle(SyncRequested{&wire.SyncRequest{From: string(peer2), Have: []*wire.ValueRevision{{Name: ""}, {Name: "data_centres", Revision: 12}}}})
	s.note("the service reports revision 11, which is then read")
	s.watched(11, ValueRevision{"data_centres", 11})
	s.got("data_centres", 11, "vatva out")
	s.note("the peer sends revision 12")
	s.pulled(peer2, 100, wireValue("data_centres", 12, "vatva in again"))
	s.note("another peer has only revision 11")
	s.pulled(peer3, 100, wireValue("data_centres", 11, "vatva out"))
	s.note("the service answers the watch with revision 12")
	s.watched(12, ValueRevision{"data_centres", 12})
	s.golden(t)
}

// For every order in which edits arrive from peers and the service, the view never
// shows a lower revision after a higher one, and ends with the highest.
func TestNeverReverts(t *testing.T) {
	steps := []func(s *session){
		func(s *session) { s.pulled(peer2, 0, wireValue("data_centres", 13, "c")) },
		func(s *session) { s.pulled(peer3, 0, wireValue("data_centres", 11, "a")) },
		func(s *session) { s.pulled(peer4, 0, wireValue("=data_centres", 10, "vatva in")) },
		func(s *session) {
			s.handle(Watched{Sent: s.sent["watch"], Revision: 12, Changed: []ValueRevision{{"data_centres", 12}}})
		},
		func(s *session) { s.handle(Got{"data_centres", Value{"data_centres", 12, []byte("b")}, nil}) },
		func(s *session) { s.handle(Got{Name: "data_centres", Err: errDown}) },
	}
	permute(len(steps), func(order []int) {
		s := startedSession()
		s.tick(200 * time.Millisecond)
		for _, i := range order {
			steps[i](s)
			s.tick(400 * time.Millisecond)
		}
		last := table.Revision(0)
		for _, v := range s.views {
			if v.Table == nil {
				continue
			}
			assert.Assert(t, v.Table.Revision >= last, "order %v: %d after %d", order, v.Table.Revision, last)
			last = v.Table.Revision
		}
		assert.Equal(t, viewText(s.core.view), `table=13 data_centre="c" vms=1 ready=true paused=false`, "order %v", order)
	})
}

func permute(n int, f func([]int)) {
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	var next func(k int)
	next = func(k int) {
		if k == n {
			f(order)
			return
		}
		for i := k; i < n; i++ {
			order[k], order[i] = order[i], order[k]
			next(k + 1)
			order[k], order[i] = order[i], order[k]
		}
	}
	next(0)
}

// After an edit, the service answers from a stale copy. The core must report it
// and keep the newer values.
func TestStaleCopy(t *testing.T) {
	s := startedSession()
	s.tick(200 * time.Millisecond)
	s.watched(11, ValueRevision{"data_centres", 11})
	s.tick(400 * time.Millisecond)
	s.note("the value is older than the watch reported")
	s.got("data_centres", 10, "vatva in")
	s.got("data_centres", 11, "vatva out")
	s.note("the watch is older than the values held")
	s.watched(10)
	s.watched(11)
	s.golden(t)
}

// A process that starts while the service is down becomes ready from peers alone.
// Without the service and without peers it does not become ready.
func TestServiceDown(t *testing.T) {
	s := newSession(peer2, peer3)
	s.handle(Ticked{})
	s.note("a seed sends all values")
	s.handle(SyncAnswered{Sent: s.now, From: peer2, Pull: true, Reply: &wire.SyncReply{
		Newer:          []*wire.Value{wireValue("classes", 9, "fine"), wireValue("data_centres", 10, "vatva in")},
		Have:           []*wire.ValueRevision{{Revision: 1}},
		VmList:         encodeList(testList(1, 4)),
		VmListVersion:  1,
		ConfirmedAgeMs: 60_000,
	}})
	s.agrees(peer2, 60_000)
	s.note("the seed's confirmation is a minute old, so the service is called as well")
	s.tick(2 * time.Second)
	assert.Assert(t, !s.core.view.Ready)
	s.handle(Watched{Sent: s.sent["watch"], Err: errDown})
	assert.Assert(t, s.core.view.Ready)
	s.golden(t)

	s = newSession(peer2, peer3)
	s.handle(Ticked{})
	for range 60 {
		s.tick(time.Second)
		for _, p := range []Address{peer2, peer3} {
			for _, pull := range []bool{false, true} {
				s.handle(SyncAnswered{Sent: s.now, From: p, Pull: pull, Err: errDown})
			}
		}
		s.handle(Watched{Sent: s.sent["watch"], Err: errDown})
		s.handle(Listed{Sent: s.sent["list"], Err: errDown})
	}
	assert.Assert(t, !s.core.view.Ready)
}

// A service that answers from a stale copy must not make a new process ready
// before its peers have answered.
func TestFreshAsksPeers(t *testing.T) {
	s := newSession(peer2, peer3)
	s.handle(Ticked{})
	s.list(testList(1, 4))
	s.watched(8, ValueRevision{"classes", 8})
	s.got("classes", 8, "fine")
	s.tick(time.Second)
	assert.Equal(t, viewText(s.core.view), "table=8 vms=1 ready=false paused=false")
	s.handle(SyncAnswered{Sent: s.now, From: peer2, Reply: &wire.SyncReply{
		Have: []*wire.ValueRevision{{Revision: 1}, {Name: "data_centres", Revision: 11}},
	}})
	assert.Assert(t, !s.core.view.Ready)
	s.tick(3 * time.Second)
	s.pulled(peer2, 100, wireValue("data_centres", 11, "vatva out"))
	s.agrees(peer2, 100)
	assert.Equal(t, viewText(s.core.view), `table=11 data_centre="vatva out" vms=1 ready=true paused=false`)
}

// An invalid value is refused as a whole and logged once. Meanwhile an edit of
// another value takes effect, and a new process receives the copy of the refused
// value that is in force.
func TestBadValue(t *testing.T) {
	s := startedSession()
	s.note("an invalid value")
	s.pulled(peer2, 0, wireValue("classes", 11, "bad"))
	s.tick(1200 * time.Millisecond)
	s.note("a valid value of another name")
	s.pulled(peer2, 0, wireValue("data_centres", 12, "vatva out"))
	for _, r := range s.core.Refused() {
		s.note("refused %s@%d, in force %d: %v", r.Name, r.Revision, r.InForce, r.Err)
	}
	s.note("a new process pulls")
	es := s.handle(SyncRequested{&wire.SyncRequest{From: string(peer3)}})
	fresh := newSession(peer2)
	fresh.handle(Ticked{})
	for _, e := range es {
		if a, ok := e.(Answer); ok {
			fresh.pulled(peer2, 0, a.Reply.Newer...)
		}
	}
	assert.Equal(t, viewText(fresh.core.view), `table=12 data_centre="vatva out" vms=0 ready=false paused=false`)
	s.note("the value is corrected")
	s.pulled(peer2, 0, wireValue("classes", 13, "fine"))
	s.tick(1200 * time.Millisecond)
	assert.Equal(t, len(s.core.Refused()), 0)
	s.golden(t)
}

// A paused process resumes only after a reply to a call that it sent after the
// pause.
func TestPause(t *testing.T) {
	s := startedSession()
	s.tick(time.Second)
	s.await("watch")
	before, probed := s.sent["watch"], s.sent[fmt.Sprint(peer2, false)]
	s.now = s.now.Add(20 * time.Second)
	s.note("replies to calls from before the pause arrive first")
	s.handle(Watched{Sent: before, Revision: 10})
	assert.Assert(t, s.core.view.Paused)
	s.handle(SyncAnswered{Sent: probed, From: peer2, Reply: &wire.SyncReply{
		Have: []*wire.ValueRevision{s.core.digestEntry()}, ConfirmedAgeMs: 100,
	}})
	assert.Assert(t, s.core.view.Paused)
	s.note("a peer that was also paused answers")
	s.agrees(peer2, unknownAge)
	assert.Assert(t, s.core.view.Paused)
	s.note("a peer that holds a newer value answers")
	s.handle(SyncAnswered{Sent: s.now, From: peer4, Reply: &wire.SyncReply{
		Have: []*wire.ValueRevision{{Revision: 1}, {Name: "data_centres", Revision: 11}}, ConfirmedAgeMs: 100,
	}})
	assert.Assert(t, s.core.view.Paused)
	s.pulled(peer4, 100, wireValue("data_centres", 11, "vatva out"))
	assert.Equal(t, viewText(s.core.view), `table=11 data_centre="vatva out" vms=1 ready=true paused=false`)
	s.golden(t)
}

// A paused process does not resume while neither peers nor the service answer.
func TestPausedAlone(t *testing.T) {
	s := startedSession()
	s.now = s.now.Add(20 * time.Second)
	for range 100 {
		for _, e := range s.handle(Ticked{}) {
			switch e := e.(type) {
			case CallSync:
				s.handle(SyncAnswered{Sent: e.Sent, From: e.To, Pull: e.Pull, Err: errDown})
			case CallWatch:
				s.handle(Watched{Sent: e.Sent, Err: errDown})
			}
		}
		s.now = s.now.Add(TickInterval)
	}
	assert.Assert(t, s.core.view.Paused)
	s.note("all peers were paused: their answers count after allPausedDelay")
	s.handle(Ticked{})
	s.now = s.now.Add(TickInterval)
	s.agrees(peer2, unknownAge)
	assert.Assert(t, !s.core.view.Paused)
}

// The calls of all processes together stay within the platform's budget in the
// worst case: no process hears from its peers, and each watch reports another
// edit.
func TestCallBudget(t *testing.T) {
	const readers = centreCount * (readerCount + standbyCount)
	for _, n := range []int{20, 200, 700, 1000, 1450} {
		sum := min(n, readers)*maxCallsOf(n, true) + max(0, n-readers)*maxCallsOf(n, false)
		t.Logf("%d processes: %d calls/s", n, sum)
		assert.Assert(t, sum < 2000, "%d processes", n)
	}
}

// maxCallsOf returns the maximum number of calls of one process in any second.
func maxCallsOf(size int, reads bool) int {
	s := newSession(peer2)
	l := testList(1, size)
	for i := 1; i < size && !reads; i++ {
		l.VMs[i].DataCentre = "vatva"
	}
	for i := 1; i < size && reads; i++ {
		l.VMs[i].DataCentre = "naroda"
	}
	if !reads {
		s.core.Self = l.VMs[firstNonReader(l)]
	}
	var calls []time.Time
	revision := table.Revision(0)
	for range 300 {
		s.now = s.now.Add(TickInterval)
		pending := s.core.Handle(s.now, Ticked{})
		for len(pending) > 0 && len(calls) < 10_000 {
			e := pending[0]
			pending = pending[1:]
			var m Message
			switch e := e.(type) {
			case CallWatch:
				revision++
				m = Watched{e.Sent, revision, []ValueRevision{{fmt.Sprintf("v%d", revision%5), revision}}, nil}
			case CallGet:
				m = Got{e.Name, Value{e.Name, revision, []byte("fine")}, nil}
			case CallList:
				m = Listed{e.Sent, l, nil}
			default:
				continue
			}
			calls = append(calls, s.now)
			pending = append(pending, s.core.Handle(s.now, m)...)
		}
	}
	maxCalls, first := 0, 0
	for i, c := range calls {
		for c.Sub(calls[first]) >= time.Second {
			first++
		}
		maxCalls = max(maxCalls, i-first+1)
	}
	return maxCalls
}

// firstNonReader returns the index of the first VM that is neither reader nor
// standby, or 0 if there is none.
func firstNonReader(l VMList) int {
	for i, v := range l.VMs {
		var r reader
		r.rank(v, l)
		if !r.isReader() && !r.isStandby() {
			return i
		}
	}
	return 0
}
