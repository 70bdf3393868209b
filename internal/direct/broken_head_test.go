package direct

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a success with an empty or short body for a head that an upstream did
// not finish.
func TestAnswerCutInItsHeadIsNotASuccess(t *testing.T) {
	plain := strings.TrimSuffix(responseText(200, "Signed: 1\r\n", "ok"), "ok")
	stream := streamStart()
	for path, head := range map[string]string{"/book/1": plain, "/draft/1": stream} {
		for n := range len(head) + 1 {
			f := newFixture(t, 1, strings.ReplaceAll(head[:n], "ID", "7")+"!")
			got := f.call(t, http.MethodPost, path, "x")
			assert.Assert(t, strings.HasPrefix(got, "502 code "), "%s after %q", got, head[:n])
		}
	}
}

// Guards against a success for a head that lacks some of its lines. Only a head without
// a length, which may be sound, is one.
func TestAnswerThatLacksHeadersIsNotASuccess(t *testing.T) {
	tests := []struct{ name, path, script, want string }{
		{"status line alone", "/book/1", "HTTP/1.1 200 OK\r\n\r\n!", "502 code 4008"},
		{"status line alone, stream", "/draft/1", "HTTP/1.1 200 OK\r\n\r\n" + eventText(1) + "!", "502 code 4008"},
		{"no ID", "/book/1", "HTTP/1.1 200 OK\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nok!", "502 code 4008"},
		{"no signature", "/book/1", "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 2\r\n\r\nok!", "502 code 4007"},
		{"no status line", "/book/1", "Id: ID\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nok!", "502 code 4008"},
		{"two heads", "/book/1", "HTTP/1.1 200 OK\r\nId: ID\r\nHTTP/1.1 200 OK\r\nSigned: 1\r\n\r\n!", "502 code 4008"},
		{"two lengths", "/book/1", "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok!", "502 code 4008"},
		{"chunks without their header", "/draft/1", "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\n\r\n10\r\nid: 1\ndata: x\n!", "502 code 4008"},
		{"no length", "/book/1", "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\n\r\nok!", "200 ok"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, tt.script)
			assert.Equal(t, f.call(t, http.MethodPost, tt.path, "x"), tt.want)
		})
	}
}
