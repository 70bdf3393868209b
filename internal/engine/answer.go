package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"jasminewing.dev/jasminewing/internal/memory"
	"jasminewing.dev/jasminewing/internal/upstream"
	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	readBytes       = 8 << 10
	eventStreamType = "text/event-stream"
)

// forwardAnswer checks the head of the response and forwards the answer to the
// sink.
func (k *call) forwardAnswer(ctx context.Context, resp *http.Response) {
	k.out.Status = resp.StatusCode
	code, detail := k.checkHead(resp)
	if code != result.OK {
		k.fail(code, detail)
		return
	}
	if err := k.callSink(func() error { return k.sink.Head(resp.StatusCode, upstream.EndToEndHeaders(resp.Header)) }); err != nil {
		k.fail(result.CallerGone, err.Error())
		return
	}
	var p bodyParser = &wholeParser{}
	if isStream(resp) {
		p = &streamParser{ignoreUsage: k.request.ResumeOffset > 0}
		if k.client.Memory != nil {
			k.memory = k.client.Memory.Open(memory.Holder{Request: k.request.RequestID, Activity: memory.Sent})
			defer k.memory.Close()
		}
	}
	k.copyBody(ctx, resp.Body, p)
	k.out.Tokens = p.tokens()
	k.out.FirstToken, k.out.TokenGap = p.timings(k.start)
}

// checkHead checks the status and headers and returns result.OK if the answer
// can be forwarded, or else a code and a detail.
func (k *call) checkHead(resp *http.Response) (result.Code, string) {
	status := resp.StatusCode
	switch {
	case status == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotRun) == "true":
		k.out.NotRun = true
		return result.UpstreamRefused, "upstream says that it did not run the request"
	case status >= 500:
		return result.UpstreamFailed, fmt.Sprintf("upstream answered %d", status)
	case status < 200:
		return result.UpstreamBadStream, fmt.Sprintf("upstream answered %d", status)
	case k.request.Method != http.MethodHead && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		return result.UpstreamCutOff, "the answer has neither a length nor an end mark"
	case resp.ContentLength > k.client.maxAnswer():
		return result.AnswerTooLarge, fmt.Sprintf("the answer has %d bytes", resp.ContentLength)
	case status >= 300:
		return result.OK, ""
	case k.request.Streamed && !isStream(resp):
		return result.UpstreamBadStream, "an event stream was asked for, another content type came"
	case k.request.ResumeOffset > 0 && resp.Header.Get(HeaderResumeOffset) != strconv.Itoa(int(k.request.ResumeOffset)):
		return result.UpstreamBadStream, "the answer does not begin at the offset that was asked for"
	}
	return result.OK, ""
}

func (c *Client) maxAnswer() int64 { return orDefault(c.MaxAnswer, DefaultMaxAnswer) }

func isStream(resp *http.Response) bool {
	t, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && t == eventStreamType && resp.StatusCode < 300
}

// bodyParser parses the body of an answer and returns the bytes that may be
// forwarded.
type bodyParser interface {
	// parse returns the bytes to forward now. finish returns the last ones.
	parse(now time.Time, p []byte) ([]byte, error)
	// held returns the number of bytes that parse has kept for later.
	held() int
	// finish is called when the transport has signalled the end of the body.
	finish() ([]byte, error)
	tokens() tokens
	// countedTokens returns the number of tokens that were counted from
	// individual events, without reported usage.
	countedTokens() tokens
	timings(start time.Time) (first, gap time.Duration)
}

// copyBody forwards the body as it is read, until its end.
func (k *call) copyBody(ctx context.Context, body io.Reader, p bodyParser) {
	buffer := make([]byte, readBytes)
	left := k.client.maxAnswer()
	for {
		n, err := body.Read(buffer)
		if left -= int64(n); left < 0 {
			k.fail(result.AnswerTooLarge, "the answer is over the limit")
			return
		}
		if n > 0 && !k.parseAndForward(p, buffer[:n]) {
			return
		}
		if errors.Is(err, io.EOF) {
			k.finishBody(p)
			return
		}
		if err != nil {
			k.failWithError(ctx, err)
			return
		}
	}
}

func (k *call) parseAndForward(p bodyParser, read []byte) bool {
	if err := k.reserve(2 * (p.held() + len(read))); err != nil {
		k.fail(result.AnswerNoRoom, err.Error())
		return false
	}
	before := p.countedTokens()
	data, bad := p.parse(time.Now(), read)
	return k.forward(data, p.countedTokens()-before, bad)
}

// reserve sets what the call holds. While a part of the body is parsed, that is twice what is
// kept, since its rest is copied.
func (k *call) reserve(n int) error {
	if k.memory == nil {
		return nil
	}
	more := int64(n) - k.reserved
	k.reserved = int64(n)
	if more <= 0 {
		k.memory.Shrink(-more)
		return nil
	}
	if err := k.memory.Grow(more); err != nil {
		k.reserved -= more
		return fmt.Errorf("hold an event: %w", err)
	}
	return nil
}

func (k *call) finishBody(p bodyParser) {
	data, bad := p.finish()
	if k.forward(data, 0, bad) {
		k.out.Complete = true
	}
}

// forward passes data to the sink. If bad is not nil, it then fails the call
// with bad. It returns false if the call failed.
func (k *call) forward(data []byte, n tokens, bad error) bool {
	if len(data) > 0 {
		if err := k.callSink(func() error { return k.sink.Data(data, n) }); err != nil {
			k.fail(result.CallerGone, err.Error())
			return false
		}
	}
	if bad != nil {
		k.fail(result.CodeOf(bad), bad.Error())
		return false
	}
	return true
}

// callSink calls f with the silence timer stopped, because a slow caller must
// not count as a silent upstream.
func (k *call) callSink(f func() error) error {
	k.silenceTimer.Stop()
	defer k.silenceTimer.Reset(k.timeout)
	return f()
}
