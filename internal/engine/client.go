// Package engine is the HTTP client side of an upstream: a model engine of the
// OpenAI shape, or any plain service. The sidecar beside the upstream uses it.
//
// A call goes out once. What is not idempotent takes a fresh connection that
// is never used again, follows no redirect and cannot be rewound, because
// net/http sends a request again by itself when an idle connection is lost and
// the request looks replayable.
//
// An answer is whole only when the upstream itself has said so: with a matched
// Content-Length or a chunked terminator, and for an event stream after
// `data: [DONE]` as well. A closed connection is never an end.
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
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
)

// Defaults of a Client.
const (
	DefaultMaxAnswer      = 16 << 20 // bytes
	DefaultTimeout        = 60 * time.Second
	DefaultConnectTimeout = time.Second
	DefaultPollTimeout    = 2 * time.Second
)

const (
	maxHeaderBytes = 64 << 10
	maxIdleConns   = 64
	// idleTimeout is shorter than the time after which common engines close an
	// idle connection, so that a call seldom meets one that is being closed.
	idleTimeout = 2 * time.Second
)

// Client speaks to one upstream. Its fields are set before use.
type Client struct {
	Address fleet.Address
	// MaxAnswer is the most bytes of an answer's body; zero for DefaultMaxAnswer.
	MaxAnswer int64
	// Timeout is the longest silence before the head and between two reads of
	// the body; zero for DefaultTimeout. The context bounds the whole call.
	Timeout time.Duration
	// ConnectTimeout bounds making a connection; zero for DefaultConnectTimeout.
	ConnectTimeout time.Duration
	// PollTimeout bounds Health, Load and Order; zero for DefaultPollTimeout.
	PollTimeout time.Duration
	// Dial makes a connection; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once     sync.Once
	pooled   *http.Transport
	unpooled *http.Transport
	instance atomic.Pointer[string]
}

var errSilent = errors.New("upstream silent for too long")

func (c *Client) initTransports() {
	c.pooled = c.transport()
	c.unpooled = c.transport()
	c.unpooled.DisableKeepAlives = true
}

func (c *Client) transport() *http.Transport {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: orDefault(c.ConnectTimeout, DefaultConnectTimeout)}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &watchedConn{Conn: conn}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// CloseIdle closes the connections that no call uses.
func (c *Client) CloseIdle() {
	c.once.Do(c.initTransports)
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Do sends a request once and hands its answer to the sink as it comes. Once
// ctx ends, the connection is closed at once, which tells the upstream to stop.
func (c *Client) Do(ctx context.Context, r Request, s Sink) Outcome {
	c.once.Do(c.initTransports)
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

// call is one call of Do.
type call struct {
	client       *Client
	request      Request
	sink         Sink
	start        time.Time
	silenceTimer *time.Timer
	timeout      time.Duration
	out          Outcome

	conn             atomic.Pointer[watchedConn]
	reused, answered atomic.Bool
}

func (k *call) run(ctx context.Context) {
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			k.conn.Store(i.Conn.(*watchedConn))
			k.reused.Store(i.Reused)
		},
		GotFirstResponseByte: func() { k.answered.Store(true) },
	})
	h, err := k.request.build(traced, k.client.Address)
	if err != nil {
		k.out.NotRun = true
		k.fail(result.BadHeader, err.Error())
		return
	}
	t := k.client.pooled
	if !k.request.Idempotent {
		t = k.client.unpooled
	}
	resp, err := t.RoundTrip(h)
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

// failWithError says what an error of the connection means.
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
	case k.conn.Load().closedByPeer.Load() || isPeerClose(err) || k.reused.Load() && !k.answered.Load():
		k.out.Died = k.upstreamDied(ctx)
		k.fail(result.UpstreamCutOff, err.Error())
	default:
		k.fail(result.UpstreamBadStream, err.Error())
	}
}

// upstreamDied tells a lost upstream from an idle connection that the upstream closed
// just as the request was sent on it.
func (k *call) upstreamDied(ctx context.Context) bool {
	if !k.reused.Load() || k.answered.Load() {
		return true
	}
	was := k.client.instance.Load()
	h, err := k.client.Health(ctx)
	return err != nil || was == nil || *was != h.Instance
}

func orDefault[T int64 | time.Duration](v, fallback T) T {
	if v == 0 {
		return fallback
	}
	return v
}
