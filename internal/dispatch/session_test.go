package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/golden"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// session drives the core of one request and writes down all that passes.
type session struct {
	core  *Attempts
	begin time.Time
	log   strings.Builder
}

func newSession(class table.Class, names ...string) *session {
	begin := time.Unix(1000, 0)
	class.Deadline = 10 * time.Second
	s := &session{begin: begin}
	s.core = &Attempts{
		Request: Request{ID: "r", Class: class, Arrived: begin, Deadline: begin.Add(class.Deadline)},
		Budget:  &Budget{Share: 0.1},
		Pick: func(_ time.Time, tried map[Candidate]bool) (Candidate, bool) {
			for _, n := range names {
				c := Candidate{VM: fleet.VMName(n)}
				if !tried[c] {
					return c, true
				}
			}
			return Candidate{}, false
		},
	}
	return s
}

func (s *session) at(after time.Duration, m Message) {
	fmt.Fprintf(&s.log, "%6s > %s\n", after, strings.TrimPrefix(fmt.Sprintf("%T%+v", m, m), "dispatch."))
	for _, e := range s.core.Handle(s.begin.Add(after), m) {
		if w, ok := e.(WakeAt); ok {
			fmt.Fprintf(&s.log, "       < WakeAt{%s}\n", w.Time.Sub(s.begin))
			continue
		}
		fmt.Fprintf(&s.log, "       < %s\n", strings.TrimPrefix(fmt.Sprintf("%T%+v", e, e), "dispatch."))
	}
}

const ms = time.Millisecond

var (
	draft   = table.Class{Name: "draft", Kind: table.Engine, Idempotent: true}
	booking = table.Class{Name: "booking", Kind: table.Plain}
)

func TestSessions(t *testing.T) {
	tests := []struct {
		name string
		play func() *session
	}{
		{"whole_answer", func() *session {
			s := newSession(draft, "a", "b")
			s.at(0, Started{})
			s.at(ms, Granted{1})
			s.at(2*ms, HeadCame{1, 200})
			s.at(3*ms, ChunkCame{1, 5})
			s.at(4*ms, Ended{Attempt: 1, Complete: true})
			return s
		}},
		{"widened_and_late_grant", func() *session {
			s := newSession(draft, "a", "b", "c", "d", "e")
			s.at(0, Started{})
			s.at(ms, Parked{1})
			s.at(5*ms, Ticked{})
			s.at(10*ms, Ticked{})
			s.at(15*ms, Ticked{})
			s.at(20*ms, Ticked{})
			s.at(21*ms, Granted{2})
			s.at(22*ms, Granted{1})
			s.at(23*ms, ChunkCame{1, 5})
			s.at(24*ms, Ended{Attempt: 1, Complete: true})
			s.at(25*ms, Ended{Attempt: 2, Complete: true})
			s.at(26*ms, Granted{3})
			return s
		}},
		{"all_refuse_then_rounds", func() *session {
			s := newSession(draft, "a")
			s.at(0, Started{})
			for i := AttemptNumber(1); i <= 5; i++ {
				s.at(time.Duration(i)*200*ms, Refused{Attempt: i, Code: result.UpstreamUnhealthy, NotRun: true})
				s.at(time.Duration(i)*200*ms+100*ms, Ticked{})
			}
			return s
		}},
		{"shed_is_not_asked_again", func() *session {
			s := newSession(draft, "a", "b")
			s.at(0, Started{})
			s.at(ms, Refused{Attempt: 1, Code: result.SidecarQueueFull, NotRun: true})
			s.at(2*ms, Refused{Attempt: 2, Code: result.SidecarQueueFull, NotRun: true})
			return s
		}},
		{"booking_lost_after_body", func() *session {
			s := newSession(booking, "a", "b")
			s.at(0, Started{})
			s.at(ms, Granted{1})
			s.at(2*ms, Lost{1})
			return s
		}},
		{"booking_lost_before_body", func() *session {
			s := newSession(booking, "a", "b")
			s.at(0, Started{})
			s.at(ms, Lost{1})
			s.at(2*ms, Granted{2})
			s.at(3*ms, Silent{2})
			s.at(4*ms, Ended{Attempt: 2, Complete: true})
			return s
		}},
		{"booking_refused_after_body", func() *session {
			s := newSession(booking, "a", "b")
			s.at(0, Started{})
			s.at(ms, Granted{1})
			s.at(2*ms, Refused{Attempt: 1, Code: result.GrantLapsed, NotRun: true})
			s.at(3*ms, Granted{2})
			s.at(4*ms, Refused{Attempt: 2, Code: result.UpstreamFailed})
			return s
		}},
		{"keyed_refusal_claims_nothing", func() *session {
			s := newSession(booking, "a")
			s.core.Request.Keyed = true
			s.core.Rounds = 1
			s.at(0, Started{})
			s.at(ms, Refused{Attempt: 1, Code: result.UpstreamOut, NotRun: true})
			return s
		}},
		{"key_with_another_body", func() *session {
			s := newSession(booking, "a")
			s.core.Request.Keyed = true
			s.at(0, Started{})
			s.at(ms, Granted{1})
			s.at(2*ms, Refused{Attempt: 1, Code: result.KeyBodyDiffers})
			return s
		}},
		{"key_in_progress_then_answered", func() *session {
			s := newSession(booking, "a")
			s.core.Request.Keyed = true
			s.at(0, Started{})
			s.at(ms, Granted{1})
			s.at(2*ms, Refused{Attempt: 1, Code: result.KeyInProgress})
			s.at(102*ms, Ticked{})
			s.at(103*ms, Granted{2})
			s.at(104*ms, Ended{Attempt: 2, Complete: true})
			return s
		}},
		{"idempotent_had_anew", func() *session {
			s := newSession(draft, "a", "b")
			s.at(0, Started{})
			s.at(ms, Granted{1})
			s.at(2*ms, HeadCame{1, 200})
			s.at(3*ms, ChunkCame{1, 0})
			s.at(4*ms, Lost{1})
			s.at(5*ms, Granted{2})
			s.at(6*ms, HeadCame{2, 200})
			s.at(7*ms, ChunkCame{2, 0})
			s.at(8*ms, Ended{Attempt: 2, Complete: true})
			return s
		}},
		{"stream_resumed", func() *session {
			s := newSession(draft, "a", "b")
			s.core.Request.Streamed = true
			s.at(0, Started{})
			s.at(ms, Granted{1})
			s.at(2*ms, HeadCame{1, 200})
			s.at(3*ms, ChunkCame{1, 3})
			s.at(4*ms, ChunkCame{1, 4})
			s.at(5*ms, Ended{Attempt: 1, Code: result.UpstreamCutOff})
			s.at(6*ms, Granted{2})
			s.at(7*ms, HeadCame{2, 200})
			s.at(8*ms, ChunkCame{2, 2})
			s.at(9*ms, Ended{Attempt: 2, Complete: true})
			return s
		}},
		{"key_waits_for_a_home_that_left", func() *session {
			s := newSession(booking, "a")
			s.core.Request.Keyed = true
			s.at(0, Started{})
			for i := AttemptNumber(1); i <= 6; i++ {
				s.at(time.Duration(i)*200*ms, Refused{Attempt: i, Code: result.NotHome})
				s.at(time.Duration(i)*200*ms+100*ms, Ticked{})
			}
			s.at(1400*ms, Lost{7})
			s.at(1500*ms, Ticked{})
			s.at(1501*ms, Granted{8})
			s.at(1502*ms, Ended{Attempt: 8, Complete: true})
			return s
		}},
		{"too_large_is_not_had_anew", func() *session {
			s := newSession(draft, "a", "b")
			s.at(0, Started{})
			s.at(ms, Granted{1})
			s.at(2*ms, Ended{Attempt: 1, Code: result.AnswerTooLarge})
			return s
		}},
		{"budget_used_up", func() *session {
			s := newSession(draft, "a", "b")
			s.core.Budget = &Budget{}
			s.at(0, Started{})
			s.at(ms, Granted{1})
			s.at(2*ms, Ended{Attempt: 1, Code: result.UpstreamFailed})
			return s
		}},
		{"deadline_while_waiting", func() *session {
			s := newSession(draft, "a")
			s.at(0, Started{})
			s.at(ms, Parked{1})
			s.at(10*time.Second, Ticked{})
			return s
		}},
		{"deadline_of_a_booking", func() *session {
			s := newSession(booking, "a")
			s.at(0, Started{})
			s.at(ms, Granted{1})
			s.at(10*time.Second, Ticked{})
			return s
		}},
		{"end_just_past_the_deadline", func() *session {
			s := newSession(booking, "a")
			s.at(0, Started{})
			s.at(ms, Granted{1})
			s.at(10*time.Second+ms, Ended{Attempt: 1, Complete: true})
			return s
		}},
		{"frozen_sidecar_given_up", func() *session {
			s := newSession(draft, "a", "b")
			s.at(0, Started{})
			s.at(ms, Granted{1})
			s.at(2000*ms, Silent{1})
			s.at(2001*ms, Granted{2})
			s.at(2002*ms, Ended{Attempt: 1, Complete: true})
			s.at(2003*ms, Ended{Attempt: 2, Complete: true})
			return s
		}},
		{"evicted", func() *session {
			s := newSession(draft, "a")
			s.at(0, Started{})
			s.at(ms, Parked{1})
			s.at(2*ms, Evicted{})
			return s
		}},
		{"caller_gone", func() *session {
			s := newSession(draft, "a", "b")
			s.at(0, Started{})
			s.at(5*ms, Ticked{})
			s.at(6*ms, Granted{2})
			s.at(7*ms, CallerGone{})
			return s
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			golden.Assert(t, tt.play().log.String(), tt.name+".golden")
		})
	}
}
