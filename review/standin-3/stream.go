package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// streamRun is the work of an engine on a request.
type streamRun struct {
	engine, request string
	begun, ended    time.Time
	// from is the number of the first event.
	from int
}

// engine is a stand-in for a model replica. It answers with a stream of events.
type engine struct {
	id, service, zone, address string
	// first is the time to the first event, and gap that between two events.
	first, gap time.Duration
	events     int
	// stays means that a run goes on when its connection has been closed.
	stays  bool
	store  *store
	record *record

	mu   sync.Mutex
	slow float64
	runs []*streamRun
}

func (e *engine) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address, e.slow = l.Addr().String(), 1
	born := time.Now().UnixMilli()
	go func() { _ = http.Serve(l, e) }()
	e.store.put("servers/"+e.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"phase":"combined","models":[{"name":"m","version":1,"adapters":[]}],"sequence":1,"born":%d}`,
		e.service, e.address, e.zone, born))
	return nil
}

// setSlow makes all work take so many times as long.
func (e *engine) setSlow(x float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = x
}

func (e *engine) takes(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(d) * e.slow)
}

// ServeHTTP runs a request.
func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Attempt-Id")
	_, _ = io.Copy(io.Discard, q.Body)
	w.Header().Set("X-Replica-Id", e.id)
	w.Header().Set("X-Attempt-Id", id)
	if expected := q.Header.Get("X-Expected-Replica"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	from := 1
	_, _ = fmt.Sscan(q.Header.Get("Last-Event-Id"), &from)
	if q.Header.Get("Last-Event-Id") != "" {
		from++
	}
	var left float64
	_, _ = fmt.Sscan(q.Header.Get("X-Deadline-Remaining"), &left)
	// A replica stops work at the deadline that it was given.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(q.Context()), time.Duration(left*float64(time.Millisecond)))
	defer cancel()
	if !e.stays {
		stop := context.AfterFunc(q.Context(), cancel)
		defer stop()
	}
	run := &streamRun{engine: e.id, request: id, begun: time.Now(), from: from}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	e.record.add("run", "replica", e.id, "request", id, "from", from)
	made := e.stream(ctx, w, id, from)
	e.mu.Lock()
	run.ended = time.Now()
	e.mu.Unlock()
	e.record.add("end", "replica", e.id, "request", id, "events", made, "caller_left", q.Context().Err() != nil)
}

func (e *engine) stream(ctx context.Context, w http.ResponseWriter, id string, from int) (made int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Replica-Signature", "s."+e.id+"."+id)
	wait := e.first
	for n := from; n <= e.events; n++ {
		select {
		case <-ctx.Done():
			return made
		case <-time.After(e.takes(wait)):
		}
		wait = e.gap
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id)
		_ = http.NewResponseController(w).Flush()
		made++
	}
	return made
}

// playSlow plays a replica that turns slow and doesn't notice that a connection is closed.
func playSlow(s *scene) (int, error) {
	network, err := freeNetwork(3)
	if err != nil {
		return notRun, err
	}
	if s.store, err = newStore("127.0.0.1:0"); err != nil {
		return notRun, err
	}
	s.store.put("op/config", streamConfig)
	var engines []*engine
	for n := range 4 {
		e := &engine{
			id: fmt.Sprintf("i-%04x", n+1), service: "drafting", zone: "a", first: 250 * time.Millisecond, gap: 60 * time.Millisecond, events: 13,
			stays: n == 0, store: s.store, record: s.record,
		}
		engines = append(engines, e)
		if err := e.start(); err != nil {
			return notRun, err
		}
	}
	if err := s.openGateways(3, network); err != nil {
		return notRun, err
	}
	if s.trouble {
		go func() {
			time.Sleep(5 * time.Second)
			s.record.say("slow", "replica", engines[0].id, "x", 5)
			engines[0].setSlow(5)
			time.Sleep(6 * time.Second)
			engines[0].setSlow(1)
			s.record.say("as before", "replica", engines[0].id)
		}()
	}
	answers := s.sendStreams(15*time.Second, 4)
	time.Sleep(time.Second)
	for outcome, n := range answers {
		s.record.say("answers", "outcome", fmt.Sprintf("%q", outcome), "count", n)
	}
	return s.judgeTwice(engines), nil
}

// judgeTwice checks the rule TWICE of model replicas.
func (s *scene) judgeTwice(engines []*engine) int {
	byRequest := map[string][]*streamRun{}
	runs := 0
	for _, e := range engines {
		e.mu.Lock()
		for _, r := range e.runs {
			byRequest[r.request] = append(byRequest[r.request], r)
			runs++
		}
		e.mu.Unlock()
	}
	twice, longest := 0, time.Duration(0)
	for request, all := range byRequest {
		slices.SortFunc(all, func(a, b *streamRun) int { return a.begun.Compare(b.begun) })
		for n := 1; n < len(all); n++ {
			before, after := all[n-1], all[n]
			// A run that ended within 400 ms was only an attempt that was given up.
			both := before.ended.Sub(after.begun)
			if before.ended.IsZero() {
				both = time.Since(after.begun)
			}
			if both > 400*time.Millisecond && after.ended.Sub(after.begun) > 400*time.Millisecond {
				twice++
				longest = max(longest, both)
				s.record.add("twice", "request", request, "at", before.engine, "and", after.engine, "both_for", both)
			}
		}
	}
	s.record.say("runs", "requests", len(byRequest), "runs", runs, "at_two_replicas_for_over_400ms", twice, "longest", longest)
	if twice > 0 {
		return broken
	}
	return held
}

// sendStreams sends requests for streams for some time at a rate for each gateway, and waits
// for their answers.
func (s *scene) sendStreams(d time.Duration, perSecond float64) map[string]int {
	answers := map[string]int{}
	var mu sync.Mutex
	var all sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 20}}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond / float64(len(s.gateways))))
	defer ticker.Stop()
	end := time.After(d)
	for n := 0; ; n++ {
		select {
		case <-end:
			all.Wait()
			return answers
		case <-ticker.C:
		}
		all.Go(func() {
			outcome := s.sendStream(client, s.gateways[n%len(s.gateways)], fmt.Sprintf("%016x", n+1), n)
			mu.Lock()
			defer mu.Unlock()
			answers[outcome]++
		})
	}
}

func (s *scene) sendStream(client *http.Client, g *gateway, id string, n int) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.caller()+"/notice/2f", strings.NewReader(strings.Repeat("x", 9200)))
	if err != nil {
		return err.Error()
	}
	q.Host = host
	q.Header.Set("X-Attempt-Id", id)
	q.Header.Set("X-Deadline-Remaining", "5000")
	q.Header.Set("X-Key", "k")
	q.Header.Set("X-Model", "m")
	// Half of the prompts are short, so that each replica gets some.
	own := 500 + 2000*(n%2)
	q.Header.Set("X-Token-Count", fmt.Sprintf("%d,52", 3000+own))
	q.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%x:1000,%x:2000,%x:%d", 0xa00+n%4, 0xb00+n%39, 0xc000+n, own))
	s.record.add("sent", "request", id, "gateway", g.name)
	r, err := client.Do(q)
	if err != nil {
		s.record.add("answered", "request", id, "outcome", "none")
		return "none"
	}
	defer r.Body.Close()
	events, last := 0, ""
	lines := bufio.NewScanner(r.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			events, last = events+1, id
		}
	}
	outcome := fmt.Sprint(r.StatusCode)
	if r.StatusCode == http.StatusOK && lines.Err() == nil && events == 13 && last == "13" {
		outcome = "200 whole"
	}
	s.record.add("answered", "request", id, "outcome", outcome, "events", events)
	return outcome
}

var streamConfig = fmt.Sprintf(`{"version":7,"routes":[
{"name":"notice","host":%[1]q,"pathPrefix":"/notice/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":800,"priority":1,"service":"drafting","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"targetGapMs":400}],
"services":[{"name":"drafting","healthPath":"/health","maxConnections":370,"protocol":"h1","tls":false,"coldStartS":%g,"coldPerS":%g,
"inferenceEngine":{"slots":64,"kvCacheTokens":505611,"kvTokenBytes":35136,"linkMbps":180000.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handlingS":5.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"market","apiKeys":["k"],"priority":1}]}`, host, coldStart.Seconds(), coldPerSecond)
