package main

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/standin"
	"jasminewing.dev/jasminewing/pkg/result"
)

const streamEvent = "data: {\"choices\":[{\"delta\":{\"content\":\"amber \"}}]}\n\n"

// rawUpstream returns an upstream that answers every completion request with the
// given bytes and then closes the connection, while its health check succeeds.
func rawUpstream(answer string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			_, _ = io.WriteString(w, `{"status":"ok","instance":"raw-1"}`)
			return
		}
		_, _ = io.ReadAll(r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, answer)
		_ = c.Close()
	})
}

// An upstream sends an incomplete or invalid answer in each possible way. The
// caller gets an error with a code, or a stream that ends with one, and never a
// response that a client takes for complete.
func TestIncompleteAnswerIsReported(t *testing.T) {
	t.Parallel()
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	chunked := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	tests := []struct {
		name     string
		answer   string
		streamed bool
	}{
		{"stream without the final event", stream + "Transfer-Encoding: chunked\r\n\r\n" + chunked(streamEvent) + "0\r\n\r\n", true},
		{"stream cut after an event", stream + "Transfer-Encoding: chunked\r\n\r\n" + chunked(streamEvent), true},
		{"stream cut within an event", stream + "Transfer-Encoding: chunked\r\n\r\n" + chunked(streamEvent[:20]), true},
		{"stream ended by closing the connection", stream + "Connection: close\r\n\r\n" + streamEvent + doneEvent + "\n\n", true},
		{"response that is not a stream", "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 4\r\n\r\noops", true},
		{"stream with an invalid event", stream + "Transfer-Encoding: chunked\r\n\r\n" + chunked("data: {\"choices\":\n\n"+doneEvent+"\n\n") + "0\r\n\r\n", true},
		{"answer shorter than its Content-Length", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 90\r\n\r\n{\"choices\":[]}", false},
		{"answer ended by closing the connection", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"choices\":[{\"message\":{}}]}", false},
		{"no answer", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			sidecar := c.sidecar("draft_1", "north", c.serve(rawUpstream(tt.answer)))
			gateway := c.gateway("gw_1", "north")
			c.awaitReady(sidecar, gateway)
			var got reply
			c.await("an answer from the upstream", func() bool {
				got = gateway.send(chatRequest("half", 4, tt.streamed))
				return got.code() != result.NoUpstream
			})
			assertRefused(t, got, false, result.UpstreamCutOff, result.UpstreamBadStream, result.AnswerAbandoned,
				result.RetryBudget, result.SidecarLost)
		})
	}
}

// An upstream loses the answer to a booking in each way that it can simulate. The
// caller gets a correct error code, and the booking runs at most once.
func TestBookingAnswerLost(t *testing.T) {
	t.Parallel()
	b := newBookingDeployment(t, 0)
	tests := []struct {
		action standin.Action
		runs   int
		notRun bool
		codes  []result.Code
	}{
		{standin.CutBeforeRun, 0, false, []result.Code{result.OutcomeUnknown}},
		{standin.CutAfterRun, 1, false, []result.Code{result.OutcomeUnknown}},
		{standin.CutAnswer, 1, false, []result.Code{result.OutcomeUnknown}},
		{standin.CloseDelimited, 1, false, []result.Code{result.OutcomeUnknown}},
		{standin.Fail, 1, false, []result.Code{result.OutcomeUnknown}},
		{standin.Refuse, 0, true, []result.Code{result.UpstreamRefused}},
	}
	for _, tt := range tests {
		for _, u := range b.upstreams {
			assert.NilError(t, u.booking.Control(tt.action, 0))
		}
		name := "pitch-" + string(tt.action)
		assertRefused(t, b.gateways[0].send(bookingRequest(name, "")), tt.notRun, tt.codes...)
		assert.Equal(t, b.runs(name), tt.runs, "%s", tt.action)

		keyed := "keyed-" + string(tt.action)
		assertRefused(t, b.gateways[0].send(bookingRequest(keyed, keyed)), false, tt.codes...)
		for _, u := range b.upstreams {
			assert.NilError(t, u.booking.Control(standin.Normal, 0))
		}
		// A repeated request may run only if the upstream reported that it refused
		// the first one.
		got := b.gateways[1].send(bookingRequest(keyed, keyed))
		if tt.action == standin.Refuse {
			assert.Assert(t, isFirstRunAnswer(got, keyed), "%d %s", got.status, got.body)
		} else {
			assertRefused(t, got, false, result.KeyOutcomeUnknown)
		}
		assert.Assert(t, b.runs(keyed) <= 1, "%s ran %d times", tt.action, b.runs(keyed))
		b.awaitServing(bookingRequest(name+"-after", name+"-after"), b.gateways...)
	}
}

// The engine that runs a request cuts all its responses, several times in a row.
// Each caller still gets the complete answer to its own request, from any engine.
func TestEngineCutsStreams(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, threeEngines, func() *standin.Engine { return &standin.Engine{TokenGap: 10 * time.Millisecond} })
	for i := range 3 {
		for _, streamed := range []bool{true, false} {
			r := chatRequest(fmt.Sprintf("cut %d", i), 40, streamed)
			q, u := d.beginRunning(d.gateways[i%2], r)
			assert.NilError(t, u.engine.Control(standin.CutStreams, 0))
			<-q.done
			assertComplete(t, r, q.reply)
		}
	}
}
