// Package engine is the HTTP client for an upstream: a model engine with an
// OpenAI-style API or any plain service. The sidecar of the upstream uses it.
//
// A request is sent once, on a connection of its own: upstreams don't say to which
// request an answer belongs, and a faulty one may write an earlier answer again on a
// connection that is in use again. It follows no redirects and has a body that cannot be
// rewound, so that net/http does not resend it by itself.
//
// An answer is complete only if the upstream itself has marked its end: by a
// matching Content-Length or a chunked terminator, and for an event stream also
// by `data: [DONE]`. A closed connection never marks the end.
//
// # Usage
//
//	c := &engine.Client{Address: "127.0.0.1:8000"}
//	defer c.CloseIdle()
//	out := c.Do(ctx, engine.Request{Method: "POST", Path: "/v1/completions", Body: body}, sink)
//	if !out.Complete && out.NotRun {
//		// safe to try elsewhere
//	}
package engine

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/memory"
	"jasminewing.dev/jasminewing/internal/transfer"
	"jasminewing.dev/jasminewing/pkg/result"
)

// Defaults of a Client.
const (
	DefaultMaxAnswer      = 16 << 20 // bytes
	DefaultTimeout        = 60 * time.Second
	DefaultConnectTimeout = time.Second
	DefaultPollTimeout    = 2 * time.Second
)

// Client is an HTTP client for one upstream. Its fields are set before use.
type Client struct {
	Address fleet.Address
	// MaxAnswer is the maximum size of a response body in bytes. Zero means
	// DefaultMaxAnswer.
	MaxAnswer int64
	// Memory is what the events of all streams may hold together until they are
	// complete. Nil means that it is not bounded.
	Memory *memory.Budget
	// Timeout is the maximum time without data from the upstream, before the
	// response head and between two reads of the body. Zero means
	// DefaultTimeout. The context bounds the whole call.
	Timeout time.Duration
	// ConnectTimeout is the maximum time to establish a connection. Zero means
	// DefaultConnectTimeout.
	ConnectTimeout time.Duration
	// PollTimeout is the timeout of Health, Load and Order. Zero means
	// DefaultPollTimeout.
	PollTimeout time.Duration
	// Dial opens a connection. Nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once      sync.Once
	transport *transfer.Transport
}

var errSilent = errors.New("upstream silent for too long")

func (c *Client) initTransport() {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: orDefault(c.ConnectTimeout, DefaultConnectTimeout)}).DialContext
	}
	c.transport = transfer.NewTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: conn}, nil
	})
	c.transport.DisableCompression, c.transport.DisableKeepAlives = true, true
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() {
	c.once.Do(c.initTransport)
	c.transport.CloseIdleConnections()
}

// Do sends a request once and passes its answer to the sink as it arrives. When
// ctx ends, Do closes the connection at once, which tells the upstream to stop.
func (c *Client) Do(ctx context.Context, r Request, s Sink) Outcome {
	c.once.Do(c.initTransport)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	k := &call{client: c, request: r, sink: s, start: time.Now()}
	timeout := orDefault(c.Timeout, DefaultTimeout)
	k.silenceTimer = time.AfterFunc(timeout, func() { cancel(errSilent) })
	k.timeout = timeout
	defer k.silenceTimer.Stop()
	k.run(ctx)
	return k.out
}

// call is the state of one call of Do.
type call struct {
	client       *Client
	request      Request
	sink         Sink
	start        time.Time
	silenceTimer *time.Timer
	timeout      time.Duration
	out          Outcome

	conn atomic.Pointer[watchedConn]
	// memory is the account of a stream, of which it holds reserved bytes; nil without a budget.
	memory   *memory.Account
	reserved int64
}

func (k *call) run(ctx context.Context) {
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { k.conn.Store(i.Conn.(*watchedConn)) },
	})
	h, err := k.request.build(traced, k.client.Address)
	if err != nil {
		k.out.NotRun = true
		k.fail(result.BadHeader, err.Error())
		return
	}
	resp, err := k.client.transport.RoundTrip(h)
	if err != nil {
		k.failWithError(ctx, err)
		return
	}
	defer resp.Body.Close()
	k.forwardAnswer(ctx, resp)
}

func (k *call) fail(code result.Code, detail string) {
	k.out.Code = code
	k.out.Detail = detail
}

// failWithError fails the call with the result code that corresponds to a
// connection error.
func (k *call) failWithError(ctx context.Context, err error) {
	var op *net.OpError
	dialing := errors.As(err, &op) && op.Op == "dial"
	k.out.NotRun = k.conn.Load() == nil
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent), errors.Is(cause, context.DeadlineExceeded):
		k.fail(result.UpstreamTimeout, cause.Error())
	case cause != nil:
		k.fail(result.CallerGone, cause.Error())
	case k.out.NotRun && !dialing && k.client.Dial == nil:
		k.fail(result.BadHeader, err.Error())
	case k.out.NotRun:
		k.fail(result.UpstreamUnreached, err.Error())
	case k.conn.Load().closedByPeer.Load() || isPeerClose(err):
		k.out.Died = true
		k.fail(result.UpstreamCutOff, err.Error())
	default:
		k.fail(result.UpstreamBadStream, err.Error())
	}
}

func orDefault[T int64 | time.Duration](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}
