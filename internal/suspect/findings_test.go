package suspect

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
)

// newCrashes returns a Crashes to which requests with the given traits have completed.
func newCrashes(completed ...Trait) *Crashes {
	c := &Crashes{}
	c.Completed(start.Add(-time.Second), "", completed, nil)
	return c
}

func seconds(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// describe returns what is held back and which of the traits are on probation.
func describe(c *Crashes, now time.Time, traits ...Trait) string {
	var out []string
	var held []Trait
	for _, b := range c.Held(now) {
		out = append(out, "held "+TraitsText(b.Traits))
		held = append(held, b.Traits...)
	}
	for _, t := range traits {
		switch v := c.Verdict(now, []Trait{t}, nil); {
		case len(v.Tried) > 0 && !v.Trial:
			out = append(out, "apart "+TraitsText(v.Tried))
		case v.Trial && !slices.Contains(held, t):
			out = append(out, "one at a time "+TraitsText(v.Tried))
		}
	}
	return strings.Join(out, "; ")
}

func TestFindings(t *testing.T) {
	const bad, other = 0xb, 0xd
	tests := []struct {
		name string
		play func(c *Crashes)
		want string
	}{
		{"one crash puts what has not completed on probation", func(c *Crashes) {
			c.Report(seconds(0), "u1", []Trait{1, 2, bad}, nil)
		}, "apart 2; apart b"},
		{"two crashes hold back what they share", func(c *Crashes) {
			c.Report(seconds(0), "u1", []Trait{1, 2, bad}, nil)
			c.Report(seconds(1), "u2", []Trait{1, 3, bad}, []Trait{bad})
		}, "held b"},
		{"new companions each time", func(c *Crashes) {
			for i := range Trait(3) {
				c.Report(seconds(float64(i)), fleet.Incarnation(fmt.Sprint(i)), []Trait{100 + i, bad}, nil)
			}
		}, "held b"},
		{"companions that are always there are held back only together", func(c *Crashes) {
			c.Report(seconds(0), "u1", []Trait{2, bad}, nil)
			c.Report(seconds(1), "u2", []Trait{2, bad}, nil)
		}, "held 2,b; apart 2; apart b"},
		{"a companion that completes is cleared", func(c *Crashes) {
			c.Report(seconds(0), "u1", []Trait{2, bad}, nil)
			c.Report(seconds(1), "u2", []Trait{2, bad}, nil)
			c.Completed(seconds(1.5), "", []Trait{2}, nil)
		}, "held b"},
		{"two bad traits apart", func(c *Crashes) {
			c.Report(seconds(0), "u1", []Trait{1, bad}, nil)
			c.Report(seconds(1), "u2", []Trait{1, other}, nil)
			c.Report(seconds(2), "u3", []Trait{2, bad}, nil)
			c.Report(seconds(3), "u4", []Trait{3, other}, nil)
		}, "held b; held d"},
		{"upstreams that end together", func(c *Crashes) {
			for i := range 20 {
				c.Report(seconds(0.01*float64(i)), fleet.Incarnation(fmt.Sprint(i)), []Trait{1, 2, 3}, nil)
			}
		}, "one at a time 2; one at a time 3"},
		{"what had completed shortly before stays free after one series of crashes", func(c *Crashes) {
			for i := range 20 {
				c.Report(seconds(0.01*float64(i)), fleet.Incarnation(fmt.Sprint(i)), []Trait{1}, nil)
			}
		}, ""},
		{"what had completed before goes bad", func(c *Crashes) {
			for i := range 3 {
				c.Report(seconds(float64(i)), fleet.Incarnation(fmt.Sprint(i)), []Trait{1}, nil)
			}
		}, "held 1"},
		{"what completes between crashes stays free", func(c *Crashes) {
			for i := range 9 {
				c.Report(seconds(float64(i)), fleet.Incarnation(fmt.Sprint(i)), []Trait{2}, nil)
				c.Completed(seconds(float64(i)+0.5), "", []Trait{2}, nil)
			}
		}, ""},
		{"a request apart counts as a crash of its own", func(c *Crashes) {
			c.Report(seconds(0), "u1", []Trait{bad}, nil)
			c.Report(seconds(0.1), "u2", []Trait{bad}, []Trait{bad})
		}, "held b"},
		{"an upstream that only closed a connection", func(c *Crashes) {
			c.Report(seconds(0), "u1", []Trait{bad}, nil)
			c.Answered(seconds(0.1), "u1", seconds(-1))
			c.Answered(seconds(1), "u1", seconds(0.5))
			c.Report(seconds(1), "u2", []Trait{2}, nil)
			c.Answered(seconds(2), "u2", seconds(0.5))
		}, "apart b"},
		{"an upstream that closed connections before it crashes", func(c *Crashes) {
			for i, u := range []fleet.Incarnation{"u1", "u2"} {
				c.Report(seconds(float64(i)), u, []Trait{1}, nil)
				c.Answered(seconds(float64(i)+0.5), u, seconds(-1))
				c.Report(seconds(float64(i)+2), u, []Trait{bad, 2 + Trait(i)}, nil)
			}
		}, "held b"},
		{"a crash that is explained says nothing of other traits", func(c *Crashes) {
			c.Report(seconds(0), "u1", []Trait{bad, 2}, nil)
			c.Report(seconds(1), "u2", []Trait{bad, 3}, nil)
		}, "held b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCrashes(1)
			tt.play(c)
			assert.Equal(t, describe(c, seconds(10), 1, 2, 3, bad, other), tt.want)
		})
	}
}

// Trials come at growing intervals, one process at a time, and end after maxTriedCrashes.
func TestTrials(t *testing.T) {
	c := newCrashes()
	chosen := func(uint64) bool { return true }
	crash := func(at time.Time) {
		c.Report(at, fleet.Incarnation(fmt.Sprint("u", at.UnixNano())), []Trait{7}, []Trait{7})
	}
	crash(seconds(0))
	crash(seconds(1))
	trials := 0
	last := seconds(1)
	var waits []string
	for now := seconds(1); now.Before(seconds(20000)); now = now.Add(100 * time.Millisecond) {
		assert.Assert(t, c.Verdict(now, []Trait{7}, func(uint64) bool { return false }).Refuse, "not this process's turn")
		v := c.Verdict(now, []Trait{7}, chosen)
		if v.Refuse {
			continue
		}
		assert.Assert(t, v.Trial && len(v.Tried) == 1)
		assert.Assert(t, c.Verdict(now, []Trait{7}, chosen).Refuse, "one trial at a time")
		trials++
		waits = append(waits, now.Sub(last).Round(time.Second).String())
		last = now
		crash(now)
	}
	assert.Equal(t, strings.Join(waits, " "), "4s 16s 1m4s 4m16s 10m0s")
	assert.Equal(t, len(c.Held(seconds(20000))[0].Incarnations), maxTriedCrashes)
}

// A trial that completes ends the hold.
func TestCompletedTrialReleasesTrait(t *testing.T) {
	c := newCrashes()
	c.Report(seconds(0), "u1", []Trait{7}, nil)
	c.Report(seconds(1), "u2", []Trait{7}, nil)
	assert.Assert(t, c.Verdict(seconds(2), []Trait{7}, nil).Refuse)
	assert.Assert(t, c.Verdict(seconds(6), []Trait{7}, nil).Trial)
	c.Completed(seconds(6.5), "", []Trait{7}, nil)
	assert.DeepEqual(t, c.Verdict(seconds(7), []Trait{7}, nil), Verdict{})
}

// A hold lasts for as long as requests with the trait come, also at peers that get none,
// and ends when they have stopped for the time of the quarantine.
func TestHoldLastsWhileRequestsCome(t *testing.T) {
	a, b := &Core{}, &Core{}
	for i := range maxTriedCrashes {
		a.Handle(seconds(float64(i)), Died{Incarnation: fleet.Incarnation(fmt.Sprint("u", i)), Traits: []Trait{7}})
	}
	exchange := func(now time.Time) {
		for _, p := range [][2]*Core{{a, b}, {b, a}} {
			from, to := p[0], p[1]
			to.Handle(now, Received{from.BatchFor(now, Peer{Digest: to.Digest(), DigestKnown: true}).Suspicions})
			from.Handle(now, Ticked{})
		}
	}
	now := seconds(10)
	end := now.Add(3 * DefaultQuarantine)
	for ; now.Before(end); now = now.Add(time.Second) {
		exchange(now)
		assert.Assert(t, a.Crashes.Verdict(now, []Trait{7}, nil).Refuse)
		if now.Sub(seconds(10)) > time.Second {
			assert.Assert(t, !b.Crashes.MayRun(now, []Trait{7}, nil), "after %s", now.Sub(start))
		}
	}
	quiet := now
	for ; now.Sub(quiet) < DefaultQuarantine+renewInterval+time.Second; now = now.Add(time.Second) {
		exchange(now)
	}
	assert.Assert(t, a.Crashes.MayRun(now, []Trait{7}, nil) && b.Crashes.MayRun(now, []Trait{7}, nil))
}

// Peers that have received the same reports agree, in whatever order these arrive and
// however often.
func TestCrashesMergeInAnyOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	now := seconds(2)
	for range 200 {
		var reports []Received
		for range 5 {
			c := &Core{}
			for range 6 {
				at := seconds(r.Float64())
				i := fleet.Incarnation(fmt.Sprint("u", r.IntN(3)))
				t := []Trait{Trait(r.IntN(4)), Trait(4 + r.IntN(4))}
				switch r.IntN(4) {
				case 0:
					c.Handle(at, Completed{Traits: t[:1]})
				case 1:
					c.Handle(at, Answered{i, seconds(-1)})
				default:
					c.Handle(at, Died{Incarnation: i, Traits: t, Tried: t[:r.IntN(2)]})
				}
			}
			reports = append(reports, Received{c.Snapshot(now)})
		}
		want, got := &Core{}, &Core{}
		for _, m := range reports {
			want.Handle(now, m)
		}
		for _, i := range append(r.Perm(len(reports)), r.Perm(len(reports))...) {
			got.Handle(now, reports[i])
		}
		assert.DeepEqual(t, got.Crashes.Held(now), want.Crashes.Held(now))
		g, w := got.Snapshot(now), want.Snapshot(now)
		assert.Equal(t, len(g), len(w))
		for i := range g {
			assert.Assert(t, proto.Equal(g[i], w[i]), "%v, %v", g[i], w[i])
		}
	}
}

// A gateway that starts learns from one exchange what is held back.
func TestStartedProcessLearnsFindings(t *testing.T) {
	a, b := &Core{}, &Core{}
	a.Handle(seconds(0), Died{Incarnation: "u1", Traits: []Trait{1, 7}})
	a.Handle(seconds(1), Died{Incarnation: "u2", Traits: []Trait{2, 7}})
	b.Handle(seconds(2), Received{a.ChangesSince(seconds(2), 0)})
	assert.Assert(t, !b.Crashes.MayRun(seconds(2), []Trait{3, 7}, nil))
	assert.Assert(t, b.Crashes.MayRun(seconds(2), []Trait{1, 2}, nil))
}

// What a process remembers is bounded, and what was evicted does not come back.
func TestCrashesAreBounded(t *testing.T) {
	c := &Crashes{MaxCrashes: 10}
	for i := range 100 {
		c.Report(seconds(1+float64(i)), fleet.Incarnation(fmt.Sprint("u", i)), []Trait{1}, nil)
	}
	assert.Equal(t, len(c.crashes), 10)
	peer := &Crashes{}
	peer.Report(seconds(90), "u89", []Trait{1}, nil)
	assert.Assert(t, !c.Received(seconds(101), peer.ChangesSince(seconds(101), 0)[0].Crash))
	assert.Equal(t, len(c.crashes), 10)
	var many []Trait
	for i := range Trait(5 * maxCrashTraits) {
		many = append(many, i)
	}
	c.Report(seconds(200), "large", many, nil)
	assert.Equal(t, len(c.crashes["large"].traits), maxCrashTraits)
	for i := range Trait(10 * maxRecentTraits) {
		c.Completed(seconds(201), "", []Trait{i}, nil)
	}
	assert.Assert(t, len(c.completed.newer)+len(c.completed.older) <= 2*maxRecentTraits)
	c.Expire(seconds(201).Add(DefaultQuarantine + expiredRetention))
	assert.Equal(t, len(c.crashes)+len(c.suspected), 0)
}
