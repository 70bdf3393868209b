package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

var (
	durationPattern = regexp.MustCompile(`\b[0-9.]+(ms|m?s)\b`)
	addressPattern  = regexp.MustCompile(`127\.0\.0\.1:[0-9]+`)
	spacesPattern   = regexp.MustCompile(` {2,}`)
	revisionPattern = regexp.MustCompile(`(revision|version) [0-9]+`)
)

// runStatus runs the status command and replaces the parts of its output that
// differ between runs.
func runStatus(p *proc) (string, int) {
	var stdout, stderr bytes.Buffer
	status := run([]string{"status", "--admin", p.adminAddr}, &stdout, &stderr)
	text := stdout.String() + stderr.String()
	for _, x := range []struct {
		pattern     *regexp.Regexp
		replacement string
	}{{durationPattern, "TIME"}, {addressPattern, "ADDRESS"}, {revisionPattern, "$1 N"}, {spacesPattern, "  "}} {
		text = x.pattern.ReplaceAllString(text, x.replacement)
	}
	return text, status
}

// The command status reports the reason for each condition in turn: an invalid row
// and its fix, a data centre taken out and put back, a killed engine and a killed
// sidecar.
func TestStatusNamesReasons(t *testing.T) {
	t.Parallel()
	program := buildStandin(t)
	c := newCluster(t)
	c.edit("upstreams", "draft_2,north,engine,draft,1,8,1,in,\n", "")
	c.edit("upstreams", "booking_2,south,plain,booking,1,16,4,in,\nbooking_3,south,plain,booking,1,16,4,in,\n", "")
	engine1, engine1At := startStandin(t, program, 1, "engine")
	_, engine2At := startStandin(t, program, 1, "engine")
	_, bookingAt := startStandin(t, program, 1, "booking")
	s1 := c.sidecar("draft_1", "north", engine1At["listening"])
	s3 := c.sidecar("draft_3", "south", engine2At["listening"])
	b1 := c.sidecar("booking_1", "north", bookingAt["listening"])
	g := c.gateway("gw_1", "north")
	c.awaitReady(s1, s3, b1, g)

	var log strings.Builder
	step := func(what string, want int, substring string) {
		t.Helper()
		var text string
		c.await(what, func() bool {
			var status int
			text, status = runStatus(g)
			return status == want && strings.Contains(text, substring)
		})
		log.WriteString("# " + what + "\n" + text)
	}
	step("a healthy fleet", exitOK, "booking_1  north  yes")
	c.edit("classes", "booth_question,1", "booth_question,first")
	step("an invalid row", exitFailed, "classes:2:tier")
	c.edit("classes", "booth_question,first", "booth_question,1")
	step("the row fixed", exitOK, "ready")
	c.edit("data_centres", "south,demo,in", "south,demo,out")
	step("a data centre taken out", exitFailed, "draft_3  south  no: 4003")
	c.edit("data_centres", "south,demo,out", "south,demo,in")
	step("the data centre put back", exitOK, "draft_3  south  yes")
	engine1.kill()
	step("an engine killed", exitFailed, "draft_1  north  no: 4005")
	s3.kill()
	step("a sidecar killed", exitFailed, "draft_3  south  no: 4011")
	golden.Assert(t, log.String(), "status.golden")

	text, status := runStatus(s1)
	assert.Equal(t, status, exitFailed)
	assert.Assert(t, strings.Contains(text, "not ready: 4005 upstream_unhealthy"), text)
	g.kill()
	text, status = runStatus(g)
	assert.Equal(t, status, exitUsage)
	assert.Assert(t, strings.HasPrefix(text, "jasminewing: query ADDRESS: "), text)
}

func TestStatusWrongToken(t *testing.T) {
	c := newCluster(t)
	g := c.gateway("gw_1", "north", "--admin-token", "a-token-for-this-test")
	text, status := runStatus(g)
	assert.Equal(t, status, exitUsage)
	assert.Assert(t, strings.Contains(text, "2013 bad_admin_token"), text)

	var stdout, stderr bytes.Buffer
	run([]string{"status", "--json", "--admin", g.adminAddr, "--token", "a-token-for-this-test"}, &stdout, &stderr)
	var r statusReport
	assert.NilError(t, json.Unmarshal(stdout.Bytes(), &r), stderr.String())
	assert.Equal(t, string(r.Status.VM), "gw_1")
}

func TestStatusNoAdminListener(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	defer s.Close()
	text, status := runStatus(&proc{adminAddr: s.Listener.Addr().String()})
	assert.Equal(t, status, exitUsage)
	assert.Assert(t, strings.Contains(text, "is this an admin listener?"), text)
}
