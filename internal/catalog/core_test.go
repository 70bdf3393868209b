package catalog

import (
	"errors"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/route"
)

var start = time.Unix(1_800_000_000, 0)

// decode reads "up/ID" as an upstream, "out/NAME" as a mark, "table" as a
// version number.
func decode(key string, value []byte) (any, error) {
	kind, name, _ := strings.Cut(key, "/")
	switch {
	case string(value) == "bad":
		return nil, errors.New("cannot be read")
	case kind == "up":
		return route.Upstream{ID: route.UpstreamID(name), Leaving: string(value) == "leaving"}, nil
	case kind == "out":
		return OutMark{route.DataCentre(name)}, nil
	case kind == "table":
		n, err := strconv.Atoi(string(value))
		return &route.Table{Version: route.Version(n)}, err
	}
	return nil, nil
}

func entry(key, value string, r Revision) Entry {
	return Entry{Key: key, Value: []byte(value), Revision: r}
}

func gone(key string, r Revision) Entry { return Entry{Key: key, Revision: r, Deleted: true} }

// text gives a view as upstreams, marks and version.
func text(v *route.View) string {
	var b strings.Builder
	for _, u := range v.Upstreams {
		b.WriteString(string(u.ID))
		if u.Leaving {
			b.WriteString("-")
		}
	}
	for dc := range v.DataCentresOut {
		b.WriteString(" out:" + string(dc))
	}
	if v.Table != nil {
		b.WriteString(" v" + strconv.Itoa(int(v.Table.Version)))
	}
	return b.String()
}

// settled gives a core that has long been in contact.
func settled(entries ...Entry) *Core {
	c := &Core{Decode: decode}
	c.Load(start, entries, 10, true)
	return c
}

func TestCore(t *testing.T) {
	base := []Entry{entry("table", "3", 2), entry("up/a", "", 3), entry("up/b", "", 4)}
	tests := []struct {
		name   string
		change func(c *Core) []Fault
		want   string
		faults int
	}{
		{"leaving", func(c *Core) []Fault { return c.Change(start, []Entry{entry("up/a", "leaving", 11)}, 11) }, "a-b v3", 0},
		{"gone", func(c *Core) []Fault { return c.Change(start, []Entry{gone("up/a", 11)}, 11) }, "b v3", 0},
		{"gone, older than what stands", func(c *Core) []Fault { return c.Change(start, []Entry{gone("up/a", 2)}, 11) }, "ab v3", 0},
		{"out and in", func(c *Core) []Fault {
			c.Change(start, []Entry{entry("out/x", "", 11)}, 11)
			return c.Change(start, []Entry{gone("out/x", 12)}, 12)
		}, "ab v3", 0},
		{"out", func(c *Core) []Fault { return c.Change(start, []Entry{entry("out/x", "", 11)}, 11) }, "ab out:x v3", 0},
		{"unreadable upstream", func(c *Core) []Fault { return c.Change(start, []Entry{entry("up/a", "bad", 11)}, 11) }, "b v3", 1},
		{"unreadable table", func(c *Core) []Fault { return c.Change(start, []Entry{entry("table", "bad", 11)}, 11) }, "ab v3", 1},
		{"older version in a newer entry", func(c *Core) []Fault { return c.Change(start, []Entry{entry("table", "2", 11)}, 11) }, "ab v3", 1},
		{"older entry of another gateway", func(c *Core) []Fault { return c.Change(start, []Entry{entry("table", "4", 1)}, 10) }, "ab v3", 0},
		{"older state of another gateway", func(c *Core) []Fault { return c.Load(start, []Entry{entry("table", "9", 9)}, 9, true) }, "ab v3", 0},
		{"newer state of another gateway", func(c *Core) []Fault {
			return c.Load(start, []Entry{entry("table", "4", 12), entry("up/b", "", 4), entry("up/c", "", 12)}, 12, true)
		}, "bc v4", 0},
		{"written while a state was read", func(c *Core) []Fault {
			c.Change(start, []Entry{entry("up/c", "", 14)}, 14)
			return c.Load(start, []Entry{entry("table", "3", 2)}, 14, true)
		}, " v3", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := settled(base...)
			faults := tt.change(c)
			assert.Equal(t, text(c.View(start)), tt.want)
			assert.Equal(t, len(faults), tt.faults)
		})
	}
}

// Entries lapse while the store is away. One that comes back within the grace
// was never missing, one that does not is gone after it.
func TestLapse(t *testing.T) {
	c := settled(entry("up/a", "", 3), entry("up/b", "", 4))
	assert.Assert(t, c.Contact(start, false))
	back := start.Add(5 * time.Second)
	assert.Assert(t, c.Contact(back, true))
	c.Change(back, []Entry{gone("up/a", 11), gone("up/b", 12)}, 12)
	assert.Equal(t, text(c.View(back)), "ab")
	soon := back.Add(time.Second)
	c.Change(soon, []Entry{entry("up/a", "", 13)}, 13)
	assert.Equal(t, c.Next(), back.Add(LapseGrace))
	assert.Equal(t, text(c.View(back.Add(LapseGrace))), "a")
	assert.Assert(t, c.Next().IsZero())
}

// An upstream that another gateway saw leave, in steady contact with the store,
// is gone at once.
func TestSettledGatewayIsBelieved(t *testing.T) {
	for _, tt := range []struct {
		settled bool
		want    string
	}{{true, "b"}, {false, "ab"}} {
		c := settled(entry("up/a", "", 3), entry("up/b", "", 4))
		c.Contact(start, false)
		c.Load(start, []Entry{entry("up/b", "", 4)}, 12, tt.settled)
		assert.Equal(t, text(c.View(start)), tt.want)
	}
}
