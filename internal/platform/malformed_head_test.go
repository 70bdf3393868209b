package platform

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/pkg/result"
)

// Guards against a value, a list or the statement that nothing is new, if the head that brings it
// has no valid status or a field whose name is no token.
func TestMalformedHeadsAreRefused(t *testing.T) {
	const list = `{"version":2,"vms":[],"revision":5,"changed":[]}`
	for _, head := range []string{
		"HTTP/1.1 000 X\r\nRevision: 5\r\nContent-Length: 48\r\n",
		"HTTP/1.1 200 OK\r\nRevision: 5\r\nX Y: z\r\nContent-Length: 48\r\n",
		"HTTP/1.1 200 OK\r\nRevision: 5\r\nX\x01: z\r\nContent-Length: 48\r\n",
		"HTTP/1.1 200 OK\r\nRevision: 5\r\nContent-Length : 48\r\n",
		"HTTP/1.1 304 X\r\nRevision: 5\r\nX Y: z\r\n",
	} {
		service := serve(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			assert.NilError(t, err)
			_, _ = io.WriteString(conn, head+"\r\n"+list)
			_ = conn.Close()
		})
		c, v := &Config{Client: Client{BaseURL: service.BaseURL}}, &VMs{Client: Client{BaseURL: service.BaseURL}}
		_, err := c.Get(t.Context(), "classes")
		assert.Equal(t, result.CodeOf(err), result.ConfigUnreached, "%q: %v", head, err)
		_, _, err = c.Watch(t.Context(), 0, 0)
		assert.Equal(t, result.CodeOf(err), result.ConfigUnreached, "%q: %v", head, err)
		_, err = v.List(t.Context(), 0, 0)
		assert.Equal(t, result.CodeOf(err), result.VMListUnreached, "%q: %v", head, err)
	}
}
