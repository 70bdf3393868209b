package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/demo"
	"jasminewing.dev/jasminewing/internal/standin"
	"jasminewing.dev/jasminewing/internal/wire"
)

// startSingleUpstreamFleet starts a gateway, and a sidecar for the given engine, as
// separate processes. Its table has limits that the benchmarks do not reach.
func startSingleUpstreamFleet(b *testing.B, e *standin.Engine) (c *cluster, gateway, sidecar *proc) {
	c = newCluster(b)
	c.edit("upstreams", "draft,1,8,1,", "draft,1,4096,4096,")
	c.edit("accounts", ",500,200,", ",0,,")
	sidecar = c.sidecar("draft_1", "north", c.serve(e), "--max-parked", "8192")
	gateway = c.gateway("gw_1", "north")
	c.awaitReady(sidecar, gateway)
	return c, gateway, sidecar
}

// openStreams opens streamed answers, keeps them open and counts their tokens.
func openStreams(ctx context.Context, g *errgroup.Group, gateway string, streams int, tokens *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	body := `{"model":"draft","stream":true,"max_tokens":100000,"messages":[]}`
	for range streams {
		g.Go(func() error {
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+"/v1/chat/completions", strings.NewReader(body))
			if err != nil {
				return err
			}
			r.Header.Set("Authorization", "Bearer "+demo.MarketKey)
			resp, err := client.Do(r)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			lines := bufio.NewScanner(resp.Body)
			for lines.Scan() {
				if strings.HasPrefix(lines.Text(), "data: ") {
					tokens.Add(1)
				}
			}
			return lines.Err()
		})
	}
}

// BenchmarkStreamScaling measures a gateway and a sidecar with open streams whose
// tokens are 100 ms apart. Run it with -benchtime 1x.
func BenchmarkStreamScaling(b *testing.B) {
	for _, streams := range []int{0, 100, 400, 1600} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			for b.Loop() {
				measureStreams(b, streams)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureStreams(b *testing.B, streams int) {
	c, gateway, sidecar := startSingleUpstreamFleet(b, &standin.Engine{Slots: 4096, TokenGap: 100 * time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g errgroup.Group
	var tokens atomic.Int64
	openStreams(ctx, &g, gateway.callerAddr, streams, &tokens)
	c.await("a token per stream", func() bool { return tokens.Load() >= int64(streams) })
	<-time.After(measureWarmUp)
	before := sidecar.readUsage()
	begin, counted := time.Now(), tokens.Load()
	percent, after := gateway.measureUsage()
	rate := float64(tokens.Load()-counted) / time.Since(begin).Seconds()
	used := sidecar.readUsage()
	sidecarPercent := 100 * (used.cpu - before.cpu) / time.Since(begin).Seconds()
	b.ReportMetric(rate, "tokens/s")
	b.ReportMetric(percent, "gateway-cpu-%")
	b.ReportMetric(after.resident/1e6, "gateway-MB")
	b.ReportMetric(sidecarPercent, "sidecar-cpu-%")
	b.ReportMetric(used.resident/1e6, "sidecar-MB")
	cancel()
	_ = g.Wait()
	gateway.kill()
	sidecar.kill()
}

// BenchmarkParkedScaling measures a gateway and a sidecar while requests are parked
// for an upstream that runs one at a time. Run it with -benchtime 1x.
func BenchmarkParkedScaling(b *testing.B) {
	for _, parked := range []int{0, 100, 400, 1600} {
		b.Run(fmt.Sprintf("parked=%d", parked), func(b *testing.B) {
			for b.Loop() {
				measureParked(b, parked)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureParked(b *testing.B, parked int) {
	c, gateway, sidecar := startSingleUpstreamFleet(b, &standin.Engine{Slots: 1, TokenGap: 100 * time.Millisecond})
	c.edit("upstreams", "draft,1,4096,4096,", "draft,1,1,1,")
	c.edit("classes", "1.6s,29ms,30s,", "1.6s,29ms,5m,")
	c.await("the edited limit", func() bool { return sidecar.metric("jasminewing_upstream_limit") == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g errgroup.Group
	var tokens atomic.Int64
	openStreams(ctx, &g, gateway.callerAddr, parked+1, &tokens)
	c.await("the parked requests", func() bool { return int(sidecar.metric("jasminewing_upstream_parked")) == parked })
	<-time.After(measureWarmUp)
	before := sidecar.readUsage()
	begin := time.Now()
	percent, after := gateway.measureUsage()
	used := sidecar.readUsage()
	b.ReportMetric(percent, "gateway-cpu-%")
	b.ReportMetric(after.resident/1e6, "gateway-MB")
	b.ReportMetric(100*(used.cpu-before.cpu)/time.Since(begin).Seconds(), "sidecar-cpu-%")
	b.ReportMetric(used.resident/1e6, "sidecar-MB")
	cancel()
	_ = g.Wait()
	gateway.kill()
	sidecar.kill()
}

// BenchmarkRequestScaling measures a gateway and a sidecar at several rates of
// requests for unstreamed answers of 16 tokens. Run it with -benchtime 1x.
func BenchmarkRequestScaling(b *testing.B) {
	for _, rate := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			for b.Loop() {
				measureRequests(b, rate)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureRequests(b *testing.B, rate int) {
	_, gateway, sidecar := startSingleUpstreamFleet(b, &standin.Engine{Slots: 4096})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var done, failed atomic.Int64
	var g errgroup.Group
	g.SetLimit(256)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(time.Second / time.Duration(rate))
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				g.Go(func() error {
					got := gateway.send(request{path: "/v1/chat/completions", body: `{"model":"draft","max_tokens":16,"messages":[]}`})
					if got.status != http.StatusOK {
						failed.Add(1)
					}
					done.Add(1)
					return nil
				})
			}
		}
	}()
	<-time.After(measureWarmUp)
	before := sidecar.readUsage()
	begin, counted := time.Now(), done.Load()
	percent, _ := gateway.measureUsage()
	seconds := time.Since(begin).Seconds()
	used := sidecar.readUsage()
	b.ReportMetric(float64(done.Load()-counted)/seconds, "requests/s")
	b.ReportMetric(percent, "gateway-cpu-%")
	b.ReportMetric(100*(used.cpu-before.cpu)/seconds, "sidecar-cpu-%")
	cancel()
	<-ended
	assert.NilError(b, g.Wait())
	assert.Equal(b, failed.Load(), int64(0))
	gateway.kill()
	sidecar.kill()
}

// BenchmarkWatcherScaling measures a sidecar without requests that several gateways
// watch. Run it with -benchtime 1x.
func BenchmarkWatcherScaling(b *testing.B) {
	for _, watchers := range []int{3, 12, 25, 60} {
		b.Run(fmt.Sprintf("watchers=%d", watchers), func(b *testing.B) {
			for b.Loop() {
				measureWatchers(b, watchers)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureWatchers(b *testing.B, watchers int) {
	c := newCluster(b)
	sidecar := c.sidecar("draft_1", "north", c.serve(&standin.Engine{Slots: 8}))
	c.awaitReady(sidecar)
	d := &wire.Dialer{Secret: testSecret}
	defer d.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var reports atomic.Int64
	var g errgroup.Group
	for range watchers {
		g.Go(func() error {
			stream, err := wire.NewDRPCWorkClient(d.To(string(sidecar.vm.Address))).Watch(ctx, &wire.WatchRequest{})
			if err != nil {
				return err
			}
			for {
				if _, err := stream.Recv(); err != nil {
					return nil
				}
				reports.Add(1)
			}
		})
	}
	<-time.After(measureWarmUp)
	begin, heard := time.Now(), reports.Load()
	percent, after := sidecar.measureUsage()
	b.ReportMetric(float64(reports.Load()-heard)/time.Since(begin).Seconds(), "reports/s")
	b.ReportMetric(percent, "cpu-%")
	b.ReportMetric(after.resident/1e6, "resident-MB")
	cancel()
	assert.NilError(b, g.Wait())
	sidecar.kill()
}
