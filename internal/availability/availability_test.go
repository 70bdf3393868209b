package availability

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func TestRecord(t *testing.T) {
	tests := []struct {
		name       string
		statements []Statement
		// after is the time since the last statement.
		after time.Duration
		want  bool
	}{
		{"nothing said", []Statement{{}}, 0, true},
		{"leaves", []Statement{{Leaving: true}}, time.Hour, false},
		{"leaves, then says nothing", []Statement{{Leaving: true}, {}}, time.Hour, false},
		{"pause", []Statement{{Pause: time.Second}}, 999 * time.Millisecond, false},
		{"pause over", []Statement{{Pause: time.Second}}, time.Second, true},
		{"a shorter pause later", []Statement{{Pause: 2 * time.Second}, {Pause: time.Second}}, 1500 * time.Millisecond, false},
		{"a longer pause later", []Statement{{Pause: time.Second}, {Pause: 2 * time.Second}}, 1500 * time.Millisecond, false},
		{"no pause later", []Statement{{Pause: 2 * time.Second}, {}}, 1500 * time.Millisecond, false},
		{"negative", []Statement{{Pause: -time.Second}}, 0, true},
		{"absurd", []Statement{{Pause: math.MaxInt64}}, MaxPause - 1, false},
		{"absurd, over", []Statement{{Pause: math.MaxInt64}}, MaxPause, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s State
			for _, m := range tt.statements {
				s.Record(start, m, 0)
			}
			assert.Equal(t, s.Allows(start.Add(tt.after), 0), tt.want)
		})
	}
}

func TestRecordReportsChanges(t *testing.T) {
	var s State
	assert.DeepEqual(t, s.Record(start, Statement{Leaving: true}, time.Second), Change{Leaves: true})
	assert.DeepEqual(t, s.Record(start, Statement{Leaving: true}, time.Second), Change{})
	assert.DeepEqual(t, s.Record(start, Statement{Pause: 2 * time.Second}, time.Second), Change{Paused: 3 * time.Second})
	assert.DeepEqual(t, s.Record(start, Statement{Pause: time.Second}, time.Second), Change{})
}

// After a pause the first requests come back one by one.
func TestRequestsReturnGradually(t *testing.T) {
	var s State
	s.Record(start, Statement{Pause: time.Second}, 0)
	s.Answered(start)
	now := start.Add(time.Second)
	for _, want := range []int{1, 2, 4, 8, 16, 32} {
		assert.Assert(t, s.Allows(now, want-1))
		assert.Assert(t, !s.Allows(now, want), "%d", want)
		s.Answered(now)
	}
	assert.Assert(t, s.Allows(now, 10_000))
}

// Whatever an upstream says, in whatever order: it gets nothing after it has said that it
// leaves, nothing before the longest pause that it asked for is over, and no pause
// outlasts its bound.
func TestRandomStatements(t *testing.T) {
	random := rand.New(rand.NewPCG(26, 1))
	for range 5_000 {
		var s State
		now, leaving, until := start, false, time.Time{}
		for range 30 {
			now = now.Add(time.Duration(random.Int64N(int64(3 * time.Second))))
			assert.Equal(t, s.Leaving(), leaving)
			assert.Equal(t, s.Allows(now, 0), !leaving && !now.Before(until))
			switch random.IntN(4) {
			case 0:
				m := Statement{Leaving: random.IntN(30) == 0, Pause: time.Duration(random.Int64() >> random.IntN(40))}
				if random.IntN(2) == 0 {
					m.Pause = -m.Pause
				}
				s.Record(now, m, 0)
				leaving = leaving || m.Leaving
				if m.Pause > 0 {
					until = later(until, now.Add(min(m.Pause, MaxPause)))
				}
				assert.Assert(t, s.PauseLeft(now) <= MaxPause)
			case 1:
				s.Answered(now)
			}
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
