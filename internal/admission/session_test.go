package admission

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"jasminewing.dev/jasminewing/pkg/table"
)

var epoch = time.Date(2026, 4, 18, 5, 0, 0, 0, time.UTC)

// session records a transcript of the messages to a core and of its effects.
type session struct {
	t    *testing.T
	core *Core
	now  time.Time
	text strings.Builder
	next OfferID
}

func newSession(t *testing.T, limit, coldLimit int) *session {
	row := table.Upstream{Name: "drafting_1", Limit: limit, ColdLimit: coldLimit, State: table.In}
	return &session{t: t, now: epoch, core: &Core{Upstream: row}}
}

func (s *session) note(text string) { fmt.Fprintf(&s.text, "# %s\n", text) }

func (s *session) wait(d time.Duration) { s.now = s.now.Add(d) }

func (s *session) send(m Message) []Effect {
	fmt.Fprintf(&s.text, "%8s  %s\n", s.now.Sub(epoch), describe(m))
	effects := s.core.Handle(s.now, m)
	for _, e := range effects {
		fmt.Fprintf(&s.text, "          -> %s\n", describe(e))
	}
	return effects
}

// offer sends n offers of a class and returns the ID of the last.
func (s *session) offer(class table.Class, account table.AccountName, n int) OfferID {
	for range n {
		s.next++
		s.send(Offered{
			ID: s.next, Account: account, Class: class, Arrived: s.now, Deadline: s.now.Add(class.Deadline),
		})
	}
	return s.next
}

// run sends the body for every grant.
func (s *session) run() {
	for _, o := range s.core.granted() {
		s.send(BodyReceived{ID: o.ID})
	}
}

// finish ends the n oldest running requests, one after another.
func (s *session) finish(n int, end Finished) {
	s.run()
	for range n {
		end.ID = s.running()[0]
		s.send(end)
		s.run()
	}
}

func (s *session) running() []OfferID {
	var ids []OfferID
	for _, o := range s.core.inFlight {
		if o.phase == running {
			ids = append(ids, o.ID)
		}
	}
	return ids
}

// warm sends load until the core reaches the limit of its row.
func (s *session) warm(class table.Class) {
	limit := s.core.Upstream.Limit
	for s.core.State().Cold {
		s.offer(class, "warmer", limit)
		for len(s.running()) > 0 || len(s.core.granted()) > 0 {
			s.finish(1, clean(class))
		}
	}
}

// warmQuietly warms the core without recording it in the transcript.
func (s *session) warmQuietly(class table.Class) {
	s.warm(class)
	s.text.Reset()
	s.next = 100
	fmt.Fprintf(&s.text, "# warm at limit %d\n", s.core.State().Limit)
}

func (s *session) golden() {
	golden.Assert(s.t, s.text.String(), s.t.Name()+".golden")
}

func clean(class table.Class) Finished {
	return Finished{Clean: true, Tokens: 50, TokenGap: class.TokenGap / 2}
}

func describe(v any) string {
	switch v := v.(type) {
	case Offered:
		suspect := ""
		if v.Suspect {
			suspect = " suspect"
		}
		return fmt.Sprintf("offered %d tier %d %s/%s%s", v.ID, v.Class.Tier, v.Class.Name, v.Account, suspect)
	case Configured:
		return fmt.Sprintf("configured limit %d cold_limit %d %s data_centre_out %t",
			v.Upstream.Limit, v.Upstream.ColdLimit, v.Upstream.State, v.DataCentreOut)
	case Refuse:
		return fmt.Sprintf("refuse %d %d %s", v.ID, v.Code, v.Code)
	case ReportChanged:
		st := v.State
		return fmt.Sprintf("report refusing %s limit %d in_flight %d parked %d cold %t",
			st.Refusing, st.Limit, st.InFlight, st.Parked, st.Cold)
	case Finished:
		return fmt.Sprintf("finished %d clean %t cancelled %t tokens %d gap %s", v.ID, v.Clean, v.Cancelled, v.Tokens, v.TokenGap)
	}
	name := strings.TrimPrefix(fmt.Sprintf("%T", v), "admission.")
	return strings.TrimSpace(strings.ToLower(name) + " " + strings.Trim(fmt.Sprintf("%v", v), "{}"))
}

// Classes used by the tests, in three tiers.
var (
	booth = table.Class{
		Name: "booth", Tier: 1, Weight: 1, FirstToken: 800 * time.Millisecond, TokenGap: 30 * time.Millisecond,
		Deadline: 20 * time.Second, MaxWait: 2 * time.Second, StarvationShare: 4, MaxTokens: 100,
	}
	notice = table.Class{
		Name: "notice", Tier: 2, Weight: 1, FirstToken: 3 * time.Second, TokenGap: 60 * time.Millisecond,
		Deadline: 2 * time.Minute, MaxWait: 5 * time.Second, StarvationShare: 4, MaxTokens: 400,
	}
	summary = table.Class{
		Name: "summary", Tier: 3, Weight: 1, FirstToken: 10 * time.Second, TokenGap: 60 * time.Millisecond,
		Deadline: 5 * time.Minute, MaxWait: 5 * time.Second, StarvationShare: 4, MaxTokens: 1000,
	}
)

func TestColdStart(t *testing.T) {
	s := newSession(t, 4, 1)
	s.note("a cold upstream runs one request, and more only after clean ends at a full ramp")
	s.offer(notice, "ward", 12)
	s.run()
	s.finish(1, clean(notice))
	s.note("a failed request restarts the step")
	s.finish(1, Finished{})
	s.finish(2, clean(notice))
	for s.core.State().Cold {
		s.finish(1, clean(notice))
	}
	assert.Equal(t, s.core.State().Limit, 4)
	s.golden()
}

func TestTurnsColdAtFullLoad(t *testing.T) {
	s := newSession(t, 4, 1)
	s.warmQuietly(notice)
	s.note("typical latencies at full load")
	for range 3 {
		s.offer(notice, "ward", 4)
		s.run()
		for _, id := range s.running() {
			s.send(FirstTokenReceived{ID: id, After: 200 * time.Millisecond})
		}
		s.finish(4, clean(notice))
	}
	s.note("first tokens are slow at the same load")
	s.offer(notice, "ward", 8)
	s.run()
	for _, id := range s.running()[:3] {
		s.send(FirstTokenReceived{ID: id, After: 2 * time.Second})
	}
	assert.Assert(t, s.core.State().Cold)
	s.note("requests granted before do not count towards the ramp, and nothing is granted until they have drained")
	s.finish(4, clean(notice))
	assert.Equal(t, s.core.State().InFlight, 1)
	s.golden()
}

func TestTokenGapJump(t *testing.T) {
	s := newSession(t, 4, 1)
	s.warmQuietly(notice)
	s.offer(notice, "ward", 20)
	s.finish(16, Finished{Clean: true, Tokens: 50, TokenGap: 15 * time.Millisecond})
	s.note("gaps of 55 ms meet the target of 60 ms but are far above the average")
	s.finish(3, Finished{Clean: true, Tokens: 50, TokenGap: 55 * time.Millisecond})
	assert.Assert(t, s.core.State().Cold)
	s.golden()
}

func TestErrorBurst(t *testing.T) {
	s := newSession(t, 4, 1)
	s.warmQuietly(notice)
	s.offer(notice, "ward", 8)
	s.note("cancelled requests do not count as errors, because a caller that disconnects says nothing about the upstream's health")
	s.finish(3, Finished{Cancelled: true})
	s.finish(2, Finished{})
	assert.Assert(t, !s.core.State().Cold)
	s.finish(1, Finished{})
	assert.Assert(t, s.core.State().Cold)
	s.golden()
}

func TestRestart(t *testing.T) {
	s := newSession(t, 4, 1)
	s.warmQuietly(notice)
	s.offer(notice, "ward", 2)
	s.run()
	s.offer(notice, "ward", 4)
	s.note("the engine restarted: the two grants whose body has not arrived are revoked")
	s.send(HealthChanged{Up: true, Restarted: true})
	s.note("a body that arrives for a revoked grant must not run")
	s.send(BodyReceived{ID: 104})
	assert.Assert(t, !s.core.Runs(104))
	s.finish(2, Finished{})
	s.golden()
}

func TestAdaptsToTokenGap(t *testing.T) {
	s := newSession(t, 8, 1)
	s.warmQuietly(notice)
	s.note("a missed target cuts the limit once for all requests granted before")
	s.offer(notice, "ward", 40)
	s.finish(8, Finished{Clean: true, Tokens: 50, TokenGap: 70 * time.Millisecond})
	assert.Equal(t, s.core.State().Limit, 6)
	s.note("a met target raises the limit by one per round")
	s.finish(24, clean(notice))
	assert.Equal(t, s.core.State().Limit, 8)
	s.golden()
}

func TestLimitGrowsOnlyWhenUsed(t *testing.T) {
	s := newSession(t, 8, 1)
	s.note("one request at a time: the ramp grows by a first step but not by a second")
	for range 6 {
		s.offer(notice, "ward", 1)
		s.finish(1, clean(notice))
	}
	assert.Equal(t, s.core.State().Limit, 2)
	s.note("a missed target above the cold limit ends the ramp")
	s.offer(notice, "ward", 6)
	s.finish(2, clean(notice))
	s.finish(3, Finished{Clean: true, TokenGap: 61 * time.Millisecond})
	assert.DeepEqual(t, s.core.State(), State{Limit: 2, InFlight: 1})
	s.finish(1, clean(notice))
	s.note("one request at a time does not raise a warm limit that was cut")
	for range 6 {
		s.offer(notice, "ward", 1)
		s.finish(1, clean(notice))
	}
	assert.Equal(t, s.core.State().Limit, 2)
	s.golden()
}

func TestHigherLoadIsNoJump(t *testing.T) {
	s := newSession(t, 8, 8)
	s.warmQuietly(notice)
	s.note("establish the average time to the first token at a load of one")
	for range minSamples {
		id := s.offer(notice, "ward", 1)
		s.run()
		s.send(FirstTokenReceived{ID: id, After: 100 * time.Millisecond})
		s.finish(1, clean(notice))
	}
	s.note("slow first tokens at a load of six to eight do not turn the upstream cold")
	s.offer(notice, "ward", 8)
	s.run()
	for _, id := range s.running()[5:] {
		s.send(FirstTokenReceived{ID: id, After: 900 * time.Millisecond})
	}
	assert.Assert(t, !s.core.State().Cold)
	s.golden()
}

func TestTargetOutOfReach(t *testing.T) {
	s := newSession(t, 8, 1)
	s.warmQuietly(notice)
	slow := Finished{Clean: true, Tokens: 50, TokenGap: 70 * time.Millisecond}
	s.note("a slow upstream: cuts to half the limit leave the gap unchanged, so they are reverted")
	s.offer(notice, "ward", 60)
	s.finish(8, slow)
	s.finish(6, slow)
	s.finish(4, slow)
	assert.Equal(t, s.core.State().Limit, 8)
	s.note("a gap of more than 1.5 times that one still cuts the limit")
	s.finish(5, Finished{Clean: true, Tokens: 50, TokenGap: 110 * time.Millisecond})
	assert.Equal(t, s.core.State().Limit, 6)
	s.note("once the gap falls, the target applies again, and cuts that help continue")
	s.finish(6, Finished{Clean: true, Tokens: 50, TokenGap: 59 * time.Millisecond})
	s.finish(1, Finished{Clean: true, Tokens: 50, TokenGap: 80 * time.Millisecond})
	s.finish(10, Finished{Clean: true, Tokens: 50, TokenGap: 62 * time.Millisecond})
	assert.Equal(t, s.core.State().Limit, 2)
	s.golden()
}

func TestLimitChangeResetsCuts(t *testing.T) {
	s := newSession(t, 8, 1)
	s.warmQuietly(notice)
	slow := Finished{Clean: true, Tokens: 50, TokenGap: 70 * time.Millisecond}
	s.offer(notice, "ward", 40)
	s.finish(1, slow)
	assert.Equal(t, s.core.State().Limit, 6)
	s.note("cuts from a limit of eight are not reverted once the row's limit is three")
	row := s.core.Upstream
	row.Limit = 3
	s.send(Configured{Upstream: row})
	s.finish(14, slow)
	assert.Equal(t, s.core.State().Limit, 3)
	s.golden()
}

func TestRampOutOfReach(t *testing.T) {
	s := newSession(t, 4, 1)
	slow := Finished{Clean: true, Tokens: 50, TokenGap: 70 * time.Millisecond}
	s.note("a single request misses the target: for seven ends the upstream may still be cold")
	s.offer(notice, "ward", 19)
	s.finish(7, slow)
	assert.DeepEqual(t, s.core.State(), State{Limit: 1, InFlight: 1, Parked: 11, Cold: true})
	s.note("then the ramp continues while the gap does not grow")
	s.finish(4, slow)
	assert.DeepEqual(t, s.core.State(), State{Limit: 3, InFlight: 3, Parked: 5, Cold: true})
	s.note("twice the gap of a single request ends the ramp")
	slow.TokenGap *= 2
	s.finish(2, slow)
	assert.DeepEqual(t, s.core.State(), State{Limit: 2, InFlight: 2, Parked: 4})
	s.golden()
}
