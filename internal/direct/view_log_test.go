package direct

import (
	"bytes"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/route"
)

// Each change of what is believed of upstreams and data centres has its line,
// and what stays as it was has none.
func TestLogViewChanges(t *testing.T) {
	one := route.Upstream{ID: "u1", Service: "desk", Address: "10.0.0.1:80", Born: 5}
	with := func(change func(*route.Upstream)) route.Upstream {
		u := one
		change(&u)
		return u
	}
	view := func(out route.DataCentre, all ...route.Upstream) *route.View {
		v := &route.View{Revision: 9, Upstreams: all, Out: map[route.DataCentre]bool{}}
		if out != "" {
			v.Out[out] = true
		}
		return v
	}
	tests := []struct {
		name          string
		before, after *route.View
		want          string
	}{
		{"the first view", &route.View{}, view("", one), "upstream_listed u1"},
		{"nothing new", view("a", one), view("a", one), ""},
		{"it leaves", view("", one), view("", with(func(u *route.Upstream) { u.Leaving = true })), "upstream_leaves u1"},
		{"it turns cold", view("", one), view("", with(func(u *route.Upstream) { u.ColdFor = time.Second })), "upstream_cold u1"},
		{"it started again", view("", one), view("", with(func(u *route.Upstream) { u.Born = 6 })), "upstream_listed u1"},
		{"it is gone", view("", one), view(""), "upstream_removed u1"},
		{"out", view("", one), view("a", one), "data_centre_out a"},
		{"in", view("a", one), view("", one), "data_centre_in a"},
	}
	named := regexp.MustCompile(`name=(\S+) (?:upstream|data_centre)=(\S+)`)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			g := &Gateway{Log: &event.Log{Logger: log.New(&out)}}
			g.logViewChanges(tt.before, tt.after)
			var got []string
			for _, m := range named.FindAllStringSubmatch(out.String(), -1) {
				got = append(got, m[1]+" "+m[2])
			}
			assert.Equal(t, strings.Join(got, ", "), tt.want, out.String())
		})
	}
}
