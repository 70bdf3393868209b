package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const maxPollBytes = 64 << 10

// Health is an engine's word on itself.
type Health struct {
	// Up says that it takes requests.
	Up bool
	// Draining says that it finishes what runs and takes nothing new.
	Draining bool
	// Instance changes when the engine restarts; empty if it does not say.
	Instance string
	// ReportsLoaded says that it tells what it holds loaded.
	ReportsLoaded bool
	// Loaded is what it holds loaded; empty for nothing.
	Loaded table.LoadName
}

// Load is an engine's report of its load, which may lag.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// FencingToken is the number by which an engine tells an old order from a new one.
type FencingToken uint64

// Order is an order to the engine, such as a change of weights.
type Order struct {
	Order   string       `json:"order"`
	Fencing FencingToken `json:"fencing"`
}

type healthResponse struct {
	Status   string `json:"status"`
	Instance string `json:"instance"`
	// Loaded is nil of an engine that does not tell.
	Loaded *table.LoadName `json:"loaded"`
}

// Health asks the upstream how it is. One that answers but has no such page, as
// plain services may, is up. An error says that it did not answer, or not with
// what is expected.
func (c *Client) Health(ctx context.Context) (Health, error) {
	var a healthResponse
	err := c.poll(ctx, http.MethodGet, "/health", nil, &a)
	if result.CodeOf(err) == result.NotFound {
		return Health{Up: true}, nil
	}
	if err != nil {
		return Health{}, err
	}
	c.instance.Store(&a.Instance)
	h := Health{Up: a.Status == "ok", Draining: a.Status == "draining", Instance: a.Instance}
	if a.Loaded != nil {
		h.ReportsLoaded, h.Loaded = true, *a.Loaded
	}
	return h, nil
}

// Load asks the engine for its load.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	err := c.poll(ctx, http.MethodGet, "/load", nil, &l)
	return l, err
}

// Order gives the engine an order, once. An error with the code UpstreamRefused
// says that the engine has seen a higher fencing number.
func (c *Client) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("give order: %w", err)
	}
	return c.poll(ctx, http.MethodPost, "/orders", body, nil)
}

// poll makes one small call. Bodies are only read for answers of status 200.
func (c *Client) poll(ctx context.Context, method, path string, body []byte, answer any) error {
	c.once.Do(c.initTransports)
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.PollTimeout, DefaultPollTimeout))
	defer cancel()
	h, err := http.NewRequestWithContext(ctx, method, "http://"+string(c.Address)+path, onceReader{bytes.NewReader(body)})
	if err != nil {
		return fmt.Errorf("ask %s: %w", path, err)
	}
	h.ContentLength = int64(len(body))
	if len(body) == 0 {
		h.Body = http.NoBody
	} else {
		h.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.unpooled.RoundTrip(h)
	if err != nil {
		return result.Errorf(result.UpstreamUnreached, "ask %s: %w", path, err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return result.Errorf(result.UpstreamRefused, "ask %s: the upstream holds a higher number", path)
	case resp.StatusCode == http.StatusNotFound:
		return result.Errorf(result.NotFound, "ask %s: the upstream has no such page", path)
	case resp.StatusCode != http.StatusOK:
		return result.Errorf(result.UpstreamUnhealthy, "ask %s: status %d", path, resp.StatusCode)
	case answer == nil:
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPollBytes)).Decode(answer); err != nil {
		return result.Errorf(result.UpstreamUnhealthy, "ask %s: %w", path, err)
	}
	return nil
}
