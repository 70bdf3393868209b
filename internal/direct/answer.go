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

// PassedOn copies what upstreams get of a caller's header, and callers of an
// answer's; the length is that of what is passed on.
func PassedOn(h http.Header) http.Header {
	out := upstream.PassedOn(h)
	out.Del("Content-Length")
	return out
}

// conclude gives the caller its final answer, unless it is out.
func (t *transfer) conclude(ctx context.Context, err error) {
	switch {
	case result.CodeOf(err) == result.CallerGone && !errors.Is(context.Cause(ctx), errDeadline):
		// Nobody is there; a closed connection promises nothing.
		panic(http.ErrAbortHandler)
	case err != nil && t.headOut:
		// A stream that cannot be finished must not look complete.
		panic(http.ErrAbortHandler)
	case err != nil && t.kept == nil:
		t.refuse(err)
	case t.kept != nil && !t.headOut:
		t.passKept()
	}
}

func (t *transfer) passKept() {
	h := t.w.Header()
	maps.Copy(h, PassedOn(t.kept.header))
	h.Set("Content-Length", strconv.Itoa(len(t.kept.body)))
	t.w.WriteHeader(t.kept.status)
	_, _ = t.w.Write(t.kept.body)
}

// refuse answers with an error of the gateway's own.
func (t *transfer) refuse(err error) {
	code := result.CodeOf(err)
	t.gateway.CountRefusal(code)
	h := t.w.Header()
	h.Set("Content-Type", "application/json")
	status := t.gateway.Callers.Refuse(h, t.call, code, result.RetryAfterOf(err))
	id := ""
	if t.call != nil {
		id = string(t.call.ID)
	}
	if t.mayHaveRun && refusal(status) {
		status = http.StatusBadGateway
	}
	body, failed := json.Marshal(code.Answer(result.DetailOf(err), !t.mayHaveRun, id))
	if failed != nil {
		body = []byte(`{}`)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	t.w.WriteHeader(status)
	_, _ = t.w.Write(body)
}

// log writes the one line that says how the request ended and why.
func (t *transfer) log(err error) {
	code := result.CodeOf(err)
	fields := []any{"code", int(code), "total_ms", time.Since(t.arrived).Milliseconds()}
	if c := t.call; c != nil {
		fields = append(fields, "request_id", c.ID)
		if c.route != nil {
			fields = append(fields, "route", c.route.Name, "version", int64(c.version), "service", c.service)
		}
		if c.account != nil {
			fields = append(fields, "account", c.account.Name)
		}
	}
	if !t.first.IsZero() {
		fields = append(fields, "first_ms", t.first.Sub(t.arrived).Milliseconds(), "events", t.events)
	}
	if t.kept != nil {
		fields = append(fields, "status", t.kept.status)
	}
	if len(t.sends) > 0 {
		fields = append(fields, "sends", t.sendsText())
	}
	if err != nil {
		fields = append(fields, "error", result.DetailOf(err), "may_have_run", t.mayHaveRun)
	}
	t.gateway.metrics.ended(t, code)
	t.gateway.Log.Write(event.RequestEnded, fields...)
}

// sendsText gives the sends as upstream:outcome:took:waited:expected, times in
// milliseconds.
func (t *transfer) sendsText() string {
	var b strings.Builder
	for i, s := range t.sends {
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
