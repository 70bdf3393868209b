package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// playIdle lets clients use a new connection for each request and leave it open, and looks
// for a span of contactMs in which the gateway says that it is ready and answers none of the
// requests on new connections.
func playIdle(folder string, trouble bool) (int, error) {
	const traffic = 75 * time.Second
	s, err := startSession(1, func(*replica) {})
	defer s.end()
	if err != nil {
		return notRun, err
	}
	c := s.clients[0]
	c.mu.Lock()
	c.leaveIdle = trouble
	c.mu.Unlock()
	p := &prober{address: s.gateways[0].ready}
	for began := time.Now(); time.Since(began) < traffic; time.Sleep(time.Second) {
		p.probe()
	}
	s.finish()
	at, tried := s.deafSpan(p)
	if tried > 0 {
		s.record.note("RECOVER: from %s s on, for contactMs, the gateway said that it was ready and took none of %d new connections", s.record.at(at), tried)
	}
	s.record.note("RECOVER: a span of contactMs without a new connection, while seven clients or more try: %v", tried > 0)
	if err := s.record.write(filepath.Join(folder, "record.txt")); err != nil {
		return notRun, err
	}
	if tried > 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// prober asks for the readiness of a gateway over one connection that it keeps, as long as
// that is open.
type prober struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader

	mu    sync.Mutex
	ready []time.Time
}

func (p *prober) probe() {
	if p.conn == nil {
		c, err := net.DialTimeout("tcp", p.address, time.Second)
		if err != nil {
			return
		}
		p.conn, p.reader = c, bufio.NewReader(c)
	}
	at := time.Now()
	_ = p.conn.SetDeadline(at.Add(time.Second))
	_, err := fmt.Fprintf(p.conn, "GET /readiness HTTP/1.1\r\nHost: %s\r\n\r\n", p.address)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(p.reader, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil {
		_ = p.conn.Close()
		p.conn = nil
		return
	}
	if resp.StatusCode == http.StatusOK {
		p.mu.Lock()
		p.ready = append(p.ready, at)
		p.mu.Unlock()
	}
}

// deafSpan returns the begin of a span of contactMs in which the gateway said that it was
// ready, seven requests or more came on new connections, and none of these got an answer.
// It also returns their number.
func (s *session) deafSpan(p *prober) (time.Time, int) {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	var fresh []*request
	for _, q := range s.record.requests {
		if !q.kept {
			fresh = append(fresh, q)
		}
	}
	slices.SortFunc(fresh, func(a, b *request) int { return cmp.Compare(a.sent.UnixNano(), b.sent.UnixNano()) })
	for i, first := range fresh {
		end, tried, taken := first.sent.Add(contact), 0, false
		for _, q := range fresh[i:] {
			if q.sent.After(end) {
				break
			}
			tried++
			taken = taken || q.status != 0
		}
		ready := 0
		for _, at := range p.ready {
			if !at.Before(first.sent) && !at.After(end) {
				ready++
			}
		}
		if tried >= 7 && !taken && ready >= 2 {
			return first.sent, tried
		}
	}
	return time.Time{}, 0
}
