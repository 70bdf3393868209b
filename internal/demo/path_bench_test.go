package demo

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	benchTokens = 32
	benchBody   = `{"model":"draft","stream":true,"max_tokens":32,"messages":[{"role":"user","content":"Where?"}]}`
)

// startFastEngines starts the demo with engines that answer without delay and
// have a limit of 256 requests, and with the account market without a rate
// limit.
func startFastEngines(b testing.TB) *Deployment {
	directory := b.TempDir()
	assert.NilError(b, WriteTable(directory))
	path := filepath.Join(directory, "upstreams.csv")
	rows, err := os.ReadFile(path)
	assert.NilError(b, err)
	fast := strings.ReplaceAll(string(rows), "draft,1,8,1,", "draft,1,256,256,")
	assert.NilError(b, os.WriteFile(path, []byte(fast), 0o600))
	path = filepath.Join(directory, "accounts.csv")
	rows, err = os.ReadFile(path)
	assert.NilError(b, err)
	unlimited := strings.ReplaceAll(string(rows), ",500,200,", ",0,,")
	assert.NilError(b, os.WriteFile(path, []byte(unlimited), 0o600))
	d := &Deployment{TableDirectory: directory, Logs: io.Discard, FastEngines: true}
	assert.NilError(b, d.Start(context.Background()))
	b.Cleanup(func() { assert.NilError(b, d.Stop(context.Background())) })
	return d
}

// answerTimes holds the latencies of one streamed answer, as its caller sees
// them. For a booking only firstToken is set, to the time of the whole answer.
type answerTimes struct {
	firstToken time.Duration
	// chunkGap is the mean time between events after the first one.
	chunkGap time.Duration
}

func requestStream(client *http.Client, address string) (answerTimes, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(benchBody))
	if err != nil {
		return answerTimes{}, err
	}
	r.Header.Set("Authorization", "Bearer "+MarketKey)
	begin := time.Now()
	resp, err := client.Do(r)
	if err != nil {
		return answerTimes{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return answerTimes{}, fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	var t answerTimes
	events := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), "data: ") {
			continue
		}
		events++
		if events == 1 {
			t.firstToken = time.Since(begin)
		}
	}
	if events != benchTokens+1 {
		return answerTimes{}, fmt.Errorf("%d events", events)
	}
	t.chunkGap = (time.Since(begin) - t.firstToken) / benchTokens
	return t, lines.Err()
}

// BenchmarkPath compares requests sent directly to the upstream with requests
// sent through a gateway and a sidecar. Each round sends both, one after the
// other.
func BenchmarkPath(b *testing.B) {
	d := startFastEngines(b)
	direct := d.upstreamAddresses["draft_1"]
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	var plain, routed []answerTimes
	for b.Loop() {
		t, err := requestStream(client, direct)
		assert.NilError(b, err)
		plain = append(plain, t)
		t, err = requestStream(client, d.GatewayAddresses()[0])
		assert.NilError(b, err)
		routed = append(routed, t)
	}
	reportQuantiles(b, "first", plain, routed, func(t answerTimes) time.Duration { return t.firstToken })
	reportQuantiles(b, "chunk", plain, routed, func(t answerTimes) time.Duration { return t.chunkGap })
	b.ReportMetric(0, "ns/op")
}

func reportQuantiles(b *testing.B, name string, plain, routed []answerTimes, of func(answerTimes) time.Duration) {
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		p, r := quantile(plain, q.at, of), quantile(routed, q.at, of)
		b.ReportMetric(micros(p), "direct-"+name+"-"+q.name+"-us")
		b.ReportMetric(micros(r), "routed-"+name+"-"+q.name+"-us")
		b.ReportMetric(micros(r-p), "added-"+name+"-"+q.name+"-us")
	}
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

func quantile(ts []answerTimes, at float64, of func(answerTimes) time.Duration) time.Duration {
	ds := make([]time.Duration, 0, len(ts))
	for _, t := range ts {
		ds = append(ds, of(t))
	}
	slices.Sort(ds)
	return ds[int(float64(len(ds)-1)*at)]
}

// BenchmarkThroughput measures complete answers per second through one
// gateway. The callers, gateways, sidecars and engines share one process.
func BenchmarkThroughput(b *testing.B) {
	d := startFastEngines(b)
	const callers = 64
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	body := strings.Replace(benchBody, `"stream":true`, `"stream":false`, 1)
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	b.ResetTimer()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 {
				if err := requestUnstreamed(client, d.GatewayAddresses()[0], body); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

func requestUnstreamed(client *http.Client, address, body string) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+MarketKey)
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	return err
}
