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

// Headers of the published upstream protocol.
const (
	HeaderRequestID    = "X-Request-Id"
	HeaderResumeOffset = "Resume-Offset"
	HeaderNotRun       = "Not-Run"
)

// Request is a request to the upstream.
type Request struct {
	Method string
	// Path starts with a slash and may contain a query.
	Path string
	// Header holds the caller's headers. Those that must not be passed on to
	// the upstream are removed.
	Header    http.Header
	Body      []byte
	RequestID string
	// Idempotent reports that the request may run more than once. Only then can its
	// body be rewound.
	Idempotent bool
	// Streamed reports that an event stream is expected.
	Streamed bool
	// ResumeOffset is the number of tokens of the answer that the caller
	// already has.
	ResumeOffset table.Tokens
}

// Sink receives an answer as it arrives. An error ends the call with
// result.CallerGone.
type Sink interface {
	// Head is called once, before any data.
	Head(status int, h http.Header) error
	// Data is called for each piece of the body as it is read. For an event
	// stream p holds complete events and n is the number of tokens in them. The
	// slice p is only valid until Data returns.
	Data(p []byte, n table.Tokens) error
}

// Outcome is the result of a call.
type Outcome struct {
	// Complete reports that the upstream marked the end of its answer and that
	// the whole answer was passed to the sink.
	Complete bool
	// Status is the HTTP status of the response, or zero if no response head
	// arrived.
	Status int
	// Code is result.OK for a complete answer, or else the reason of the
	// failure.
	Code   result.Code
	Detail string
	// Tokens is the number of tokens in the events that were passed to the
	// sink, or the usage that the upstream reports. Tokens before the resume
	// offset are not included.
	Tokens table.Tokens
	// FirstToken is the time from sending the request to the first token or the
	// first byte of the body.
	FirstToken time.Duration
	// TokenGap is the mean time between tokens, or zero if it is unknown.
	TokenGap time.Duration
	// NotRun reports that the upstream did not run the request.
	NotRun bool
	// Died reports that the connection was lost in the way in which a crashing
	// upstream loses it.
	Died bool
}

// onceReader hides the type of the reader, so that net/http cannot rewind the
// body.
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
	h.Header = upstream.EndToEndHeaders(r.Header)
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
