package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// client sends one request after the other to a gateway on a kept connection.
type client struct {
	http *http.Client
}

func newClient() *client {
	return &client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}}
}

// request is one attempt of a client.
type request struct {
	method, host, path, body string
	timeout                  time.Duration
	header                   map[string]string
}

// reply is what a client has seen of its attempt.
type reply struct {
	id     string
	status int
	header http.Header
	body   string
	// err is set if the answer is missing or incomplete.
	err error
}

// lastAttempt numbers the attempts of clients.
var lastAttempt atomic.Int64

func newAttempt() string { return fmt.Sprintf("9c41%012x", lastAttempt.Add(1)) }

// send sends an attempt and reads the answer. The client leaves a little after its deadline.
func (c *client) send(g *gateway, id string, q request) reply {
	out := reply{id: id}
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout+time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+g.callers+q.path, strings.NewReader(q.body))
	if err != nil {
		out.err = err
		return out
	}
	r.Host = q.host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Remaining", fmt.Sprint(q.timeout.Milliseconds()))
	for name, v := range q.header {
		r.Header.Set(name, v)
	}
	a, err := c.http.Do(r)
	if err != nil {
		out.err = err
		return out
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	out.status, out.header, out.body, out.err = a.StatusCode, a.Header, string(body), err
	return out
}
