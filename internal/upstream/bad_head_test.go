package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// exchangeOnOpenConn sends a request to an upstream that answers with text and keeps the
// connection open, so that only the text can end the exchange.
func exchangeOnOpenConn(t *testing.T, text string) *Exchange {
	t.Helper()
	far, near := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			_, _ = io.WriteString(far, text)
		}
	}()
	p := &Pool{Dial: func(context.Context, string) (net.Conn, error) { return near, nil }}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	x := post(ctx, p)
	t.Cleanup(x.Cancel)
	assert.NilError(t, ctx.Err(), "%q was ended by its time only", text)
	return x
}

// Guards against a status that is none and is taken for that of an interim answer, so that the
// next head is waited for, or whatever follows is believed.
func TestStatusBelow100IsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 X", "000", "000 ", "001 X", "020 X", "099 X", "-00 X", "+20 X", "+99 X"} {
		for _, rest := range []string{"\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok", "\r\n\r\n", "\r\n\r\n" + okResponse, "\r\nX-Id: 1\r\n\r\n" + okResponse} {
			x := exchangeOnOpenConn(t, "HTTP/1.1 "+status+rest)
			assert.ErrorIs(t, x.Err, errBadStatus, "%q %q", status, rest)
			assert.Assert(t, x.Sent)
		}
	}
}

// Interim answers before a final one are sound.
func TestInterimAnswersAreRead(t *testing.T) {
	x := exchangeOnOpenConn(t, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 199 X\r\n\r\n"+okResponse)
	assert.NilError(t, x.Err)
	body, err := io.ReadAll(x.Response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "ok")
}
