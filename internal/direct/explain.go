package direct

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"jasminewing.dev/jasminewing/internal/memory"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

// maxExplainBytes is the maximum size of a request to be explained. Its body is not needed, as
// its length is enough.
const maxExplainBytes = 64 << 10

// Explanation is the answer of the explain endpoint. Times are in milliseconds.
type Explanation struct {
	Service route.ServiceName `json:"service"`
	Route   string            `json:"route"`
	Rank    route.Rank        `json:"rank"`
	// Upstream is the upstream that the request would be sent to, or empty if it would
	// wait, and LeavesFor why that is in another data centre, if it is.
	Upstream  route.UpstreamID `json:"upstream"`
	LeavesFor string           `json:"leaves_for,omitempty"`
	// Ahead is the number of waiting requests that would be placed first.
	Ahead int `json:"ahead"`
	// Share is the share of requests without room in their data centre that may leave it.
	Share      float64              `json:"crossing_share"`
	Candidates []ExplainedCandidate `json:"candidates"`
}

// ExplainedCandidate is an upstream of the service. The cost is the sum of the wait and the
// parts after it.
type ExplainedCandidate struct {
	Upstream      route.UpstreamID `json:"upstream"`
	DataCentre    route.DataCentre `json:"data_centre"`
	InFlight      int              `json:"in_flight"`
	WaitingTokens int              `json:"waiting_tokens"`
	Cost          int64            `json:"cost_ms"`
	Wait          int64            `json:"wait_ms"`
	Prompt        int64            `json:"prompt_ms"`
	Crossing      int64            `json:"crossing_ms"`
	Failures      int64            `json:"failures_ms"`
	Other         int64            `json:"other_ms"`
	LeftOut       string           `json:"left_out,omitempty"`
}

// ServeExplain answers where the request in the body of r, in the form of HTTP/1.1, would be
// sent if it arrived now. Nothing is sent, and no decision changes. Requests that are suspected
// of crashing upstreams are explained as if they were not.
func (g *Gateway) ServeExplain(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	x, err := g.explain(io.LimitReader(r.Body, maxExplainBytes))
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		code := result.CodeOf(err)
		body, _ := json.Marshal(code.Answer(result.DetailOf(err), true, ""))
		w.WriteHeader(http.StatusUnprocessableEntity)
		_, _ = w.Write(body)
		return
	}
	_ = json.NewEncoder(w).Encode(x)
}

func (g *Gateway) explain(in io.Reader) (*Explanation, error) {
	r, err := http.ReadRequest(bufio.NewReader(in))
	if err != nil {
		return nil, result.Errorf(result.BadBody, "read request: %w", err)
	}
	c, err := g.Callers.Read(r)
	if err != nil {
		return nil, err
	}
	v := g.Catalog.View()
	if v.Table == nil {
		return nil, result.Errorf(result.NotReady, "no table yet")
	}
	if err := c.resolveRoute(v.Table, time.Now()); err != nil {
		return nil, err
	}
	c.identity = &wire.Offer{}
	q := (&proxiedRequest{gateway: g, call: c, body: &memory.Buffer{}}).placementRequest()
	q.Bytes += int(max(r.ContentLength, 0))
	x := g.Scheduler.Explain(&q)
	out := &Explanation{
		Service: c.service, Route: c.route.Name, Rank: c.rank, Upstream: x.Upstream, Ahead: x.Ahead, Share: x.Share,
	}
	if x.Crossing != placement.Stayed {
		out.LeavesFor = x.Crossing.String()
	}
	for _, ca := range x.Candidates {
		out.Candidates = append(out.Candidates, ExplainedCandidate{
			Upstream: ca.Upstream, DataCentre: ca.DataCentre, InFlight: ca.Load.InFlight, WaitingTokens: ca.Load.WaitingTokens,
			Cost: ca.Cost.Milliseconds(), Wait: ca.Wait.Milliseconds(), Prompt: ca.Prompt.Milliseconds(),
			Crossing: ca.Crossing.Milliseconds(), Failures: ca.Failures.Milliseconds(), Other: ca.Other.Milliseconds(),
			LeftOut: ca.LeftOut,
		})
	}
	return out, nil
}
