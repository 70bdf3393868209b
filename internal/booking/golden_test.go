package booking

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/golden"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

// session is a core and the transcript of its messages and effects.
type session struct {
	core Core
	key  Key
	now  time.Time
	text strings.Builder
}

func (s *session) handle(m Message) {
	fmt.Fprintf(&s.text, "%s > %s\n", s.now.Sub(modelStart), format(m))
	for _, e := range s.core.Handle(s.now, m) {
		fmt.Fprintf(&s.text, "    < %s\n", format(e))
	}
}

func (s *session) advance(d time.Duration) { s.now = s.now.Add(d) }

func (s *session) view(names, out string) {
	s.handle(ViewChanged{Members: modelVMs(names), Out: modelVMs(out)})
}

func (s *session) begin(r Ref, body string) { s.handle(Begin{r, s.key, []byte(body)}) }

func (s *session) reply(id ClaimID, from fleet.VMName, up time.Duration) {
	s.handle(WitnessReplied{id, from, &wire.ClaimReply{UpMs: uint64(up / time.Millisecond)}})
}

// claim sends the core a claim of home b for the session's key.
func (s *session) claim(id uint64, change func(q *wire.ClaimRequest)) {
	q := &wire.ClaimRequest{
		Account: string(s.key.Account), Key: s.key.Text, BodyHash: []byte("x"), Home: "b", HomeIncarnation: "b1", ClaimId: id,
	}
	if change != nil {
		change(q)
	}
	s.handle(ClaimReceived{Ref: ClaimRef(id), Request: q})
}

func modelVMs(names string) []fleet.VM {
	var vms []fleet.VM
	for _, n := range names {
		vms = append(vms, fleet.VM{Name: fleet.VMName(n), DataCentre: dataCentreOf(byte(n))})
	}
	return vms
}

func format(v any) string {
	name := strings.TrimPrefix(fmt.Sprintf("%T", v), "booking.")
	switch v := v.(type) {
	case ViewChanged:
		return fmt.Sprintf("%s members=%s out=%s", name, formatVMs(v.Members), formatVMs(v.Out))
	case Begin:
		return fmt.Sprintf("%s ref=%d body=%s", name, v.Ref, v.BodyHash)
	case Run:
		return fmt.Sprintf("%s ref=%d before=%s", name, v.Ref, v.Before.Sub(modelStart))
	case ReplayAnswer:
		return fmt.Sprintf("%s ref=%d %s", name, v.Ref, formatAnswer(v.Answer))
	case Refuse:
		return fmt.Sprintf("%s ref=%d %s: %s", name, v.Ref, v.Code, v.Detail)
	case Finished:
		return fmt.Sprintf("%s ref=%d not_run=%t %s", name, v.Ref, v.NotRun, formatAnswer(v.Answer))
	case AskWitness:
		return fmt.Sprintf("%s to=%s %s", name, v.To.Name, formatRequest(v.Request))
	case NotifyWitness:
		return fmt.Sprintf("%s to=%s %s", name, v.To.Name, formatRequest(v.Request))
	case ClaimReceived:
		return fmt.Sprintf("%s %s", name, formatRequest(v.Request))
	case WitnessReplied:
		return fmt.Sprintf("%s claim=%d from=%s %s", name, v.ClaimID, v.From, formatReply(v.Reply))
	case ReplyClaim:
		return fmt.Sprintf("%s %s", name, formatReply(v.Reply))
	default:
		return fmt.Sprintf("%s %+v", name, v)
	}
}

func formatVMs(vms []fleet.VM) string {
	var b strings.Builder
	for _, vm := range vms {
		b.WriteString(string(vm.Name))
	}
	return b.String()
}

func formatAnswer(a *wire.StoredAnswer) string {
	switch {
	case a == nil:
		return "no answer"
	case !a.Complete:
		return "outcome unknown"
	default:
		return fmt.Sprintf("answer=%d/%s", a.Status, a.Body)
	}
}

func formatRequest(q *wire.ClaimRequest) string {
	s := fmt.Sprintf("home=%s/%s claim=%d body=%s", q.Home, q.HomeIncarnation, q.ClaimId, q.BodyHash)
	if q.Release {
		s += " release"
	}
	if q.Answer != nil {
		s += " " + formatAnswer(q.Answer)
	}
	return s
}

func formatReply(y *wire.ClaimReply) string {
	s := fmt.Sprintf("%s up=%s", result.Code(y.Code), time.Duration(y.UpMs)*time.Millisecond)
	if y.Home != "" {
		s += fmt.Sprintf(" held_by=%s/%s", y.Home, y.HomeIncarnation)
	}
	if y.Answer != nil {
		s += " " + formatAnswer(y.Answer)
	}
	return s
}

var modelAnswer = &wire.StoredAnswer{Status: 201, Body: []byte("crate 7"), Complete: true}

// Complete message sequences of one core, which runs at node a.
func TestSessions(t *testing.T) {
	tests := []struct {
		name   string
		script func(s *session)
	}{
		{"home_runs_once", func(s *session) {
			s.view("abcd", "")
			s.begin(1, "x")
			s.begin(2, "x")
			s.reply(1, "c", 2*modelWindow)
			s.reply(1, "b", 2*modelWindow)
			s.begin(3, "x")
			s.handle(Finished{Ref: 1, Answer: modelAnswer})
			s.begin(4, "x")
			s.begin(5, "y")
			s.advance(modelWindow - time.Second)
			s.begin(6, "x")
			s.advance(time.Second)
			s.begin(7, "x")
		}},
		{"home_abandons_claim", func(s *session) {
			s.view("abcd", "")
			s.begin(1, "x")
			s.reply(1, "c", 2*modelWindow)
			s.handle(WitnessFailed{1, "b"})
			s.begin(2, "x")
			s.claim(9, nil)
			s.reply(2, "c", 2*modelWindow)
			s.reply(2, "b", 2*modelWindow)
			s.begin(3, "x")
			s.advance(DefaultClaimTimeout)
			s.handle(Ticked{})
			s.begin(4, "x")
			s.handle(Withdrawn{4})
			s.begin(5, "x")
			s.reply(5, "c", 2*modelWindow)
			s.reply(5, "b", 2*modelWindow)
			s.handle(Finished{Ref: 5, NotRun: true})
			s.begin(6, "x")
		}},
		{"home_adopts_answer", func(s *session) {
			s.view("abcd", "")
			s.begin(1, "x")
			s.handle(WitnessReplied{1, "b", &wire.ClaimReply{Code: uint32(result.KeyClaimedElsewhere), Home: "e"}})
			s.handle(WitnessReplied{1, "c", &wire.ClaimReply{Code: uint32(result.KeyClaimedElsewhere), Home: "b", Answer: modelAnswer}})
			s.begin(2, "x")
		}},
		{"recent_members", func(s *session) {
			s.view("abcd", "e")
			s.begin(1, "x")
			s.reply(1, "c", time.Minute)
			s.reply(1, "b", 2*modelWindow)
			s.reply(1, "d", time.Minute)
			s.handle(WitnessFailed{1, "e"})
			s.handle(Finished{Ref: 1})
			s.begin(2, "x")
		}},
		{"witness", func(s *session) {
			s.view("abcd", "")
			s.advance(time.Minute)
			s.claim(1, nil)
			s.claim(2, nil)
			s.claim(1, func(q *wire.ClaimRequest) { q.Release = true })
			s.claim(3, func(q *wire.ClaimRequest) { q.Home, q.HomeIncarnation = "d", "d1" })
			s.claim(4, func(q *wire.ClaimRequest) { q.BodyHash = []byte("y") })
			s.begin(1, "x")
			s.claim(2, func(q *wire.ClaimRequest) { q.Answer = modelAnswer })
			s.claim(5, func(q *wire.ClaimRequest) { q.Home, q.HomeIncarnation = "d", "d1" })
			s.begin(2, "x")
		}},
		{"bounds", func(s *session) {
			s.core.MaxRecords, s.core.MaxAnswerBytes = 1, 4
			s.view("ab", "")
			s.begin(1, "x")
			s.reply(1, "b", 2*modelWindow)
			s.handle(Finished{Ref: 1, Answer: modelAnswer})
			s.begin(2, "x")
			s.key = Key{"ward", "another"}
			s.claim(1, nil)
			s.advance(modelWindow)
			s.claim(2, nil)
		}},
		{"drain", func(s *session) {
			s.view("abcd", "")
			s.claim(1, nil)
			first := s.key
			s.key = Key{"ward", "key_2"}
			s.claim(2, func(q *wire.ClaimRequest) { q.Answer = modelAnswer })
			s.handle(Draining{})
			s.claim(3, func(q *wire.ClaimRequest) { q.Home = "c" })
			s.key = first
			s.begin(1, "x")
			s.key = Key{"ward", "new"}
			s.begin(2, "x")
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &session{key: keyWithOrder("abcde"), now: modelStart}
			s.core = Core{Self: modelVMs("a")[0], Incarnation: "a1", Window: modelWindow}
			tt.script(s)
			golden.Assert(t, s.text.String(), tt.name+".golden")
		})
	}
}
