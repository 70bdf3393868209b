package direct

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

// recordingSuspects records what it is told of upstreams, and lets the first check of a
// request run as a trial if trial is set.
type recordingSuspects struct {
	fakeSuspects
	trial bool

	mu     sync.Mutex
	checks int
	told   []string
}

func (s *recordingSuspects) Check(time.Time, *wire.Offer) (suspect.Verdict, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checks++
	if s.trial && s.checks > 1 {
		return suspect.Verdict{Refuse: true}, result.Errorf(result.SuspectBusy, "one at a time")
	}
	return suspect.Verdict{Trial: s.trial}, nil
}

func (s *recordingSuspects) tell(what string, i fleet.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = append(s.told, fmt.Sprint(what, " ", i))
}

func (s *recordingSuspects) Died(_ time.Time, i fleet.Incarnation, _ []*wire.Offer) {
	s.tell("died", i)
}

func (s *recordingSuspects) CompletedAt(_ time.Time, i fleet.Incarnation, _ *wire.Offer) {
	s.tell("completed", i)
}

func (s *recordingSuspects) Refused(_ time.Time, i fleet.Incarnation) { s.tell("refused", i) }

// addRefusing adds an upstream that refuses connections and is chosen first.
func (f *fixture) addRefusing(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	f.view.Upstreams = append(f.view.Upstreams, route.Upstream{ID: "a", Service: "desk", Address: l.Addr().String(), Slots: 6})
	f.gateway.ApplyView(f.view)
}

// What ends an attempt is told of the upstream of that attempt, so that an answer says
// nothing if its upstream crashes just after.
func TestSuspectsLearnWhichUpstreamAnswered(t *testing.T) {
	tests := []struct {
		name, script string
		want         []string
	}{
		{"complete", responseText(200, "Signed: 1\r\n", "ok"), []string{"refused a/0", "completed u0/0"}},
		{"error", responseText(404, "Signed: 1\r\n", "no"), []string{"refused a/0"}},
		{"broken", strings.TrimSuffix(responseText(200, "Signed: 1\r\n", "ok"), "k") + "!", []string{"refused a/0", "died u0/0"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, tt.script)
			f.addRefusing(t)
			s := &recordingSuspects{}
			f.gateway.Suspects = s
			f.call(t, http.MethodPost, "/book/1", "x")
			s.mu.Lock()
			defer s.mu.Unlock()
			assert.DeepEqual(t, s.told, tt.want)
		})
	}
}

// A trial that reached no upstream has tried nothing, and goes on at another one. After an
// attempt that reached one it is held back.
func TestTrialEndsWithAnAttemptThatReachesAnUpstream(t *testing.T) {
	f := newFixture(t, 1, responseText(200, "Signed: 1\r\n", "ok"))
	f.addRefusing(t)
	f.gateway.Suspects = &recordingSuspects{trial: true}
	assert.Equal(t, f.call(t, http.MethodPost, "/book/1", "x"), "200 ok")

	f = newFixture(t, 2, "!", responseText(200, "Signed: 1\r\n", "ok"))
	f.gateway.Suspects = &recordingSuspects{trial: true}
	assert.Assert(t, strings.HasPrefix(f.call(t, http.MethodPost, "/look/1", "x"), "502 code "))
	assert.Equal(t, f.attempts(), 1)
}

// A request that waits for its turn on probation has not run, and its caller may come back.
func TestRequestOnProbationIsRefusedAsNotRun(t *testing.T) {
	f := newFixture(t, 1, responseText(200, "Signed: 1\r\n", "ok"))
	f.gateway.Suspects = &recordingSuspects{trial: true, checks: 1}
	assert.Equal(t, f.call(t, http.MethodPost, "/book/1", "x"), "503 code 4017")
	assert.Equal(t, f.attempts(), 0)
}
