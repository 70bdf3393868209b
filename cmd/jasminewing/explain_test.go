package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// The command prints the answer of the gateway, and its exit status says whether the request
// would be sent, would wait or would be refused.
func TestExplainCommand(t *testing.T) {
	const request = "POST /look/1 HTTP/1.1\r\nHost: desk.example\r\n\r\n"
	answers := []struct {
		status int
		body   string
	}{
		{200, `{"service":"desk","route":"look","rank":1,"upstream":"u2","leaves_for":"no_room","ahead":0,"crossing_share":0.2,"candidates":[
			{"upstream":"u2","data_centre":"b","in_flight":1,"cost_ms":83,"wait_ms":30,"crossing_ms":50,"other_ms":3},
			{"upstream":"u1","data_centre":"a","in_flight":8,"cost_ms":68,"wait_ms":60,"other_ms":8,"left_out":"full"}]}`},
		{200, `{"service":"desk","route":"look","rank":1,"upstream":"","ahead":3,"crossing_share":0,"candidates":[]}`},
		{422, `{"error":{"code":4004,"type":"not_found","message":"no route"}}`},
		{200, `metrics of another program`},
	}
	n := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.URL.Path != "/explain" || string(body) != request {
			t.Errorf("%s %q", r.URL.Path, body)
		}
		w.WriteHeader(answers[n].status)
		_, _ = io.WriteString(w, answers[n].body)
	}))
	defer s.Close()
	file := filepath.Join(t.TempDir(), "request.http")
	assert.NilError(t, os.WriteFile(file, []byte(request), 0o600))
	address := strings.TrimPrefix(s.URL, "http://")
	var b strings.Builder
	for n = range answers {
		text := runTranscript("explain", "--metrics", address, file)
		b.WriteString(strings.NewReplacer(address, "IP:PORT", file, "request.http").Replace(text))
	}
	golden.Assert(t, b.String(), "explain.golden")
}
