package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
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

// Guards against a field that is passed on under a name that is no token, or whose blank hides how
// the body is framed.
func TestFieldNameThatIsNoTokenIsNoAnswer(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~"
	for b := range 256 {
		isToken := strings.ContainsRune(token, rune(b)) || b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z'
		if isToken || b == ':' || b == '\n' {
			continue
		}
		for _, name := range []string{"%sX", "X%sY", "X%s"} {
			line := strings.Replace(name, "%s", string([]byte{byte(b)}), 1) + ": z\r\n"
			for _, head := range []string{
				"HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + line + "Content-Length: 2\r\n\r\nok",
				"HTTP/1.1 200 OK\r\n" + line + "X-Id: 1\r\nContent-Length: 2\r\n\r\nok",
				"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + line + "\r\n" + okResponse,
			} {
				x := exchangeOnOpenConn(t, head)
				assert.Assert(t, x.Err != nil, "%q", head)
			}
		}
	}
}

// Guards against chunk sizes that are passed on as the body, since net/http ignores the encoding of
// an answer of HTTP/1.0.
func TestEncodingInVersionWithoutItIsNoAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.0 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\ntransfer-encoding:chunked\r\nX-Id: 1\r\nContent-Length: 12\r\n\r\n",
		"HTTP/0.9 200 OK\nX-Id: 1\nTRANSFER-ENCODING: gzip, chunked\n\n",
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.0 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		x := exchangeOnOpenConn(t, head+"2\r\nok\r\n0\r\n\r\n")
		assert.ErrorIs(t, x.Err, errUnexpectedChunks, "%q", head)
		for n := range len(head) {
			var s HeadScanner
			_ = s.Scan([]byte(head[:n]))
			assert.ErrorIs(t, s.Scan([]byte(head[n:])), errUnexpectedChunks, "%q, cut after %d bytes", head, n)
		}
	}
	for _, head := range []string{
		"HTTP/1.0 200 OK\r\nX-Id: 1\r\nTransfer-Encodings: x\r\nX-Transfer-Encoding: x\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 103 X\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		x := exchangeOnOpenConn(t, head)
		assert.NilError(t, x.Err, "%q", head)
		body, err := io.ReadAll(x.Response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
	}
}

// Bytes of a token in a name, and blanks in a value or a body, are sound.
func TestSoundHeadIsRead(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\n!#$%&'*+-.^_`|~09azAZ: z\r\nContent-Length: 6\r\n\r\n\n ok\n\t",
		"HTTP/1.1 200 OK\nX-Id:1\nX:  y z\t\nX:\nContent-Length: 6 \n\n\n ok\n\t",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 6\r\n\r\n\n ok\n\t",
		"HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 4\r\n\r\n\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 6\r\n\r\n\n ok\n\t",
	} {
		x := exchangeOnOpenConn(t, text)
		assert.NilError(t, x.Err, "%q", text)
		body, err := io.ReadAll(x.Response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "\n ok\n\t")
	}
}

// Guards against a skipped answer whose malformed head hides where it ends, and against a sound
// answer that is read out of the body of a skipped one.
func TestMalformedSkippedAnswerIsNotRead(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 X\r\nX-Id: 0\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 000 X\r\nX-Id: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 0\r\nX Y: z\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 2\r\nX: y\r\n Transfer-Encoding: chunked\r\n\r\nno",
		"HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 000 X\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nX-Id: 1\r\nX Y: z\r\n\r\n",
	} {
		x := exchangeOnOpenConn(t, text+okResponse)
		assert.Assert(t, x.Err != nil, "%q", text)
	}
	address, _ := serve(t, []string{"HTTP/1.1 200 OK\r\nX-Id: 0\r\n\r\npart" + okResponse})
	p := &Pool{Address: address}
	defer p.Close()
	x := post(t.Context(), p)
	defer x.Close()
	assert.Assert(t, x.Err != nil, "an answer without a length goes on to the end of its connection")
}

// A continued line is found wherever the reads of a head and of heads before it end.
func TestContinuedLineIsFoundInAllPieces(t *testing.T) {
	const head = "HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\n Content-Length: 2\r\n\r\n"
	for n := range len(head) {
		var s HeadScanner
		err := s.Scan([]byte(head[:n]))
		if err == nil {
			err = s.Scan([]byte(head[n:]))
		}
		assert.ErrorIs(t, err, errContinuedLine, "cut after %d bytes", n)
	}
}
