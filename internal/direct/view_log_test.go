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

// Each change of an upstream or data centre is logged once, and what does not
// change is not logged.
func TestLogViewChanges(t *testing.T) {
	one := route.Upstream{ID: "u1", Service: "desk", Address: "10.0.0.1:80", StartedAtMillis: 5}
	with := func(change func(*route.Upstream)) route.Upstream {
		u := one
		change(&u)
		return u
	}
	view := func(out route.DataCentre, all ...route.Upstream) *route.View {
		v := &route.View{Revision: 9, Upstreams: all, DataCentresOut: map[route.DataCentre]bool{}}
		if out != "" {
			v.DataCentresOut[out] = true
		}
		return v
	}
	tests := []struct {
		name          string
		before, after *route.View
		want          string
	}{
		{"the first view", &route.View{}, view("", one), "upstream_listed u1"},
		{"no change", view("a", one), view("a", one), ""},
		{"upstream is leaving", view("", one), view("", with(func(u *route.Upstream) { u.Leaving = true })), "upstream_leaves u1"},
		{"upstream turns cold", view("", one), view("", with(func(u *route.Upstream) { u.ColdFor = time.Second })), "upstream_cold u1"},
		{"upstream restarted", view("", one), view("", with(func(u *route.Upstream) { u.StartedAtMillis = 6 })), "upstream_listed u1"},
		{"upstream removed", view("", one), view(""), "upstream_removed u1"},
		{"data centre out", view("", one), view("a", one), "data_centre_out a"},
		{"data centre in", view("a", one), view("", one), "data_centre_in a"},
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
