package transfer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/transfer"
)

// Guards against a response that is believed although its head has no valid status, or a field
// whose name is no token, which may be the length.
func TestTransportRefusesMalformedHeads(t *testing.T) {
	tests := []struct {
		head    string
		refused bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", false},
		{"HTTP/1.1 103 X\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n", false},
		{"HTTP/1.1 000 X\r\nContent-Length: 2\r\n", true},
		{"HTTP/1.1 000\r\n", true},
		{"HTTP/1.1 099 X\r\nContent-Length: 2\r\n", true},
		{"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n", true},
		{"HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n", true},
		{"HTTP/1.1 200 OK\r\nX\t: z\r\nContent-Length: 2\r\n", true},
		{"HTTP/1.1 200 OK\r\nX\x00: z\r\nContent-Length: 2\r\n", true},
		{"HTTP/1.1 404 X\r\nX Y: z\r\nContent-Length: 2\r\n", true},
	}
	for _, tt := range tests {
		t.Run(tt.head, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, tt.head+"\r\nok")
				}
			}()
			client := http.Client{Transport: transfer.NewTransport(nil)}
			defer client.CloseIdleConnections()
			resp, err := client.Get("http://" + l.Addr().String())
			assert.Equal(t, err != nil, tt.refused, "%v", err)
			if err == nil {
				assert.NilError(t, resp.Body.Close())
			}
		})
	}
}
