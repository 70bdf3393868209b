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

// Health is the state that an engine reports.
type Health struct {
	// Up reports that the engine accepts requests.
	Up bool
	// Draining reports that the engine finishes running requests and accepts no
	// new ones.
	Draining bool
	// Instance changes when the engine restarts. It is empty if the engine does
	// not report it.
	Instance string
	// ReportsLoad reports whether the engine reports its loaded model.
	ReportsLoad bool
	// Loaded is the name of the loaded model, or empty if none is loaded.
	Loaded table.LoadName
}

// Load is the load that an engine reports. It may lag behind.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// FencingToken is the number by which an engine tells an outdated order from a
// new one.
type FencingToken uint64

// Order is an order to the engine, such as to load other weights.
type Order struct {
	Order   string       `json:"order"`
	Fencing FencingToken `json:"fencing"`
}

type healthResponse struct {
	Status   string `json:"status"`
	Instance string `json:"instance"`
	// Loaded is nil if the engine does not report it.
	Loaded *table.LoadName `json:"loaded"`
}

// Health requests the health of the upstream. An upstream that answers 404, as
// plain services without a health endpoint may, is considered up. Health
// returns an error if the upstream does not answer or the answer is invalid.
func (c *Client) Health(ctx context.Context) (Health, error) {
	var a healthResponse
	err := c.poll(ctx, http.MethodGet, "/health", nil, &a)
	if result.CodeOf(err) == result.NotFound {
		return Health{Up: true}, nil
	}
	if err != nil {
		return Health{}, err
	}
	h := Health{Up: a.Status == "ok", Draining: a.Status == "draining", Instance: a.Instance}
	if a.Loaded != nil {
		h.ReportsLoad, h.Loaded = true, *a.Loaded
	}
	return h, nil
}

// Load requests the load of the engine.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	err := c.poll(ctx, http.MethodGet, "/load", nil, &l)
	return l, err
}

// Order sends an order to the engine once. An error with the code
// result.UpstreamRefused means that the engine has seen a higher fencing token.
func (c *Client) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("give order: %w", err)
	}
	return c.poll(ctx, http.MethodPost, "/orders", body, nil)
}

// poll sends one request and decodes the JSON response into answer. It reads
// the body only if the status is 200 and answer is not nil.
func (c *Client) poll(ctx context.Context, method, path string, body []byte, answer any) error {
	c.once.Do(c.initTransport)
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
	resp, err := c.transport.RoundTrip(h)
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
