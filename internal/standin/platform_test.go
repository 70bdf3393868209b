package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"jasminewing.dev/jasminewing/internal/fleet"
)

// transcript records calls to a handler and their responses, with the elapsed
// fake time.
type transcript struct {
	strings.Builder
	start time.Time
}

func (s *transcript) call(h http.Handler, method, target, body string) {
	w := httptest.NewRecorder()
	aborted := false
	func() {
		defer func() { aborted = recover() != nil }()
		h.ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	}()
	fmt.Fprintf(s, "%s %s\n", method, target)
	if aborted {
		fmt.Fprintf(s, "  %v: connection lost\n", time.Since(s.start))
		return
	}
	fmt.Fprintf(s, "  %v: %d", time.Since(s.start), w.Code)
	if rev := w.Header().Get("Revision"); rev != "" {
		fmt.Fprintf(s, " revision %s", rev)
	}
	fmt.Fprintf(s, " %s\n", strings.TrimSpace(w.Body.String()))
}

func TestConfigSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Config{CallsPerSecond: 4}
		s := &transcript{start: time.Now()}
		service, control := c.Service(), c.Control()
		s.call(service, "GET", "/v1/watch?after=0&wait_ms=300", "")
		c.Set("classes", []byte("a"))
		c.Set("accounts_00", []byte("b"))
		c.Set("classes", []byte("a"))
		s.call(service, "GET", "/v1/watch?after=0&wait_ms=300", "")
		s.call(service, "GET", "/v1/values/classes", "")
		s.call(service, "GET", "/v1/values/none", "")
		s.call(service, "GET", "/v1/watch?after=x", "")
		time.Sleep(time.Second)
		time.AfterFunc(time.Second, func() { c.Set("classes", []byte("b")) })
		s.call(service, "GET", "/v1/watch?after=2&wait_ms=5000", "")
		s.call(control, "PUT", "/v1/values/classes", "c")
		s.WriteString("# stale at 4, edited to 5\n")
		c.SetStale(true)
		c.Set("classes", []byte("d"))
		s.call(service, "GET", "/v1/watch?after=5&wait_ms=300", "")
		s.call(service, "GET", "/v1/values/classes", "")
		c.SetStale(false)
		s.call(service, "GET", "/v1/watch?after=4&wait_ms=300", "")
		s.WriteString("# read-only\n")
		s.call(service, "PUT", "/v1/values/classes", "z")
		s.call(service, "POST", "/v1/state/down", "")
		s.WriteString("# over the rate\n")
		for range 4 {
			s.call(service, "GET", "/v1/values/classes", "")
		}
		time.Sleep(time.Second)
		s.WriteString("# down under a watch\n")
		time.AfterFunc(time.Second, func() { c.SetDown(true) })
		s.call(service, "GET", "/v1/watch?after=5&wait_ms=5000", "")
		s.call(service, "GET", "/v1/values/classes", "")
		c.SetDown(false)
		s.call(service, "GET", "/v1/values/classes", "")
		s.call(control, "GET", "/v1/calls", "")
		golden.Assert(t, s.String(), "config.golden")
	})
}

func TestVMsSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := &VMs{Lag: 2 * time.Second}
		s := &transcript{start: time.Now()}
		service := v.Service()
		v.Set(fleet.VM{Name: "vm2", Role: fleet.Sidecar, Upstream: "u1", Address: "127.0.0.1:2", State: fleet.Live})
		s.call(service, "GET", "/v1/vms?after=0&wait_ms=1000", "")
		s.call(service, "GET", "/v1/vms?after=0&wait_ms=3000", "")
		s.call(v.Control(), "PUT", "/v1/vms/vm1", `{"role":"gateway","address":"127.0.0.1:1","state":"live"}`)
		v.Remove("vm2")
		s.call(service, "GET", "/v1/vms?after=1&wait_ms=3000", "")
		time.AfterFunc(time.Second, func() { v.SetDown(true) })
		s.call(service, "GET", "/v1/vms?after=3&wait_ms=3000", "")
		golden.Assert(t, s.String(), "vms.golden")
	})
}

func TestDirectoryIgnoresPartialWrites(t *testing.T) {
	c := &Config{}
	d := &Directory{Path: t.TempDir(), Config: c}
	file := filepath.Join(d.Path, "classes.csv")
	write := func(s string) { assert.NilError(t, os.WriteFile(file, []byte(s), 0o600)) }
	read := func() string {
		w := httptest.NewRecorder()
		c.Service().ServeHTTP(w, httptest.NewRequest("GET", "/v1/values/classes", nil))
		return w.Body.String()
	}
	write("one")
	assert.NilError(t, d.Load())
	assert.Equal(t, read(), "one")
	write("tw")
	d.poll()
	write("two")
	d.poll()
	assert.Equal(t, read(), "one")
	d.poll()
	assert.Equal(t, read(), "two")
}

// TestConfigDownResetsConnections checks over a real socket that a service
// that is down resets the connection.
func TestConfigDownResetsConnections(t *testing.T) {
	c := &Config{}
	c.SetDown(true)
	s := httptest.NewServer(c.Service())
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /v1/watch HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "reset")
	calls, err := json.Marshal(c.Calls())
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(calls), `"lost":1`), string(calls))
}
