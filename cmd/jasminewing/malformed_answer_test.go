package main

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against the state of a process that is shown although the answer with it is malformed or
// was broken off.
func TestStatusRefusesMalformedAnswers(t *testing.T) {
	tests := []struct {
		name, answer string
		reset, shown bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\n\r\n{}", false, true},
		{"broken off", "HTTP/1.1 200 OK\r\n\r\n{", false, false},
		{"reset", "HTTP/1.1 200 OK\r\n\r\n{", true, false},
		{"status 000", "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}", false, false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\n{}", false, false},
		{"blank after a name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}", false, false},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01: z\r\nContent-Length: 2\r\n\r\n{}", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, tt.answer)
				if tt.reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			}))
			defer server.Close()
			var stdout, stderr bytes.Buffer
			status := run([]string{"status", "--admin", server.Listener.Addr().String()}, &stdout, &stderr)
			assert.Equal(t, stdout.Len() > 0, tt.shown, "%s%s", stdout.String(), stderr.String())
			assert.Assert(t, status != 0, "the process is not ready, or its state is unknown")
		})
	}
}
