package upstream

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The answer to HEAD has no body that could be cut, with or without a length.
func TestFramingOfHEAD(t *testing.T) {
	head := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"))
	r, err := http.ReadResponse(head, &http.Request{Method: http.MethodHead})
	assert.NilError(t, err)
	assert.Equal(t, FramingOf(r), FramedByLength)
}

func TestFramingOf(t *testing.T) {
	tests := []struct {
		name, head string
		want       Framing
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", FramedByLength},
		{"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", FramedByLength},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", FramedByChunks},
		{"close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", FramedByClose},
		{"neither", "HTTP/1.1 200 OK\r\n\r\n", FramedByClose},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n", FramedByClose},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", FramedByLength},
		{"not modified", "HTTP/1.1 304 Not Modified\r\n\r\n", FramedByLength},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(tt.head)), nil)
			assert.NilError(t, err)
			assert.Equal(t, FramingOf(r), tt.want)
		})
	}
}
