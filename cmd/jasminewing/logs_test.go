package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/demo"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/standin"
)

// A session with failures of every kind logs no request body, answer, key or
// secret. Each log line is the JSON form of a numbered event.
func TestLogsContainNoSecrets(t *testing.T) {
	t.Parallel()
	const (
		bodyText   = "vendor-words-7731"
		answerText = "answer-words-7732"
		wrongKey   = "wrong-bearer-7733"
		idemKey    = "idempotency-7734"
		adminToken = "admin-token-7735-x"
		rawKey     = "raw-key-in-a-cell-7736"
	)
	c := newCluster(t)
	engine := &standin.Engine{Name: "draft_1", Slots: 4, RestartAfter: 2 * time.Second}
	booking := &standin.Booking{}
	sidecars := []*proc{
		c.sidecar("draft_1", "north", c.serve(engine), "--admin-token", adminToken),
		c.sidecar("booking_1", "north", c.serve(booking)),
		c.sidecar("booking_2", "south", c.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, answerText, http.StatusInternalServerError)
		}))),
	}
	g := c.gateway("gw_1", "north")
	c.awaitReady(g, sidecars[1])

	const path, chat = "/services/pitch_booking/bookings?note=" + bodyText, "/v1/chat/completions"
	body := `{"booking":"` + bodyText + `"}`
	for n := range 8 {
		c.sendLogged(g, request{path: path, body: body, key: fmt.Sprint(idemKey, "x", n)})
	}
	assert.NilError(t, booking.Control(standin.CutAfterRun, 0))
	for n := range 8 {
		c.sendLogged(g, request{path: path, body: body, key: fmt.Sprint(idemKey, "y", n)})
	}
	c.sendLogged(g, request{path: path, body: body, key: strings.Repeat(idemKey, 30)})
	for _, r := range []request{
		{path: chat, body: `{"model":"draft","max_tokens":3,"prompt":"` + bodyText + `"}`},
		{path: chat, body: `{"model":"draft","max_tokens":3,"prompt":"` + standin.CrashText + bodyText + `"}`},
		{path: chat, body: `{"model":"draft","prompt":` + bodyText},
		{path: chat, body: `{"model":"draft"}`, bearer: wrongKey},
		{path: "/v1/" + bodyText, body: body},
	} {
		c.sendLogged(g, r)
	}
	c.await("the event upstream_down", func() bool { return sidecars[0].firstEvent("upstream_down") != nil })
	c.edit("accounts", "39cb60d95d4a938f06c6643886a58aec2e488ac1cd002c047219719e6d22b21c", rawKey)
	c.await("the event table_refused", func() bool { return g.firstEvent("table_refused") != nil })
	all := append([]*proc{g}, sidecars...)
	for _, p := range all {
		p.stop()
	}

	var text strings.Builder
	for _, p := range all {
		for _, l := range p.output() {
			text.WriteString(l + "\n")
			assertEventLine(t, l)
		}
	}
	for _, secret := range []string{bodyText, answerText, wrongKey, idemKey, adminToken, rawKey, testSecret, demo.MarketKey} {
		assert.Assert(t, !strings.Contains(text.String(), secret), "the log contains %s:\n%s", secret, text.String())
	}
	for _, name := range []string{"started", "request_failed", "key_unknown", "table_refused", "upstream_down", "upstream_cold", "stopped"} {
		assert.Assert(t, strings.Contains(text.String(), `"name":"`+name+`"`), "the log has no event %s:\n%s", name, text.String())
	}
}

// sendLogged sends a request whose reply does not matter, and logs the reply to the
// test's output.
func (c *cluster) sendLogged(g *proc, r request) {
	got := g.send(r)
	c.t.Logf("%s: %d %d %v", r.path, got.status, got.code(), got.err)
}

// assertEventLine checks that a log line is the JSON form of a numbered event.
func assertEventLine(t *testing.T, line string) {
	t.Helper()
	var l struct {
		Time  time.Time    `json:"time"`
		Level string       `json:"level"`
		Text  string       `json:"msg"`
		Event event.Number `json:"event"`
		Name  string       `json:"name"`
	}
	assert.NilError(t, json.Unmarshal([]byte(line), &l), line)
	e := l.Event.Entry()
	assert.Equal(t, l.Name, e.Name, line)
	assert.Equal(t, l.Text, e.Text, line)
	assert.Equal(t, l.Level, [...]string{"info", "warn", "error"}[e.Level], line)
	assert.Equal(t, l.Time.Location(), time.UTC, line)
}
