package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/upstream"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Headers of the published shape.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderResumeOffset = "Resume-Offset"
	HeaderNotRun       = "Not-Run"
)

// Request is one call on the upstream.
type Request struct {
	Method string
	// Path begins with a slash and may hold a query.
	Path string
	// Header is the caller's; what must not be passed on is left out.
	Header    http.Header
	Body      []byte
	RequestID string
	// Idempotent says that the call may run more than once. Only then does it
	// share connections with others.
	Idempotent bool
	// Streamed says that an event stream is expected.
	Streamed bool
	// ResumeOffset is how many tokens of the answer the caller already has.
	ResumeOffset table.Tokens
}

// Sink takes an answer as it comes. An error ends the call as CallerGone.
type Sink interface {
	// Head is called once, before any data.
	Head(status int, h http.Header) error
	// Data is called for each piece as it is read; of an event stream these are
	// whole events, with the number of tokens in them. The slice is only good
	// until it returns.
	Data(p []byte, n table.Tokens) error
}

// Outcome is how a call ended.
type Outcome struct {
	// Complete says that the upstream marked the end of its answer, and that
	// all of it was handed to the sink.
	Complete bool
	// Status is the upstream's status; zero if no head came.
	Status int
	// Code is result.OK for a complete answer, otherwise why not.
	Code   result.Code
	Detail string
	// Tokens counts those of the events that were handed to the sink, or what
	// the upstream says of a whole answer; without those of before the offset.
	Tokens table.Tokens
	// FirstToken is the time from sending to the first token or byte of body.
	FirstToken time.Duration
	// TokenGap is the mean time between tokens; zero for unknown.
	TokenGap time.Duration
	// NotRun says that the upstream has not run the request.
	NotRun bool
	// Died says that the connection was lost in a way that a dying upstream
	// loses it.
	Died bool
}

// onceReader hides its type, so that net/http cannot rewind the body.
type onceReader struct{ io.Reader }

func (r Request) build(ctx context.Context, a fleet.Address) (*http.Request, error) {
	if !strings.HasPrefix(r.Path, "/") {
		return nil, fmt.Errorf("build request: path %q has no leading slash", r.Path)
	}
	u, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	u.Scheme, u.Host, u.User = "http", string(a), nil
	var body io.Reader
	switch {
	case len(r.Body) == 0:
	case r.Idempotent:
		body = bytes.NewReader(r.Body)
	default:
		body = onceReader{bytes.NewReader(r.Body)}
	}
	h, err := http.NewRequestWithContext(ctx, r.Method, u.String(), body)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	h.ContentLength = int64(len(r.Body))
	h.Header = upstream.PassedOn(r.Header)
	for _, name := range strippedHeaders {
		h.Header.Del(name)
	}
	if r.RequestID != "" {
		h.Header.Set(HeaderRequestID, r.RequestID)
	}
	if r.ResumeOffset > 0 {
		h.Header.Set(HeaderResumeOffset, strconv.Itoa(int(r.ResumeOffset)))
	}
	return h, nil
}
