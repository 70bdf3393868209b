package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// load sends requests to gateways at a fixed rate.
type load struct {
	gateways []*gateway
	// perSecond is the rate for each gateway. Each fourth request may run once only.
	perSecond float64
	deadline  time.Duration
	record    *record

	next    atomic.Int64
	mu      sync.Mutex
	answers map[string]int
}

const host = "ficu95.example"

// run sends requests until ctx is done, and waits for their answers.
func (l *load) run(ctx context.Context) {
	l.answers = map[string]int{}
	var all sync.WaitGroup
	for _, g := range l.gateways {
		all.Go(func() { l.runAt(ctx, g) })
	}
	all.Wait()
}

func (l *load) runAt(ctx context.Context, g *gateway) {
	d := net.Dialer{Timeout: time.Second}
	client := &http.Client{Transport: &http.Transport{DialContext: d.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 20, IdleConnTimeout: 8 * time.Second}}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / l.perSecond))
	defer ticker.Stop()
	var all sync.WaitGroup
	defer all.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		all.Go(func() { l.send(client, g) })
	}
}

func (l *load) send(client *http.Client, g *gateway) {
	n := l.next.Add(1)
	id := fmt.Sprintf("%016x", n)
	method, path, body := http.MethodGet, fmt.Sprintf("/look/%d", n), io.Reader(http.NoBody)
	if n%4 == 0 {
		method, path, body = http.MethodPost, fmt.Sprintf("/book/%d", n), strings.NewReader("lot "+id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+g.caller()+path, body)
	if err != nil {
		return
	}
	q.Host = host
	q.Header.Set("X-Attempt-Id", id)
	q.Header.Set("X-Deadline-Remaining", fmt.Sprint(l.deadline.Milliseconds()))
	q.Header.Set("X-Key", "k")
	l.record.add("sent", "request", id, "method", method, "gateway", g.name)
	outcome := ""
	r, err := client.Do(q)
	if err != nil {
		outcome = "no answer"
	} else {
		b, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		outcome = fmt.Sprint(r.StatusCode)
		if err != nil {
			outcome += " cut"
		} else if r.StatusCode == http.StatusOK && string(b) != "answer to "+id {
			outcome += " wrong"
		}
	}
	l.record.add("answered", "request", id, "outcome", outcome)
	l.mu.Lock()
	l.answers[method+" "+outcome]++
	l.mu.Unlock()
}
