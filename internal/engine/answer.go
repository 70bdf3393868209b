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

	"jasminewing.dev/jasminewing/internal/upstream"
	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	readBytes   = 8 << 10
	eventStream = "text/event-stream"
)

// answer checks the head and hands the answer on.
func (k *call) answer(ctx context.Context, resp *http.Response) {
	k.out.Status = resp.StatusCode
	code, detail := k.judge(resp)
	if code != result.OK {
		k.fail(code, detail)
		return
	}
	if err := k.hand(func() error { return k.sink.Head(resp.StatusCode, upstream.EndToEndHeaders(resp.Header)) }); err != nil {
		k.fail(result.CallerGone, err.Error())
		return
	}
	var p part = &whole{}
	if isStream(resp) {
		p = &stream{ignoreUsage: k.request.ResumeOffset > 0}
	}
	k.copy(ctx, resp.Body, p)
	k.out.Tokens = p.tokens()
	k.out.FirstToken, k.out.TokenGap = p.times(k.start)
}

// judge decides from the head whether an answer can be passed on at all.
func (k *call) judge(resp *http.Response) (result.Code, string) {
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

func (c *Client) maxAnswer() int64 { return or(c.MaxAnswer, DefaultMaxAnswer) }

func isStream(resp *http.Response) bool {
	t, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && t == eventStream && resp.StatusCode < 300
}

// part takes the bytes of an answer and gives back what may be handed on.
type part interface {
	// take gives the bytes to hand on now; the last ones come from end.
	take(now time.Time, p []byte) ([]byte, error)
	// end is called when the transport has marked the end.
	end() ([]byte, error)
	tokens() tokens
	// counted gives how many tokens were seen as such, one by one.
	counted() tokens
	times(start time.Time) (first, gap time.Duration)
}

// copy hands the body on piece by piece until its end mark.
func (k *call) copy(ctx context.Context, body io.Reader, p part) {
	buffer := make([]byte, readBytes)
	left := k.client.maxAnswer()
	for {
		n, err := body.Read(buffer)
		if left -= int64(n); left < 0 {
			k.fail(result.AnswerTooLarge, "the answer is over the limit")
			return
		}
		if n > 0 && !k.take(p, buffer[:n]) {
			return
		}
		if errors.Is(err, io.EOF) {
			k.finish(p)
			return
		}
		if err != nil {
			k.lost(ctx, err)
			return
		}
	}
}

func (k *call) take(p part, read []byte) bool {
	before := p.counted()
	data, bad := p.take(time.Now(), read)
	return k.pass(data, p.counted()-before, bad)
}

func (k *call) finish(p part) {
	data, bad := p.end()
	if k.pass(data, 0, bad) {
		k.out.Complete = true
	}
}

// pass hands data on unless it came with an error.
func (k *call) pass(data []byte, n tokens, bad error) bool {
	if len(data) > 0 {
		if err := k.hand(func() error { return k.sink.Data(data, n) }); err != nil {
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

// hand calls the sink with the clock of the upstream's silence stopped, for a
// slow caller is no fault of the upstream.
func (k *call) hand(f func() error) error {
	k.silence.Stop()
	defer k.silence.Reset(k.timeout)
	return f()
}
