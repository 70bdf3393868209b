package engine

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an earlier answer, written again on a connection that is in use again,
// that is taken for the answer to the next request.
func TestRepeatedAnswerIsNotTakenForAnother(t *testing.T) {
	const refusal = "HTTP/1.1 503 X\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n"
	answer := func(n int) string { return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n) }
	for _, repeated := range []string{refusal, answer(1)} {
		onConn := map[net.Conn]int{}
		s := &rawServer{Answer: func(n int, _ *http.Request, w net.Conn) bool {
			if onConn[w]++; onConn[w] > 1 {
				_, _ = io.WriteString(w, repeated)
			}
			_, _ = io.WriteString(w, answer(n))
			return true
		}}
		c := &Client{Address: s.start(t)}
		for n := 1; n <= 3; n++ {
			got := &recorder{}
			out := c.Do(t.Context(), Request{Method: "POST", Path: "/", Body: []byte("{}"), Idempotent: true}, got)
			assert.Assert(t, out.Complete && !out.NotRun, out.Detail)
			assert.Equal(t, got.data.String(), fmt.Sprint(n))
		}
		c.CloseIdle()
	}
}
