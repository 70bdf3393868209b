package direct

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/upstream"
	"jasminewing.dev/jasminewing/pkg/result"
)

// ForwardedHeaders copies what upstreams get of a caller's header, and callers of an
// answer's; the length is that of what is passed on.
func ForwardedHeaders(h http.Header) http.Header {
	out := upstream.EndToEndHeaders(h)
	out.Del("Content-Length")
	return out
}

// finish gives the caller its final answer, unless it is out.
func (p *proxiedRequest) finish(ctx context.Context, err error) {
	switch {
	case result.CodeOf(err) == result.CallerGone && !errors.Is(context.Cause(ctx), errDeadline):
		// Nobody is there; a closed connection promises nothing.
		panic(http.ErrAbortHandler)
	case err != nil && p.headersSent:
		// A stream that cannot be finished must not look complete.
		panic(http.ErrAbortHandler)
	case err != nil && p.buffered == nil:
		p.writeError(err)
	case p.buffered != nil && !p.headersSent:
		p.writeBuffered()
	}
}

func (p *proxiedRequest) writeBuffered() {
	h := p.w.Header()
	maps.Copy(h, ForwardedHeaders(p.buffered.header))
	h.Set("Content-Length", strconv.Itoa(len(p.buffered.body)))
	p.w.WriteHeader(p.buffered.status)
	_, _ = p.w.Write(p.buffered.body)
}

// writeError answers with an error of the gateway's own.
func (p *proxiedRequest) writeError(err error) {
	code := result.CodeOf(err)
	p.gateway.CountRefusal(code)
	h := p.w.Header()
	h.Set("Content-Type", "application/json")
	status := p.gateway.Callers.SetErrorHeaders(h, p.call, code, result.RetryAfterOf(err))
	id := ""
	if p.call != nil {
		id = string(p.call.ID)
	}
	if p.mayHaveRun && impliesNotRun(status) {
		status = http.StatusBadGateway
	}
	body, failed := json.Marshal(code.Answer(result.DetailOf(err), !p.mayHaveRun, id))
	if failed != nil {
		body = []byte(`{}`)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	p.w.WriteHeader(status)
	_, _ = p.w.Write(body)
}

// logEnd writes the one line that says how the request ended and why.
func (p *proxiedRequest) logEnd(err error) {
	code := result.CodeOf(err)
	fields := []any{"code", int(code), "total_ms", time.Since(p.receivedAt).Milliseconds()}
	if c := p.call; c != nil {
		fields = append(fields, "request_id", c.ID)
		if c.route != nil {
			fields = append(fields, "route", c.route.Name, "version", int64(c.version), "service", c.service)
		}
		if c.account != nil {
			fields = append(fields, "account", c.account.Name)
		}
	}
	if !p.firstPartAt.IsZero() {
		fields = append(fields, "first_ms", p.firstPartAt.Sub(p.receivedAt).Milliseconds(), "events", p.events)
	}
	if p.buffered != nil {
		fields = append(fields, "status", p.buffered.status)
	}
	if len(p.attempts) > 0 {
		fields = append(fields, "sends", p.attemptsText())
	}
	if err != nil {
		fields = append(fields, "error", result.DetailOf(err), "may_have_run", p.mayHaveRun)
	}
	p.gateway.metrics.requestEnded(p, code)
	p.gateway.Log.Write(event.RequestEnded, fields...)
}

// attemptsText gives the sends as upstream:outcome:took:waited:expected, times in
// milliseconds.
func (p *proxiedRequest) attemptsText() string {
	var b strings.Builder
	for i, s := range p.attempts {
		if i > 0 {
			b.WriteByte(' ')
		}
		fmt.Fprintf(&b, "%s:%s:%d:%d:%d", s.upstream, s.outcome, s.took.Milliseconds(), s.waited.Milliseconds(), s.expected.Milliseconds())
		if s.detail != "" {
			fmt.Fprintf(&b, "(%s)", s.detail)
		}
	}
	return b.String()
}
