package direct

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strconv"

	"jasminewing.dev/jasminewing/internal/memory"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/upstream"
	"jasminewing.dev/jasminewing/pkg/result"
)

// bufferResponse reads the whole response into memory.
func (a *attempt) bufferResponse(ctx context.Context) (placement.Outcome, bool, error) {
	resp := a.exchange.Response
	a.answer = &answerEnd{framing: upstream.FramingOf(resp), how: endedCut}
	limit := int64(maxResponseSize)
	if resp.StatusCode >= http.StatusBadRequest {
		limit = maxErrorSize
	}
	body := &memory.Buffer{Account: a.memory}
	err := memory.ErrTooLarge
	if resp.ContentLength <= limit {
		err = body.Fill(resp.Body, resp.ContentLength, limit)
	}
	if err == nil && isStreamBrokenOff(resp, a.answer.framing, body.Bytes()) {
		err = errStreamBrokenOff
	}
	switch {
	case err != nil:
		body.Release()
		return a.endUnbuffered(ctx, err)
	case a.buffered != nil:
		a.buffered.body.Release()
	}
	a.answer.how = endedWhole
	a.responsePartReceived()
	a.buffered = &bufferedResponse{resp.StatusCode, resp.Header, body}
	outcome := placement.Served
	if resp.StatusCode >= http.StatusInternalServerError {
		outcome = placement.Failed
	}
	a.recordResult(outcome, "")
	return outcome, outcome == placement.Failed && a.mayRetry(false), nil
}

// errStreamBrokenOff is the error of a response that is a stream and lacks its end.
var errStreamBrokenOff = errors.New("the stream ended inside an event or before any")

// endUnbuffered ends an attempt whose response could not be read whole.
func (a *attempt) endUnbuffered(ctx context.Context, err error) (placement.Outcome, bool, error) {
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return a.endFailed(ctx, placement.Failed, "answer too large", result.AnswerTooLarge)
	case isMemoryError(err):
		return a.endFailed(ctx, placement.Left, err.Error(), result.AnswerNoRoom)
	case errors.Is(err, errStreamBrokenOff):
		a.answer.how = endedInsideEvent
	}
	return a.endFailed(ctx, placement.Broken, err.Error(), result.UpstreamCutOff)
}

func (p *proxiedRequest) writeBuffered() {
	p.response = responseWhole
	h := p.w.Header()
	maps.Copy(h, ForwardedHeaders(p.buffered.header))
	h.Set("Content-Length", strconv.FormatInt(p.buffered.body.Len(), 10))
	p.gateway.askToClose(h)
	p.w.WriteHeader(p.buffered.status)
	for _, part := range p.buffered.body.Bytes() {
		if p.write(part, false) != nil {
			p.response = responseCut
			return
		}
	}
}
