// Package platform reads the platform's services over HTTP: the configuration
// service and the VM list. It writes nothing there.
//
// # Protocol
//
//	GET /v1/watch?after=REVISION&wait_ms=N
//	    200 {"revision":N,"changed":[{"name":"accounts_00","revision":N}]}
//	    lists every value whose revision is above after: at once if there are
//	    any, else after the wait
//	GET /v1/values/NAME
//	    200 with the value and the header Revision, or 404
//	GET /v1/vms?after=VERSION&wait_ms=N
//	    200 with the VM list if it is newer, else 304 after the wait
//
// A status of 429 says that the service takes no more calls now.
//
// # Usage
//
//	c := &platform.Config{Client: platform.Client{Base: "http://10.0.0.1:8500"}}
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

	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	// MaxResponseBytes bounds an answer; a value holds up to a megabyte.
	MaxResponseBytes = 1 << 20
	// connectTimeout bounds the making of a connection.
	connectTimeout = 500 * time.Millisecond
	// responseTimeout bounds a call, beyond the time that it may wait.
	responseTimeout = time.Second
	// maxIdleConns bounds the idle connections to a service.
	maxIdleConns = 2
)

// Client calls one of the platform's services. Set Base before use.
type Client struct {
	// BaseURL is the service's URL without a path.
	BaseURL string

	once   sync.Once
	client *http.Client
}

// response is a whole response.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (c *Client) init() {
	c.once.Do(func() {
		d := &net.Dialer{Timeout: connectTimeout}
		c.client = &http.Client{
			Transport: &http.Transport{
				DialContext:         d.DialContext,
				MaxIdleConnsPerHost: maxIdleConns,
				IdleConnTimeout:     time.Minute,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	})
}

// get makes a call. Any status but those wanted is an error.
func (c *Client) get(ctx context.Context, path string, query url.Values, wait time.Duration, want ...int) (response, error) {
	c.init()
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	u := c.BaseURL + path
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return response{}, result.Errorf(result.BadSetting, "call %s: %w", path, err)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return response{}, result.Errorf(result.ConfigUnreached, "call %s: %w", path, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	if err != nil {
		return response{}, result.Errorf(result.ConfigUnreached, "read %s: %w", path, err)
	}
	if len(b) > MaxResponseBytes {
		return response{}, result.Errorf(result.TableTooLarge, "read %s: over %d bytes", path, MaxResponseBytes)
	}
	return checkStatus(path, response{resp.StatusCode, resp.Header, b}, want)
}

func checkStatus(path string, r response, want []int) (response, error) {
	for _, s := range want {
		if r.status == s {
			return r, nil
		}
	}
	switch r.status {
	case http.StatusNotFound:
		return r, result.Errorf(result.NotFound, "call %s: none", path)
	case http.StatusTooManyRequests:
		return r, result.Errorf(result.CallBudget, "call %s: the service takes no more calls now", path)
	}
	return r, result.Errorf(result.ConfigUnreached, "call %s: status %d", path, r.status)
}

func longPollQuery(after uint64, wait time.Duration) url.Values {
	return url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
}

func parseUint(what, s string) (uint64, error) {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s %q: %w", what, s, err)
	}
	return n, nil
}
