package direct

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/availability"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/upstream"
)

// While the gateway connects to an upstream, the upstream says that it leaves or wants a
// pause, its entry says so, or it is gone. Nothing is sent to it, and the request, which may
// run once, goes to another upstream.
func TestGrantIsTakenBack(t *testing.T) {
	changeView := func(f *fixture, change func(*route.View)) {
		v := *f.view
		v.Upstreams = append([]route.Upstream(nil), f.view.Upstreams...)
		change(&v)
		f.gateway.ApplyView(&v)
	}
	state := func(f *fixture, s availability.Statement) {
		f.gateway.Scheduler.Tell(placement.Stated{Incarnation: f.view.Upstreams[0].Incarnation(), Statement: s})
	}
	tests := []struct {
		name   string
		change func(f *fixture)
	}{
		{"it says that it leaves", func(f *fixture) { state(f, availability.Statement{Leaving: true}) }},
		{"it asks for a pause", func(f *fixture) { state(f, availability.Statement{Pause: 10 * time.Second}) }},
		{"its entry says that it leaves", func(f *fixture) {
			changeView(f, func(v *route.View) { v.Upstreams[0].Leaving = true })
		}},
		{"its data centre is taken out", func(f *fixture) {
			changeView(f, func(v *route.View) { v.DataCentresOut = map[route.DataCentre]bool{"out": true} })
		}},
		{"it is gone", func(f *fixture) {
			changeView(f, func(v *route.View) { v.Upstreams = v.Upstreams[1:] })
		}},
		{"it started again", func(f *fixture) {
			changeView(f, func(v *route.View) { v.Upstreams[0].StartedAtMillis = 9 })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 2, responseText(200, "Signed: 1\r\n", "ok"))
			f.view.Upstreams[0].DataCentre, f.view.Upstreams[1].DataCentre = "out", "in"
			f.gateway.ApplyView(f.view)
			first := f.view.Upstreams[0]
			dialed := 0
			f.gateway.pools[first.Incarnation()] = &upstream.Pool{Address: first.Address, Dial: func(context.Context, string) (net.Conn, error) {
				dialed++
				tt.change(f)
				near, far := net.Pipe()
				go func() {
					if n, _ := far.Read(make([]byte, 1)); n > 0 {
						t.Error("a request was sent")
					}
				}()
				return near, nil
			}}
			assert.Equal(t, f.call(t, http.MethodPost, "/book/1", "x"), "200 ok")
			assert.Equal(t, dialed, 1)
			assert.Equal(t, f.attempts(), 1)
		})
	}
}

// If each upstream has asked for a pause, a caller that can't wait for its end is refused
// without an attempt.
func TestRefusedWhileAllUpstreamsArePaused(t *testing.T) {
	f := newFixture(t, 2, responseText(200, "Signed: 1\r\n", "ok"))
	for _, u := range f.view.Upstreams {
		f.gateway.Scheduler.Tell(placement.Stated{Incarnation: u.Incarnation(), Statement: availability.Statement{Pause: time.Second}})
	}
	begin := time.Now()
	assert.Equal(t, f.call(t, http.MethodPost, "/book/1", "x"), "503 code 3012")
	assert.Assert(t, time.Since(begin) < 500*time.Millisecond)
	assert.Equal(t, f.attempts(), 0)
	var metrics bytes.Buffer
	f.gateway.WriteMetrics(&metrics)
	assert.Assert(t, strings.Contains(metrics.String(), `jasminewing_direct_refusals_total{code="3012",name="upstreams_paused"} 1`))
}
