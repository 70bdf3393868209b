package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// partsMemoryMB is the memory of the smallest machines of a deployment in force, and
	// partsEngines and partsTokens are its engines and the memory of each in tokens.
	partsMemoryMB, partsEngines, partsTokens = 144, 43, 1_035_958
	// promptParts is the number of parts of a prompt, which makes a head of under 16,384 bytes,
	// and partTokens the tokens of each.
	promptParts, partTokens = 1250, 16
	partsRate               = 100
	partsFor                = 80 * time.Second
)

// playManyParts lets clients send prompts that they list in blocks of 16 tokens, and without
// trouble the same prompts in four parts. The stand-in of the platform ends a process that exceeds
// the memory of its machine, as the pages say. Broken: a process exceeds it, or more than three
// requests that had been passed on end with a closed connection and no answer.
func playManyParts(p *play) (bool, error) {
	p.store.put("op/config", llmConfig(128, partsTokens))
	begun := &sync.Map{}
	for n := range partsEngines {
		_, err := p.addReplica("pool", fmt.Sprintf("z%d", n%2), 128, func(r *replica, w http.ResponseWriter, q *http.Request) {
			begun.Store(q.Header.Get("X-Attempt-Id"), r.name())
			r.stream(w, q, 300*time.Millisecond, 50*time.Millisecond, 7)
		})
		if err != nil {
			return false, err
		}
	}
	if err := p.addGateways(2, fleet{memoryMB: partsMemoryMB, seeds: 2, zones: []string{"z0", "z1"}}); err != nil {
		return false, err
	}
	for _, g := range p.gateways {
		if err := g.start(); err != nil {
			return false, err
		}
	}
	if err := awaitReady(p.gateways, 10*time.Second); err != nil {
		return false, err
	}
	var over, lost, served, other atomic.Int64
	stop := make(chan struct{})
	var watching sync.WaitGroup
	for _, g := range p.gateways {
		watching.Go(func() { p.limitMemory(g, partsMemoryMB, &over, stop) })
	}
	free := make(chan *client, 400)
	for range cap(free) {
		free <- newClient()
	}
	var sending sync.WaitGroup
	tick := time.NewTicker(time.Second / partsRate)
	defer tick.Stop()
	begin := time.Now()
	for n := 0; time.Since(begin) < partsFor && over.Load() < 4; n++ {
		<-tick.C
		c, g := <-free, p.gateways[n%len(p.gateways)]
		sending.Go(func() {
			defer func() { free <- c }()
			id := newAttempt()
			a := c.send(g, id, request{
				method: http.MethodPost, host: llmHost, path: "/chat/2f", body: "{}", timeout: 10 * time.Second,
				header: map[string]string{
					"X-Key": llmKey, "X-Model": "m", "X-Token-Count": fmt.Sprintf("%d,40", promptParts*partTokens),
					"X-Prompt-Prefix": p.prompt(n),
				},
			})
			server, ran := begun.Load(id)
			switch {
			case a.err == nil && a.status == http.StatusOK:
				served.Add(1)
			case a.status == 0 && ran:
				lost.Add(1)
				p.record("%s to %s was passed on to %v, and its connection was closed without an answer", id, g.name, server)
			default:
				other.Add(1)
			}
		})
	}
	sending.Wait()
	close(stop)
	watching.Wait()
	p.record("served %d, lost %d, other ends %d; memory exceeded %d times", served.Load(), lost.Load(), other.Load(), over.Load())
	return over.Load() > 0 || lost.Load() > 3, nil
}

// prompt returns the list of the parts of a request's prompt. Two requests each share all parts
// but the last, which is the request's own.
func (p *play) prompt(n int) string {
	document, count, tokens := n/4*2+n%2, promptParts, partTokens
	if !p.trouble {
		count, tokens = 4, promptParts*partTokens/4
	}
	var b strings.Builder
	for part := range count - 1 {
		fmt.Fprintf(&b, "%08x:%d,", 0x10000000+document*promptParts+part, tokens)
	}
	fmt.Fprintf(&b, "%08x:%d", 0xf0000000+n, tokens)
	return b.String()
}

// limitMemory ends the process of a gateway each time that it exceeds the memory of its machine,
// and starts it again, until stop is closed. It records the memory every five seconds.
func (p *play) limitMemory(g *gateway, limit float64, over *atomic.Int64, stop chan struct{}) {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		mb := g.memoryMB()
		if n%50 == 0 {
			p.record("%s holds %.0f MB", g.name, mb)
		}
		if mb <= limit {
			continue
		}
		over.Add(1)
		p.record("%s holds %.0f MB, over the %.0f MB of its machine, and is killed", g.name, mb, limit)
		g.kill()
		time.Sleep(500 * time.Millisecond)
		if err := g.start(); err != nil {
			p.record("%s: %v", g.name, err)
		}
	}
}
