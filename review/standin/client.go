package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// kind is a row of the sheet in SYSTEM.md.
type kind struct {
	name, method, path string
	perSecond          float64
	deadline           time.Duration
	bodyBytes          int
	// shared lists how many different parts there are at each place of the prompt, with
	// their tokens; own and events are the tokens of the last part and the events out.
	shared      []sharedPart
	own, events int
}

type sharedPart struct{ different, tokens int }

// kinds is the traffic of the deployment acru-moves.
var kinds = []kind{
	{name: "manifest-draft", method: "POST", path: "/manifest/", perSecond: 22.2, deadline: 12 * time.Second, bodyBytes: 17000, shared: []sharedPart{{105, 13300}}, own: 3720, events: 40},
	{name: "archive-check", method: "POST", path: "/archive/", perSecond: 9.6, deadline: 8 * time.Second, bodyBytes: 9200, shared: []sharedPart{{4, 2520}, {45, 3780}}, own: 2890, events: 17},
	{name: "crate-label", method: "POST", path: "/label/", perSecond: 25, deadline: 15 * time.Second, bodyBytes: 1500, shared: []sharedPart{{20, 210}, {118, 140}}, own: 1110, events: 57},
	{name: "lot-booking", method: "POST", path: "/booking/", perSecond: 14.2, deadline: 1500 * time.Millisecond, bodyBytes: 600},
	{name: "crate-lookup", method: "GET", path: "/lookup/", perSecond: 6.4, deadline: 1500 * time.Millisecond},
}

// clientKey is the key of the only tenant.
const clientKey = "n2ctnfzs989anu6wsjnb"

// clients sends requests over connections that it keeps.
type clients struct {
	record *record
	target string
	name   string
	// alwaysNew makes the clients use a new connection for each request, and leave it open
	// for openFor after the answer; zero for as long as the gateway does.
	alwaysNew bool
	openFor   time.Duration

	mu   sync.Mutex
	idle []*clientConn
	wait sync.WaitGroup
}

type clientConn struct {
	net.Conn
	reader  *bufio.Reader
	used    bool
	idledAt time.Time
}

// idleTimeout is four fifths of the limit in the configuration.
const idleTimeout = 12 * time.Second

func (c *clients) conn() (*clientConn, error) {
	c.mu.Lock()
	for n := len(c.idle); n > 0 && !c.alwaysNew; n = len(c.idle) {
		k := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if time.Since(k.idledAt) < idleTimeout && stillOpen(k) {
			c.mu.Unlock()
			return k, nil
		}
		_ = k.Close()
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", c.target, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

// stillOpen reports whether nothing has arrived on an idle connection, its end included.
func stillOpen(k *clientConn) bool {
	_ = k.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := k.reader.Peek(1)
	_ = k.SetReadDeadline(time.Time{})
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

func (c *clients) release(k *clientConn) {
	k.used, k.idledAt = true, time.Now()
	if c.alwaysNew && c.openFor > 0 {
		time.AfterFunc(c.openFor, func() { _ = k.Close() })
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, k)
}

// send sends one request and reads its answer until the deadline.
func (c *clients) send(q *request, k kind, prompt []string, body string) {
	defer func() { q.ended = time.Now(); c.record.end(q) }()
	q.sent, q.kind, q.gateway = time.Now(), k.name, c.name
	conn, err := c.conn()
	if err != nil {
		c.record.begin(q)
		q.failedToConnect, q.err = true, "no connection: "+err.Error()
		return
	}
	q.kept = conn.used
	c.record.begin(q)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s2f HTTP/1.1\r\nHost: crate.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Remaining: %d\r\nX-Key: %s\r\n", k.method, k.path, q.id, k.deadline.Milliseconds(), clientKey)
	if len(prompt) > 0 {
		tokens := 0
		for _, p := range prompt {
			var n int
			_, _ = fmt.Sscanf(p[strings.IndexByte(p, ':')+1:], "%d", &n)
			tokens += n
		}
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Count: %d,%d\r\nX-Prompt-Prefix: %s\r\n", tokens, 3*k.events, strings.Join(prompt, ","))
	}
	if k.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	_ = conn.SetDeadline(q.sent.Add(k.deadline))
	if err := upload(conn, b.String(), body); err != nil {
		q.err = err.Error()
		_ = conn.Close()
		return
	}
	resp, err := http.ReadResponse(conn.reader, &http.Request{Method: k.method})
	if err != nil {
		q.fail(err)
		_ = conn.Close()
		return
	}
	q.status = resp.StatusCode
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		q.fail(err)
		_ = conn.Close()
		return
	}
	q.whole = true
	_ = conn.SetDeadline(time.Time{})
	if resp.Close {
		_ = conn.Close()
		return
	}
	c.release(conn)
}

// upload writes a request, a long body at uploadBytesPerSecond.
func upload(w io.Writer, head, body string) error {
	const short, step = 128 << 10, 32 << 10
	if len(body) <= short {
		_, err := io.WriteString(w, head+body)
		return err
	}
	if _, err := io.WriteString(w, head); err != nil {
		return err
	}
	for began, sent := time.Now(), 0; sent < len(body); {
		n, err := io.WriteString(w, body[sent:min(sent+step, len(body))])
		if err != nil {
			return err
		}
		sent += n
		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / uploadBytesPerSecond * float64(time.Second)))))
	}
	return nil
}

// fail records why no whole answer was read.
func (q *request) fail(err error) {
	q.err = err.Error()
	if e, ok := err.(net.Error); ok && e.Timeout() {
		q.left = true
	}
}

// run sends the requests of a kind with random gaps until stop is closed.
func (c *clients) run(k kind, random *rand.Rand, share float64, stop chan struct{}) {
	defer c.wait.Done()
	for n := 0; ; n++ {
		gap := time.Duration(random.ExpFloat64() / (k.perSecond * share) * float64(time.Second))
		select {
		case <-stop:
			return
		case <-time.After(gap):
		}
		prompt := k.prompt(random)
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.sendNew(fmt.Sprintf("%s-%s-%d", c.name, k.name, n), k, prompt)
		}()
	}
}

// sendNew sends a request with a body of its own.
func (c *clients) sendNew(id string, k kind, prompt []string) {
	body := ""
	if k.method == http.MethodPost {
		body = id + strings.Repeat("b", max(k.bodyBytes-len(id), 0))
	}
	c.send(&request{id: id}, k, prompt, body)
}

// prompt returns the parts of a prompt: shared ones, and one of its own.
func (k kind) prompt(random *rand.Rand) []string {
	if len(k.shared) == 0 {
		return nil
	}
	var prompt []string
	for place, s := range k.shared {
		// Squaring makes some parts several times as frequent as others.
		u := random.Float64()
		prompt = append(prompt, fmt.Sprintf("%08x:%d", uint64(len(k.path))<<24|uint64(place)<<16|uint64(u*u*float64(s.different)), s.tokens))
	}
	return append(prompt, fmt.Sprintf("%08x:%d", random.Uint32()|1<<31, k.own))
}
