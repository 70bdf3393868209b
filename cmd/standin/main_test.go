package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"jasminewing.dev/jasminewing/internal/standin"
)

// startServer runs the command line of a server until the test ends. It returns the
// addresses from the given number of lines that the server prints.
func startServer(t *testing.T, lines int, args ...string) []string {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	r, w := io.Pipe()
	var g sync.WaitGroup
	g.Go(func() {
		var errors bytes.Buffer
		status := run(ctx, args, w, &errors)
		w.CloseWithError(io.EOF)
		if status != 0 {
			t.Errorf("%v: exit status %d: %s", args, status, errors.String())
		}
	})
	t.Cleanup(func() {
		cancel()
		g.Wait()
	})
	var addresses []string
	s := bufio.NewScanner(r)
	for range lines {
		assert.Assert(t, s.Scan())
		_, address, _ := strings.Cut(s.Text(), " ")
		addresses = append(addresses, address)
	}
	return addresses
}

func sendRequest(t *testing.T, method, url, body string) string {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(q)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return strings.TrimSpace(string(data))
}

func TestLoadOnEngine(t *testing.T) {
	address := startServer(t, 1, "engine", "--first-token", "1ms", "--token-gap", "1ms")[0]
	var out, errors bytes.Buffer
	status := run(t.Context(), []string{
		"load", "--gateway", address, "--rate", "100", "--duration", "200ms",
		"--mix", "class=chat,key=k,model=m,max_tokens=5", "--mix", "class=draft,key=k,model=m,share=2",
	}, &out, &errors)
	assert.Equal(t, status, 0, errors.String())
	var report standin.LoadReport
	assert.NilError(t, json.Unmarshal(out.Bytes(), &report))
	for _, c := range report.Classes {
		assert.Assert(t, c.Due > 0 && c.Met == c.Due, out.String())
	}
}

func TestBookingAndPlatform(t *testing.T) {
	booking := startServer(t, 1, "booking", "--delay", "0s")[0]
	assert.Equal(t, sendRequest(t, "POST", "http://"+booking+"/x", `{"booking":"b"}`), `{"booking":"b","run":1,"request_id":""}`)

	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "classes.csv"), []byte("name\n"), 0o600))
	list := filepath.Join(dir, "vms.json")
	assert.NilError(t, os.WriteFile(list, []byte(`{"vms":[{"vm":"a","role":"gateway","address":"127.0.0.1:1","state":"live"}]}`), 0o600))
	a := startServer(t, 3, "platform", "--directory", dir, "--vms", list, "--vm-lag", "0s")
	assert.Equal(t, sendRequest(t, "GET", "http://"+a[0]+"/v1/values/classes", ""), "name")
	assert.Equal(t, sendRequest(t, "PUT", "http://"+a[2]+"/config/v1/values/upstreams", "x"), `{"name":"upstreams","revision":2}`)
	assert.Equal(t, sendRequest(t, "DELETE", "http://"+a[2]+"/vms/v1/vms/a", ""), "")
	assert.Equal(t, sendRequest(t, "GET", "http://"+a[1]+"/v1/vms?after=1", ""), `{"version":2,"vms":[]}`)
}

func TestBadFlags(t *testing.T) {
	tests := [][]string{
		{"engine", "--slots", "many"},
		{"load", "--gateway", "127.0.0.1:1", "--mix", "class"},
		{"dance"},
	}
	for _, args := range tests {
		assert.Equal(t, run(t.Context(), args, io.Discard, io.Discard), exitBadFlag, strings.Join(args, " "))
	}
	assert.Equal(t, run(t.Context(), []string{"engine", "--listen", "localhost:0"}, io.Discard, io.Discard), exitFailed)
}
