package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"jasminewing.dev/jasminewing/internal/engine"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// recordingSink is a sink that records the body of an answer.
type recordingSink struct {
	raw    strings.Builder
	onData func()
}

func (c *recordingSink) Head(int, http.Header) error { return nil }

func (c *recordingSink) Data(p []byte, _ table.Tokens) error {
	c.raw.Write(p)
	if c.onData != nil {
		c.onData()
	}
	return nil
}

func (c *recordingSink) text(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	for line := range strings.Lines(c.raw.String()) {
		line = strings.TrimPrefix(strings.TrimSpace(line), "data: ")
		var e completion
		if line == "" || line == "[DONE]" {
			continue
		}
		assert.NilError(t, json.Unmarshal([]byte(line), &e))
		for _, o := range e.Choices {
			b.WriteString(o.Text)
			if o.Delta != nil {
				b.WriteString(o.Delta.Content)
			}
			if o.Message != nil {
				b.WriteString(o.Message.Content)
			}
		}
	}
	return b.String()
}

func newRequest(body string) engine.Request {
	return engine.Request{Method: "POST", Path: "/v1/chat/completions", Body: []byte(body), RequestID: "r1", Idempotent: true, Streamed: strings.Contains(body, "stream")}
}

const (
	plainBody  = `{"model":"m","max_tokens":11}`
	streamBody = `{"model":"m","max_tokens":11,"stream":true}`
)

func TestEngineAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Slots: 1, FirstToken: 100 * time.Millisecond, TokenGap: 10 * time.Millisecond}
		c := startServer(t, e)
		for _, body := range []string{plainBody, streamBody, `{"stream":true}`} {
			for _, path := range []string{"/v1/chat/completions", "/v1/completions"} {
				var got recordingSink
				r := newRequest(body)
				r.Path = path
				out := c.Do(t.Context(), r, &got)
				assert.Assert(t, out.Complete, out.Detail)
				words := AnswerWords([]byte(body), "r1", 0, defaultLeastTokens, defaultMostTokens)
				if body != `{"stream":true}` {
					words = AnswerWords([]byte(body), "r1", 11, 0, 0)
				}
				assert.Equal(t, got.text(t), strings.Join(words, ""))
				assert.Equal(t, out.Tokens, table.Tokens(len(words)))
				if r.Streamed {
					assert.Equal(t, out.FirstToken, e.FirstToken)
					assert.Equal(t, out.TokenGap, e.TokenGap)
				}
			}
		}
		var got recordingSink
		r := newRequest(streamBody)
		r.ResumeOffset = 3
		out := c.Do(t.Context(), r, &got)
		assert.Equal(t, out.Tokens, table.Tokens(8))
		assert.Equal(t, got.text(t), strings.Join(AnswerWords([]byte(streamBody), "r1", 11, 0, 0)[3:], ""))
		assert.Equal(t, e.Stats().Resumed, 1)

		runConcurrently(t, c, 3, func(out engine.Outcome) {
			assert.Assert(t, out.Complete && out.TokenGap > e.TokenGap, out.TokenGap)
		})
	})
}

// runConcurrently sends n streamed requests concurrently and calls check with
// each outcome.
func runConcurrently(t *testing.T, c *engine.Client, n int, check func(engine.Outcome)) {
	t.Helper()
	outs := make([]engine.Outcome, n)
	var g sync.WaitGroup
	for i := range n {
		g.Go(func() { outs[i] = c.Do(t.Context(), newRequest(streamBody), &recordingSink{}) })
	}
	g.Wait()
	for _, out := range outs {
		check(out)
	}
}

func TestColdEngineCrashesOnOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Name: "e", Slots: 8, ColdSlots: 1, WarmAfter: 2, TokenGap: time.Millisecond, FirstToken: time.Millisecond, RestartAfter: time.Second, LoadingTime: time.Second}
		c := startServer(t, e)
		runConcurrently(t, c, 2, func(out engine.Outcome) {
			assert.Assert(t, out.Died && !out.NotRun, out.Detail)
		})
		assert.Equal(t, e.Stats().ColdCrashes, 1)
		_, err := c.Health(t.Context())
		assert.Equal(t, result.CodeOf(err), result.UpstreamUnreached)
		time.Sleep(time.Second)
		h, err := c.Health(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, h, engine.Health{Instance: "e-1"})
		out := c.Do(t.Context(), newRequest(plainBody), &recordingSink{})
		assert.Equal(t, out.Code, result.UpstreamRefused)
		time.Sleep(time.Second)
		for range 2 {
			assert.Assert(t, c.Do(t.Context(), newRequest(plainBody), &recordingSink{}).Complete)
		}
		runConcurrently(t, c, 8, func(out engine.Outcome) { assert.Assert(t, out.Complete, out.Detail) })
		assert.NilError(t, e.Control(Cold, 0))
		runConcurrently(t, c, 2, func(out engine.Outcome) { assert.Assert(t, out.Died) })
		s := e.Stats()
		assert.Equal(t, s.MostRunningCold, 2)
		assert.Equal(t, s.Crashes, 2)
		assert.Equal(t, s.Running, 0)
	})
}

func TestEngineFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &Engine{Name: "e", FirstToken: time.Second, TokenGap: time.Second, LoadReportLag: 3 * time.Second}
		c := startServer(t, e)
		ctx, cancel := context.WithTimeout(t.Context(), 5500*time.Millisecond)
		defer cancel()
		out := c.Do(ctx, newRequest(streamBody), &recordingSink{})
		assert.Equal(t, out.Code, result.UpstreamTimeout)
		assert.Equal(t, out.Tokens, table.Tokens(5))
		synctest.Wait()
		s := e.Stats()
		assert.Equal(t, s.Cancelled, 1)
		assert.Equal(t, s.Wasted, 5)
		assert.Equal(t, s.Running, 0)
		l, err := c.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, l, engine.Load{Running: 1})
		time.Sleep(3 * time.Second)
		l, err = c.Load(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, l, engine.Load{})

		fails := []struct {
			action Action
			code   result.Code
			died   bool
			then   string
		}{
			{CutStreams, result.UpstreamCutOff, true, "e-0"},
			{Crash, result.UpstreamCutOff, true, "e-1"},
		}
		for _, tt := range fails {
			time.AfterFunc(2500*time.Millisecond, func() { e.Control(tt.action, 0) })
			out := c.Do(t.Context(), newRequest(streamBody), &recordingSink{})
			assert.Equal(t, out.Code, tt.code)
			assert.Equal(t, out.Died, tt.died)
			assert.Equal(t, out.Tokens, table.Tokens(2))
			assert.Equal(t, e.Stats().Instance, tt.then)
		}
		out = c.Do(t.Context(), newRequest(`{"prompt":"`+CrashText+`"}`), &recordingSink{})
		assert.Assert(t, out.Died)
		assert.Equal(t, e.Stats().Instance, "e-2")

		assert.NilError(t, e.Control(Slow, 5))
		out = c.Do(t.Context(), newRequest(streamBody), &recordingSink{})
		assert.Equal(t, out.TokenGap, 5*time.Second)
		assert.NilError(t, e.Control(Drain, 0))
		h, err := c.Health(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, h.Draining && !h.Up)
		out = c.Do(t.Context(), newRequest(streamBody), &recordingSink{})
		assert.Assert(t, out.NotRun && out.Code == result.UpstreamRefused)
		assert.NilError(t, e.Control(Normal, 0))
		assert.Assert(t, c.Do(t.Context(), newRequest(plainBody), &recordingSink{}).Complete)
		assert.ErrorContains(t, e.Control("dance", 0), "dance")
	})
}

func TestEngineOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, checks := range []bool{true, false} {
			e := &Engine{ChecksFencing: checks}
			c := startServer(t, e)
			assert.NilError(t, c.Order(t.Context(), engine.Order{Order: "load a", Fencing: 7}))
			err := c.Order(t.Context(), engine.Order{Order: "load b", Fencing: 6})
			assert.Equal(t, result.CodeOf(err) == result.UpstreamRefused, checks)
			assert.Equal(t, e.Stats().Fencing, uint64(7))
		}
	})
}

// TestCancelledRequestGetsNoAnswer checks that a request whose context has
// ended breaks the connection. If the handler just returned, the server would
// send an empty but complete answer.
func TestCancelledRequestGetsNoAnswer(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	handlers := map[string]http.Handler{
		"/v1/completions":       &Engine{FirstToken: time.Hour},
		"/v1/watch?wait_ms=900": (&Config{}).Service(),
		"/v1/vms?wait_ms=900":   (&VMs{}).Service(),
	}
	for target, h := range handlers {
		method := http.MethodGet
		if strings.HasSuffix(target, "completions") {
			method = http.MethodPost
		}
		r := httptest.NewRequestWithContext(ctx, method, target, strings.NewReader("{}"))
		func() {
			defer func() { assert.Equal(t, recover(), http.ErrAbortHandler, target) }()
			h.ServeHTTP(httptest.NewRecorder(), r)
		}()
	}
}
