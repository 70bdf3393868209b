package memory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const kb = 1 << 10

// table is a core with named accounts, whose time the test sets.
type table struct {
	core
	now      time.Time
	accounts map[string]*Account
}

func newTable(limit int64) *table {
	return &table{core: core{limit: limit, accounts: map[*Account]struct{}{}}, now: time.Unix(0, 0), accounts: map[string]*Account{}}
}

// open adds a holder that holds n bytes. All that it holds has just arrived.
func (t *table) open(name, client string, activity Activity, n int64) {
	a := &Account{holder: Holder{Request: name, Client: client, Activity: activity}, lastProgress: t.now, windowStart: t.now, windowBytes: n}
	t.accounts[name] = a
	t.core.accounts[a] = struct{}{}
	t.core.add(a, n)
}

// grow asks for memory and returns the verdict and the names of the evicted holders.
func (t *table) grow(name string, n int64) string {
	v, victims := t.core.grow(t.now, t.accounts[name], n)
	text := [...]string{"granted", "pending", "refused"}[v]
	for _, o := range victims {
		text += " " + o.holder.Request
	}
	return text
}

// Who is evicted when there is no room, and who is refused. It guards against evictions that
// free too little, that hit requests which have been passed on, or that put a large request
// before smaller ones.
func TestWhoGetsMemory(t *testing.T) {
	tests := []struct {
		name  string
		setUp func(*table)
		ask   int64
		want  string
	}{
		{"enough", func(c *table) { c.open("other", "x", Reading, 200*kb) }, 100 * kb, "granted"},
		{"large body over its share", func(c *table) { c.open("other", "x", Sent, 400*kb) }, 300 * kb, "refused"},
		{"ordinary request beside large ones", func(c *table) { c.open("other", "x", Sent, 625*kb) }, 100 * kb, "granted"},
		{"stalled before larger", func(c *table) {
			c.open("stalled", "x", Reading, 300*kb)
			c.now = c.now.Add(2 * time.Second)
			c.open("large", "x", Reading, 650*kb)
		}, 100 * kb, "pending stalled"},
		{"largest of the heaviest client", func(c *table) {
			c.open("alone", "y", Reading, 400*kb)
			c.open("small", "x", Reading, 250*kb)
			c.open("large", "x", Reading, 300*kb)
		}, 100 * kb, "pending large"},
		{"waiting may be evicted", func(c *table) { c.open("waits", "x", Waiting, 1000*kb) }, 100 * kb, "pending waits"},
		{"sent may not", func(c *table) { c.open("sent", "x", Sent, 1000*kb) }, 100 * kb, "refused"},
		{"being read by its caller may not", func(c *table) { c.open("read", "x", Writing, 1000*kb) }, 100 * kb, "refused"},
		{"not read by its caller may", func(c *table) {
			c.open("unread", "x", Writing, 1000*kb)
			c.now = c.now.Add(2 * time.Second)
		}, 100 * kb, "pending unread"},
		{"a large one does not evict a smaller one of its client", func(c *table) { c.open("small", "a", Reading, 500*kb) }, 550 * kb, "refused"},
		{"too little to evict", func(c *table) {
			c.open("sent", "x", Sent, 950*kb)
			c.open("small", "x", Reading, 40*kb)
		}, 100 * kb, "refused"},
		{"several", func(c *table) {
			for n := range 20 {
				c.open(fmt.Sprint(n), "x", Reading, 50*kb)
			}
			c.now = c.now.Add(2 * time.Second)
		}, 40 * kb, "pending"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newTable(1000 * kb)
			tt.setUp(c)
			c.open("new", "a", Reading, 0)
			got := c.grow("new", tt.ask)
			if tt.name == "several" {
				got = got[:len("pending")]
			}
			assert.Equal(t, got, tt.want)
		})
	}
}

// A sender that sent much at first and trickles now must count as slow, and one that keeps
// sending must not.
func TestTrickle(t *testing.T) {
	now := time.Unix(0, 0)
	a := &Account{held: 1, lastProgress: now, windowStart: now}
	a.progress(now, 1<<20)
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		a.progress(now, 1)
	}
	assert.Assert(t, a.slow(now), "1 byte in 100 ms")
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		a.progress(now, minProgress)
	}
	assert.Assert(t, !a.slow(now), "4 KB in 100 ms")
	a.awaitsMemory = true
	assert.Assert(t, !a.slow(now.Add(time.Hour)), "waits for memory")
}

// Memory is short after a refusal until half of it is free, so that the log does not report
// every request.
func TestShort(t *testing.T) {
	c := newTable(1000 * kb)
	c.open("sent", "x", Sent, 900*kb)
	c.open("new", "x", Reading, 0)
	assert.Equal(t, c.grow("new", 300*kb), "refused")
	assert.Assert(t, c.short)
	c.shrink(c.accounts["sent"], 300*kb)
	assert.Assert(t, c.short)
	c.shrink(c.accounts["sent"], 200*kb)
	assert.Assert(t, !c.short)
}

// Whatever holders do, no more than the limit is granted, requests that were passed on keep
// their memory, the sums agree, and all memory comes back in the end.
func TestRandomHolders(t *testing.T) {
	random := rand.New(rand.NewPCG(31, 7))
	c := newTable(8 << 20)
	for n := range 20000 {
		c.now = c.now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
		name := fmt.Sprint(random.IntN(60))
		a, ok := c.accounts[name]
		switch {
		case !ok:
			c.open(name, fmt.Sprint(random.IntN(4)), Reading, 0)
		case a.evicted || random.IntN(20) == 0:
			c.shrink(a, a.held)
			delete(c.core.accounts, a)
			delete(c.accounts, name)
		case random.IntN(10) == 0:
			c.begin(a, min(a.holder.Activity+1, Sent))
		default:
			_, victims := c.core.grow(c.now, a, int64(random.IntN(128*kb)))
			for _, v := range victims {
				assert.Assert(t, v != a && v.holder.Activity < Sent, "step %d", n)
			}
		}
		held, leaving, byActivity := int64(0), int64(0), [activities]int64{}
		for _, a := range c.accounts {
			held += a.held
			byActivity[a.holder.Activity] += a.held
			if a.evicted {
				leaving += a.held
			}
		}
		assert.Equal(t, byActivity, c.byActivity)
		assert.Assert(t, held == c.held && leaving == c.leaving && held <= c.limit, "step %d: %d %d of %d", n, held, c.held, c.limit)
	}
	assert.Assert(t, c.stats.Evicted > 100 && c.stats.Refused > 100, "%+v", c.stats)
	for _, a := range c.accounts {
		c.shrink(a, a.held)
	}
	assert.Equal(t, c.held, int64(0))
	assert.Equal(t, c.leaving, int64(0))
}
