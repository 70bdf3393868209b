package engine

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// testMalformedHead checks that an answer with a malformed head, which lacks its last line break,
// is neither complete nor a refusal, and is no health, load or order taken.
func testMalformedHead(t *testing.T, head string) {
	t.Helper()
	const health = `{"status":"ok","running":1}`
	s := &rawServer{Answer: func(_ int, _ *http.Request, w net.Conn) bool {
		_, _ = io.WriteString(w, head+"\r\n"+health)
		return false
	}}
	c := &Client{Address: s.start(t)}
	defer c.CloseIdle()
	got := &recorder{}
	out := c.Do(t.Context(), Request{Method: "POST", Path: "/", Body: []byte("{}")}, got)
	assert.Assert(t, !out.Complete && !out.NotRun, "%q: %+v", head, out)
	assert.Assert(t, got.status == 0 && got.data.Len() == 0, "%q was passed on: %d %q", head, got.status, got.data.String())
	_, err := c.Health(t.Context())
	assert.Assert(t, err != nil, "%q was taken for a health", head)
	_, err = c.Load(t.Context())
	assert.Assert(t, err != nil, "%q was taken for a load", head)
	assert.Assert(t, c.Order(t.Context(), Order{Order: "load", Fencing: 1}) != nil, "%q was taken for an order accepted", head)
}

// Guards against a status that is none and is taken for that of an answer.
func TestStatusBelow100IsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 X", "000", "001 X", "099 X", "-00 X", "+20 X"} {
		testMalformedHead(t, "HTTP/1.1 "+status+"\r\nContent-Length: 27\r\n")
		testMalformedHead(t, "HTTP/1.1 "+status+"\r\nNot-Run: true\r\nContent-Length: 27\r\n")
	}
}

// Guards against a field that is passed on under a name that is no token.
func TestFieldNameThatIsNoTokenIsNoAnswer(t *testing.T) {
	for _, line := range []string{
		"X Y: z", "X : z", "X\t: z", "X\x00: z", "X\x7f: z", ": z", "Content Length: 3", "Content-Length : 3",
		" X: z", "\tX: z", " Transfer-Encoding: chunked",
	} {
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\nContent-Length: 27\r\n" + line + "\r\n",
			"HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 27\r\n",
			"HTTP/1.1 503 X\r\nNot-Run: true\r\n" + line + "\r\nContent-Length: 27\r\n",
			"HTTP/1.1 404 X\r\nContent-Length: 27\r\n" + line + "\r\n",
		} {
			testMalformedHead(t, head)
		}
	}
}

// Guards against chunk sizes that are passed on as the body of an answer of HTTP/1.0.
func TestEncodingInVersionWithoutItIsNoAnswer(t *testing.T) {
	testMalformedHead(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n")
	testMalformedHead(t, "HTTP/1.0 200 OK\r\nContent-Length: 27\r\nTransfer-Encoding: chunked\r\n")
}
