package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/table"
)

// RequestProfile describes one kind of request that a Load sends.
type RequestProfile struct {
	// Class is sent in the header that Load.ClassHeader names, if neither is
	// empty.
	Class table.ClassName
	Key   string
	Model table.ServiceName
	// Share is the weight relative to the other profiles.
	Share table.Weight
	// FirstToken is the maximum time to the first token for a request to meet
	// its target. Zero means no target.
	FirstToken time.Duration
	// MaxTokens is the max_tokens of the request. Zero leaves the length of the
	// answer to the engine.
	MaxTokens int
}

// Load sends OpenAI-style requests to a gateway and checks that each caller
// gets the complete answer to its own request. The send times do not depend on
// the answers (open loop). The check requires the stand-in engine behind the
// gateway.
type Load struct {
	Gateway fleet.Address
	// Rate is the mean number of requests per second. The time between
	// requests is exponentially distributed.
	Rate     float64
	Duration time.Duration
	Profiles []RequestProfile
	// Streamed is the fraction of requests that ask for a stream.
	Streamed float64
	// Concurrency is the maximum number of requests in flight. Requests that
	// are due beyond it are not sent and count as missing their target.
	Concurrency int
	// ClassHeader is the header that names the class.
	ClassHeader string
	Seed        uint64
	// Transport sends the requests. If it is nil, Run creates a transport.
	Transport http.RoundTripper

	mu     sync.Mutex
	report LoadReport
}

// LoadReport is the result of a Load.
type LoadReport struct {
	Classes map[table.ClassName]*ClassReport `json:"classes"`
	// Codes counts the incomplete answers by result code, or by HTTP status if
	// the answer has no code.
	Codes   map[string]int `json:"codes"`
	Seconds float64        `json:"seconds"`
}

// ClassReport is the result for the requests of one class.
type ClassReport struct {
	Due      int `json:"due"`
	NotSent  int `json:"not_sent"`
	Complete int `json:"whole"`
	// Wrong counts the complete answers that belong to another request or lack
	// a part.
	Wrong int `json:"wrong"`
	Met   int `json:"met"`
	// Attainment is the fraction of due requests with a complete and correct
	// answer that met its target.
	Attainment float64 `json:"attainment"`
	// Goodput is the number of tokens per second in answers that met their
	// target.
	Goodput float64 `json:"goodput_tokens_per_second"`
	// FirstTokenP50 and FirstTokenP99 are quantiles over all complete answers,
	// in milliseconds.
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP99 float64 `json:"first_token_p99_ms"`

	tokens      int
	firstTokens []time.Duration
}

type loadRequest struct {
	Model     table.ServiceName `json:"model"`
	MaxTokens int               `json:"max_tokens,omitempty"`
	Stream    bool              `json:"stream,omitempty"`
	Messages  []completionText  `json:"messages"`
}

// Run sends the load and waits until all answers have ended or ctx ends.
func (l *Load) Run(ctx context.Context) (LoadReport, error) { return l.RunUntil(ctx, nil) }

// RunUntil is like Run, but sends no more requests after stop is closed.
func (l *Load) RunUntil(ctx context.Context, stop <-chan struct{}) (LoadReport, error) {
	if l.Rate <= 0 || l.Concurrency <= 0 || len(l.Profiles) == 0 {
		return LoadReport{}, fmt.Errorf("run load: rate, concurrency and profiles must be set")
	}
	if l.Transport == nil {
		t := &http.Transport{MaxIdleConnsPerHost: l.Concurrency, DisableCompression: true}
		defer t.CloseIdleConnections()
		l.Transport = t
	}
	l.report = LoadReport{Classes: map[table.ClassName]*ClassReport{}, Codes: map[string]int{}}
	start := time.Now()
	l.send(ctx, start, stop)
	l.report.Seconds = time.Since(start).Seconds()
	for _, c := range l.report.Classes {
		c.computeRates(l.report.Seconds)
	}
	return l.report, nil
}

func (l *Load) send(ctx context.Context, start time.Time, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(l.Seed, l.Seed))
	slots := make(chan struct{}, l.Concurrency)
	var g sync.WaitGroup
	defer g.Wait()
	due := start
	for n := 0; ; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
		if due.Sub(start) > l.Duration || !waitUntil(ctx, due, stop) {
			return
		}
		p := l.pickProfile(random)
		streamed := random.Float64() < l.Streamed
		select {
		case slots <- struct{}{}:
			g.Go(func() {
				defer func() { <-slots }()
				l.record(p, l.sendOne(ctx, p, n, streamed))
			})
		default:
			l.record(p, loadResult{notSent: true})
		}
	}
}

// waitUntil returns true at the time due, or false if stop is closed or ctx
// ends before.
func waitUntil(ctx context.Context, due time.Time, stop <-chan struct{}) bool {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-stop:
		return false
	case <-ctx.Done():
		return false
	}
}

// pickProfile picks a profile at random, weighted by Share.
func (l *Load) pickProfile(random *rand.Rand) RequestProfile {
	sum := 0
	for _, p := range l.Profiles {
		sum += max(1, int(p.Share))
	}
	at := random.IntN(sum)
	for _, p := range l.Profiles {
		if at -= max(1, int(p.Share)); at < 0 {
			return p
		}
	}
	return l.Profiles[0]
}

// sendOne sends one request and reads its answer.
func (l *Load) sendOne(ctx context.Context, p RequestProfile, n int, streamed bool) loadResult {
	body, err := json.Marshal(loadRequest{
		Model: p.Model, MaxTokens: p.MaxTokens, Stream: streamed,
		Messages: []completionText{{Role: "user", Content: fmt.Sprintf("load %d %d", l.Seed, n)}},
	})
	if err != nil {
		return loadResult{code: "bad_request"}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(l.Gateway)+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return loadResult{code: "bad_request"}
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+p.Key)
	if l.ClassHeader != "" && p.Class != "" {
		r.Header.Set(l.ClassHeader, string(p.Class))
	}
	start := time.Now()
	resp, err := l.Transport.RoundTrip(r)
	if err != nil {
		return loadResult{code: "unreached"}
	}
	defer resp.Body.Close()
	out := readLoadAnswer(resp, start)
	out.correct = out.complete && isExpectedAnswer(body, out.text, p.MaxTokens)
	return out
}

// isExpectedAnswer returns true if the text is the complete answer to the
// body. It does not check the first word, which is the request id set by the
// gateway.
func isExpectedAnswer(body []byte, text string, maxTokens int) bool {
	got := strings.Fields(text)
	if maxTokens > 0 && len(got) != maxTokens || len(got) == 0 {
		return false
	}
	want := AnswerWords(body, "", len(got), 0, 0)
	for i := 1; i < len(got); i++ {
		if got[i] != strings.TrimSpace(want[i]) {
			return false
		}
	}
	return true
}

func (l *Load) record(p RequestProfile, r loadResult) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.report.Classes[p.Class]
	if c == nil {
		c = &ClassReport{}
		l.report.Classes[p.Class] = c
	}
	c.Due++
	switch {
	case r.notSent:
		c.NotSent++
		return
	case !r.complete:
		l.report.Codes[r.code]++
		return
	}
	c.Complete++
	c.firstTokens = append(c.firstTokens, r.firstToken)
	if !r.correct {
		c.Wrong++
	} else if p.FirstToken == 0 || r.firstToken <= p.FirstToken {
		c.Met++
		c.tokens += len(strings.Fields(r.text))
	}
}
