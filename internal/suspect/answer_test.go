package suspect

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
)

// Guards against an answer that clears a trait although the upstream crashes just after it,
// and against sound traits that are not cleared for fear of that.
func TestAnswersBeforeCrashes(t *testing.T) {
	const bad = 0xb
	tests := []struct {
		name string
		play func(c *Crashes)
		want string
	}{
		{"a trait whose answer is complete before the crash is suspected", func(c *Crashes) {
			c.Completed(seconds(0), "u1", []Trait{bad}, nil)
			c.Report(seconds(0.04), "u1", []Trait{1}, nil)
		}, "apart b"},
		{"and held back after the second crash", func(c *Crashes) {
			c.Completed(seconds(0), "u1", []Trait{bad}, nil)
			c.Report(seconds(0.04), "u1", []Trait{1}, nil)
			c.Completed(seconds(1), "u2", []Trait{bad}, []Trait{bad})
			c.Report(seconds(1.04), "u2", []Trait{1}, nil)
		}, "held b"},
		{"a request apart counts as a crash of its own", func(c *Crashes) {
			c.Completed(seconds(0), "u1", []Trait{bad}, nil)
			c.Report(seconds(0.04), "u1", []Trait{1}, nil)
			c.Completed(seconds(0.2), "u2", []Trait{bad}, []Trait{bad})
			c.Report(seconds(0.24), "u2", []Trait{1}, nil)
		}, "held b"},
		{"no other request was in flight at the crash", func(c *Crashes) {
			c.Completed(seconds(0), "u1", []Trait{bad}, nil)
			c.Report(seconds(0.04), "u1", nil, nil)
			c.Completed(seconds(1), "u2", []Trait{bad}, nil)
			c.Refused(seconds(1.3), "u2")
		}, "held b"},
		{"an answer that is read after its upstream was reported", func(c *Crashes) {
			c.Report(seconds(0), "u1", []Trait{1}, nil)
			c.Completed(seconds(0.01), "u1", []Trait{bad}, nil)
			c.Report(seconds(1), "u2", []Trait{1}, nil)
			c.Completed(seconds(1.01), "u2", []Trait{bad}, nil)
		}, "held b"},
		{"an upstream that closed connections before it crashes", func(c *Crashes) {
			for i, u := range []fleet.Incarnation{"u1", "u2"} {
				at := float64(2 * i)
				c.Report(seconds(at), u, []Trait{1}, nil)
				c.Answered(seconds(at+0.5), u, seconds(-1))
				c.Completed(seconds(at+1), u, []Trait{bad}, nil)
				c.Report(seconds(at+1.04), u, []Trait{10 + Trait(i)}, nil)
			}
		}, "held b"},
		{"an upstream that runs on", func(c *Crashes) {
			c.Report(seconds(0), "u1", []Trait{2}, nil)
			c.Completed(seconds(1), "u2", []Trait{2}, nil)
			c.Report(seconds(1.01).Add(afterTime), "u2", []Trait{1}, nil)
		}, ""},
		{"another upstream that crashes", func(c *Crashes) {
			c.Report(seconds(0), "u1", []Trait{2}, nil)
			c.Completed(seconds(1), "u2", []Trait{2}, nil)
			c.Report(seconds(1.04), "u22", []Trait{1}, nil)
			c.Report(seconds(1.05), "u", []Trait{1}, nil)
		}, ""},
		{"a refused connection long after the answer", func(c *Crashes) {
			c.Completed(seconds(1), "u1", []Trait{2}, nil)
			c.Refused(seconds(1).Add(settleTime), "u1")
		}, ""},
		{"what completes often stays free", func(c *Crashes) {
			for i := range 100 {
				at := 0.1 * float64(i)
				c.Completed(seconds(at), fleet.Incarnation(fmt.Sprint("u", i%10, "/", i/10)), []Trait{1, 2}, nil)
				if i%10 == 3 {
					c.Report(seconds(at+0.04), fleet.Incarnation(fmt.Sprint("u3/", i/10)), []Trait{1, 2}, nil)
				}
			}
		}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCrashes(1)
			tt.play(c)
			assert.Equal(t, describe(c, seconds(10), 2, bad), tt.want)
		})
	}
}

// Until an answer settles, it counts for a trait whose requests ran like all others, so that a
// trait of many sound requests is not held up after each crash. It does not count for a trait
// because of which the request ran apart.
func TestAnswersCountBeforeTheySettle(t *testing.T) {
	c := newCrashes()
	c.Report(seconds(0), "u1", []Trait{2, 3}, nil)
	c.Completed(seconds(0.1), "u2", []Trait{2}, nil)
	c.Completed(seconds(0.1), "u3", []Trait{3}, []Trait{3})
	assert.Equal(t, describe(c, seconds(0.2), 2, 3), "apart 3")
	assert.Equal(t, describe(c, seconds(0.1).Add(settleTime), 2, 3), "")
	c = newCrashes()
	c.Report(seconds(0), "u1", []Trait{2}, nil)
	c.Completed(seconds(0.1), "u2", []Trait{2}, nil)
	c.Report(seconds(0.2), "u2", []Trait{1}, nil)
	assert.Equal(t, describe(c, seconds(0.3), 2), "apart 2")
}

// The process that got the answer and the one that saw the crash are different, and both hold
// the trait back.
func TestAnswerAndCrashAtDifferentProcesses(t *testing.T) {
	a, b := &Core{}, &Core{}
	exchange := func(now time.Time) (urgent bool) {
		for range 2 {
			for _, e := range a.Handle(now, Received{b.ChangesSince(now, 0)}) {
				urgent = urgent || e == Effect(ExchangeNow{})
			}
			b.Handle(now, Received{a.ChangesSince(now, 0)})
		}
		return urgent
	}
	for i, u := range []fleet.Incarnation{"u1", "u2"} {
		at := seconds(float64(i))
		a.Handle(at, Completed{Incarnation: u, Traits: []Trait{7}})
		b.Handle(at.Add(40*time.Millisecond), Died{Incarnation: u, Traits: []Trait{1}})
		assert.Assert(t, exchange(at.Add(60*time.Millisecond)), "what the answer adds to the crash is urgent")
	}
	b.Handle(seconds(1.2), Completed{Traits: []Trait{1}})
	assert.Assert(t, !a.Crashes.MayRun(seconds(3), []Trait{2, 7}, nil))
	assert.Assert(t, !b.Crashes.MayRun(seconds(3), []Trait{2, 7}, nil))
	assert.Assert(t, b.Crashes.MayRun(seconds(3), []Trait{1}, nil))
}

// What is kept of answers is bounded.
func TestUnsettledAnswersAreBounded(t *testing.T) {
	c := newCrashes()
	for i := range Trait(3 * maxUnsettled) {
		c.Completed(seconds(0), "u1", []Trait{i}, nil)
	}
	assert.Equal(t, len(c.unsettled.answers), maxUnsettled)
	assert.Equal(t, len(c.unsettled.latest), maxUnsettled)
	c.settle(seconds(0).Add(settleTime))
	assert.Equal(t, len(c.unsettled.answers)+len(c.unsettled.latest), 0)
}

// Guards against the case in which many requests with a bad trait come at once: all upstreams
// end together, which is one series of crashes, and later requests with the trait on probation
// reach an upstream in numbers.
func TestRequestsOnProbationRunOneAtATime(t *testing.T) {
	const processes = 4
	var all []*Crashes
	for range processes {
		c := newCrashes()
		for i := range 20 {
			c.Report(seconds(0.01*float64(i)), fleet.Incarnation(fmt.Sprint("u", i)), []Trait{7}, nil)
		}
		all = append(all, c)
	}
	passed := func(now time.Time) (n int) {
		for i, c := range all {
			assert.Assert(t, !c.MayRun(now, []Trait{7}, []Trait{7}), "a request that waits is sent although it is no trial")
			for range 5 {
				v := c.Verdict(now, []Trait{7}, func(turn uint64) bool { return turn%processes == uint64(i) })
				if !v.Refuse {
					assert.Assert(t, v.Trial && v.Apart())
					n++
					continue
				}
				assert.Assert(t, v.Busy && v.RetryAfter > 0)
			}
		}
		return n
	}
	assert.Equal(t, passed(seconds(5)), 1)
	assert.Equal(t, passed(seconds(6)), 0)
	for _, c := range all {
		c.Completed(seconds(6), "u1", []Trait{7}, []Trait{7})
		assert.DeepEqual(t, c.Verdict(seconds(6).Add(settleTime), []Trait{7}, nil), Verdict{})
	}
}

// A trait of which this process has seen answers is not bound to one request at a time, since
// hundreds share it after the loss of a data centre. Nor is one that few crashes speak against.
func TestProbationOfKnownTraitsIsNotBound(t *testing.T) {
	c := newCrashes(1)
	for series := range 2 {
		for i := range 20 {
			c.Report(seconds(float64(series)), fleet.Incarnation(fmt.Sprint("u", series, "-", i)), []Trait{1}, nil)
		}
	}
	for i := range boundedCrashes - 1 {
		c.Report(seconds(0), fleet.Incarnation(fmt.Sprint("w", i)), []Trait{2}, nil)
	}
	for range 10 {
		for _, trait := range []Trait{1, 2} {
			assert.DeepEqual(t, c.Verdict(seconds(2), []Trait{trait}, nil), Verdict{Tried: []Trait{trait}})
		}
	}
}
