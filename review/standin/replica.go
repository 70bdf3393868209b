package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in for a replica of a service, as PROTOCOL.md describes it.
type replica struct {
	id, service, zone string
	engine            bool
	record            *record
	// endless reports whether the replica is in trouble and answers some requests with bytes
	// without end; nil if it never is.
	endless func() bool

	// poison is the prompt part that crashes the replica crashDelay after it begins to answer;
	// empty for none. crashed is called then.
	poison  string
	crashed func(r *replica)

	listener net.Listener
	born     int64
	running  atomic.Int64
	dead     atomic.Bool

	mu     sync.Mutex
	cached map[string]bool
	conns  map[net.Conn]bool
}

func startReplica(r *replica, s *store) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.listener, r.born, r.cached = l, time.Now().UnixMilli(), map[string]bool{}
	r.conns = map[net.Conn]bool{}
	go r.serve()
	r.register(s)
	return nil
}

func (r *replica) register(s *store) {
	slots := 128
	if !r.engine {
		slots = 6
	}
	s.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": r.born,
	})
}

func (r *replica) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serveConn(c)
	}
}

// crash ends the replica as a killed process does: its listener is closed, and its
// connections are reset.
func (r *replica) crash() {
	if r.dead.Swap(true) {
		return
	}
	_ = r.listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	r.mu.Unlock()
	r.record.note("replica %s: crashes", r.id)
	r.crashed(r)
}

// holds reports whether a prompt has the part at a place other than the last.
func holds(prompt, part string) bool {
	parts := strings.Split(prompt, ",")
	for _, p := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(p, ":"); id == part {
			return true
		}
	}
	return false
}

// serveConn serves one request at a time. A request ends when its connection is closed.
func (r *replica) serveConn(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	b := bufio.NewReaderSize(c, 64<<10)
	for {
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if !r.respond(c, q) {
			return
		}
	}
}

// respond answers a request and reports whether the connection stays open.
func (r *replica) respond(c net.Conn, q *http.Request) bool {
	id := q.Header.Get("X-Attempt-Id")
	if q.Header.Get("X-Expected-Replica") != r.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.id)
		return true
	}
	inTrouble := r.endless != nil && r.endless()
	prompt := q.Header.Get("X-Prompt-Prefix")
	bad := r.poison != "" && holds(prompt, r.poison)
	r.record.arrive(arrival{id: id, replica: r.id, at: time.Now(), sound: !inTrouble, bad: bad})
	if inTrouble && rand.Float64() < endlessShare {
		r.writeEndless(c, id)
		return false
	}
	r.running.Add(1)
	defer r.running.Add(-1)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Signature: %s.%s\r\n", id, r.id, id)
	if !r.engine {
		time.Sleep(60 * time.Millisecond)
		body := strings.Repeat("x", 800)
		_, err := fmt.Fprintf(c, "%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
		return err == nil
	}
	return r.stream(c, q, head)
}

// stream answers with events: the prompt is read at 56.1 tokens a millisecond unless a part
// is cached, and each event takes a few steps of the batch.
func (r *replica) stream(c net.Conn, q *http.Request, head string) bool {
	time.Sleep(93*time.Millisecond + time.Duration(float64(r.missingTokens(q.Header.Get("X-Prompt-Prefix")))/56.1*float64(time.Millisecond)))
	if r.poison != "" && holds(q.Header.Get("X-Prompt-Prefix"), r.poison) {
		time.AfterFunc(crashDelay, r.crash)
	}
	if _, err := fmt.Fprintf(c, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return false
	}
	n := 30
	if _, most, ok := strings.Cut(q.Header.Get("X-Token-Count"), ","); ok {
		tokens, _ := strconv.Atoi(most)
		n = max(tokens/3, 1)
	}
	for i := 1; i <= n; i++ {
		step := 6450*time.Microsecond + time.Duration(r.running.Load())*97*time.Microsecond
		time.Sleep(3 * step)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("t", 40))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func (r *replica) missingTokens(prompt string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	missing, held := 0, true
	for part := range strings.SplitSeq(prompt, ",") {
		id, tokens, _ := strings.Cut(part, ":")
		if held = held && r.cached[id]; !held {
			n, _ := strconv.Atoi(tokens)
			missing += n
			r.cached[id] = true
		}
	}
	return missing
}

const (
	// endlessShare is the part of its requests that a replica in trouble answers without end.
	endlessShare = 0.45
	// endlessBytesPerSecond is the rate of such an answer.
	endlessBytesPerSecond = 600 << 10
)

// writeEndless answers with an error whose body does not end until the caller closes.
func (r *replica) writeEndless(c net.Conn, id string) {
	if _, err := fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: %s\r\nContent-Type: text/plain\r\n\r\n", id); err != nil {
		return
	}
	chunk := []byte(strings.Repeat("no answer, ", 16<<10/11))
	for began, sent := time.Now(), 0; ; {
		n, err := c.Write(chunk)
		if err != nil {
			return
		}
		sent += n
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / endlessBytesPerSecond * float64(time.Second)))))
	}
}
