// Package direct is a gateway that sends callers' requests to upstreams
// directly, where no sidecar stands beside them. It reads a request whole,
// finds its route and client account, asks placement for an upstream, and
// holds the request until its final answer is out.
//
// What callers and upstreams speak is translated by a CallerProtocol and an
// UpstreamProtocol; nothing here knows a header of theirs.
//
// # Usage
//
//	g := &direct.Gateway{Callers: c, Upstreams: u, Catalog: catalog, Desk: desk, Log: log}
//	g.Init()
//	http.Serve(listener, g)
package direct

import (
	"net/http"
	"time"

	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/pkg/result"
)

// CallID is the caller's name of one request.
type CallID string

// Call is a caller's request.
type Call struct {
	ID     CallID
	Method string
	Host   string
	// Path selects the route; Target is the whole request target.
	Path   string
	Target string
	// Key names the client account; empty for none.
	Key string
	// Timeout is how long the caller waits; zero for unsaid.
	Timeout time.Duration
	// Prompt is empty for a plain service.
	Prompt []placement.Part
	// MaxOutputTokens is the most, and OutputHint the caller's guess, of the tokens
	// of the answer; zero for unsaid.
	MaxOutputTokens, OutputHint int
	// LastEventID is the last event that the caller has of a stream; empty for none.
	LastEventID string
	// Header holds what is passed on.
	Header http.Header
	Body   []byte

	deadline time.Time
	route    *route.Route
	account  *route.Account
	version  route.Version
	service  route.ServiceName
	// fingerprint names the request across its repeats.
	fingerprint suspect.Fingerprint
}

// CallerProtocol reads callers' requests and words refusals.
type CallerProtocol interface {
	// Read understands a request's head. The error is a *result.Error.
	Read(r *http.Request) (*Call, error)
	// SetErrorHeaders sets the headers of an answer of the gateway's own and gives its
	// status; c may be nil, retryAfter is zero for unsaid.
	SetErrorHeaders(h http.Header, c *Call, code result.Code, retryAfter time.Duration) (status int)
}

// AttemptParams is what an upstream is told beside the call itself.
type AttemptParams struct {
	Upstream route.UpstreamID
	// Account is empty for a caller without one.
	Account route.AccountName
	// Timeout is the time in which the answer is wanted.
	Timeout  time.Duration
	Priority route.Priority
	// LastEventID resumes a stream after this event; empty to start it.
	LastEventID string
	// Source is the address of an engine from which the upstream may fetch the
	// memory of prompt parts; empty for none.
	Source string
}

// ResponseInfo is what the head of an upstream's answer says.
type ResponseInfo struct {
	// NotRun says that the upstream did not run the request and never will.
	NotRun bool
	// Misdirected says that another upstream has the address.
	Misdirected bool
	// Genuine says that the answer is the upstream's own, unaltered.
	Genuine bool
}

// UpstreamProtocol words requests to upstreams and reads their answers.
type UpstreamProtocol interface {
	Header(c *Call, p AttemptParams) http.Header
	// Belongs says whether an answer is that of the call.
	Belongs(c *Call, r *http.Response) bool
	ParseResponse(c *Call, r *http.Response) ResponseInfo
}
