// Package platform is a read-only HTTP client of the platform's configuration
// service and VM list.
//
// # Protocol
//
//	GET /v1/watch?after=REVISION&wait_ms=N
//	    200 {"revision":N,"changed":[{"name":"accounts_00","revision":N}]}
//	    lists every value whose revision is above after: immediately if there
//	    are any, otherwise after the wait
//	GET /v1/values/NAME
//	    200 with the value and the header Revision, or 404
//	GET /v1/vms?after=VERSION&wait_ms=N
//	    200 with the VM list if it is newer, otherwise 304 after the wait
//
// A service that was restored from a copy gives its revisions or versions out again. It
// counts the times that it was restored in the header Era of all its responses; no header
// means 0. A call has the era of its REVISION or VERSION as era=N unless that is 0. If the
// service is in another era, it responds with every value or the VM list immediately.
//
// A status of 429 means that the service accepts no more calls at present.
//
// # Usage
//
//	c := &platform.Config{Client: platform.Client{BaseURL: "http://10.0.0.1:8500"}}
//	revision, changed, err := c.Watch(ctx, 12, time.Second)
package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"jasminewing.dev/jasminewing/internal/transfer"
	"jasminewing.dev/jasminewing/internal/upstream"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// MaxResponseBytes is the maximum size of a response body. The size of a value
	// is up to one megabyte.
	MaxResponseBytes = 1 << 20
	// connectTimeout bounds the time to establish a connection.
	connectTimeout = 500 * time.Millisecond
	// responseTimeout bounds the time until a response begins, in addition to the
	// time that the call asks the service to wait, and the time without a further
	// byte of it.
	responseTimeout = time.Second
	// maxIdleConns bounds the number of idle connections to a service.
	maxIdleConns = 2
)

// Client calls one of the platform's services. BaseURL must be set before use.
type Client struct {
	// BaseURL is the URL of the service without a path.
	BaseURL string

	once   sync.Once
	client *http.Client
}

// response is an HTTP response whose body was read completely.
type response struct {
	status int
	header http.Header
	body   []byte
	// endMarked reports that the response marks its own end. Otherwise the body may have
	// been cut where the connection ended.
	endMarked bool
}

func (c *Client) init() {
	c.once.Do(func() {
		d := &net.Dialer{Timeout: connectTimeout}
		transport := transfer.NewTransport(d.DialContext)
		transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = maxIdleConns, time.Minute
		c.client = &http.Client{
			Transport:     transport,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	})
}

// get sends a GET request. A status that is not among want is an error.
func (c *Client) get(ctx context.Context, path string, query url.Values, wait time.Duration, want ...int) (response, error) {
	c.init()
	t := transfer.Start(ctx, transfer.Limits{Response: wait + responseTimeout, Stall: responseTimeout})
	defer t.End()
	u := c.BaseURL + path
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, u, nil)
	if err != nil {
		return response{}, result.Errorf(result.BadSetting, "call %s: %w", path, err)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return response{}, result.Errorf(result.ConfigUnreached, "call %s: %w", path, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(t.Reader(resp.Body), MaxResponseBytes+1))
	if err != nil {
		return response{}, result.Errorf(result.ConfigUnreached, "read %s: %w", path, err)
	}
	if len(b) > MaxResponseBytes {
		return response{}, result.Errorf(result.TableTooLarge, "read %s: response is larger than %d bytes", path, MaxResponseBytes)
	}
	// A compressed body has an end mark of its own.
	endMarked := resp.Uncompressed || upstream.FramingOf(resp) != upstream.FramedByClose
	return checkStatus(path, response{resp.StatusCode, resp.Header, b, endMarked}, want)
}

func checkStatus(path string, r response, want []int) (response, error) {
	for _, s := range want {
		if r.status == s {
			return r, nil
		}
	}
	switch r.status {
	case http.StatusNotFound:
		return r, result.Errorf(result.NotFound, "call %s: not found", path)
	case http.StatusTooManyRequests:
		return r, result.Errorf(result.CallBudget, "call %s: the service accepts no more calls at present", path)
	}
	return r, result.Errorf(result.ConfigUnreached, "call %s: status %d", path, r.status)
}

// join returns the revision with a number of the response and the era of its header Era.
func (r response) join(number uint64) (uint64, error) {
	var era uint64
	if s := r.header.Get("Era"); s != "" {
		var err error
		if era, err = parseUint("header Era", s); err != nil {
			return 0, err
		}
	}
	return table.Era(era).Join(number)
}

func longPollQuery(after uint64, wait time.Duration) url.Values {
	era, number := table.Split(after)
	q := url.Values{
		"after":   {strconv.FormatUint(number, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	if era > 0 {
		q.Set("era", strconv.FormatUint(uint64(era), 10))
	}
	return q
}

func parseUint(what, s string) (uint64, error) {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s %q: %w", what, s, err)
	}
	return n, nil
}
