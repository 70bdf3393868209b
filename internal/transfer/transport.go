package transfer

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"jasminewing.dev/jasminewing/internal/upstream"
)

// MaxHeadBytes is the maximum size in bytes of the head of a response, with all interim responses
// before it. The default of net/http is 10 MB, and short lines take several times their text.
const MaxHeadBytes = 64 << 10

// Transport is an HTTP transport that refuses malformed heads of responses. Fields of the embedded
// transport may be set before its use.
type Transport struct{ *http.Transport }

// RoundTrip sends a request and returns the response, or an error if its head is malformed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := upstream.CheckHead(resp); err != nil {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return resp, nil
}

// NewTransport returns a transport that bounds what a faulty process may send in place of a body:
// heads by MaxHeadBytes, chunk extensions and trailers by net/http itself. Bodies are left to the
// caller. dial may be nil.
func NewTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Transport {
	return &Transport{&http.Transport{DialContext: dial, MaxResponseHeaderBytes: MaxHeadBytes}}
}
