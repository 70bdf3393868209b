package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/route"
)

// An upstream whose answers are all invalid answers faster than any other, so that it would
// attract all requests. It is avoided for pauses that grow, one attempt after each.
func TestUpstreamWithInvalidAnswersIsAvoided(t *testing.T) {
	c := newCore(engines(1), 1)
	now, ticket := start, Ticket(0)
	attempt := func() bool {
		ticket++
		r := question(PartID(ticket))
		r.Deadline = now.Add(12 * time.Second)
		if enqueue(t, c, now, ticket, r) == "" {
			c.Handle(now, Cancelled{ticket})
			return false
		}
		return true
	}
	var pauses []string
	ended := start
	for ; now.Before(start.Add(150 * time.Second)); now = now.Add(50 * time.Millisecond) {
		if !attempt() {
			continue
		}
		pauses = append(pauses, now.Sub(ended).String())
		c.Handle(now, Done{ticket, Invalid})
		ended = now
	}
	assert.DeepEqual(t, pauses, []string{"0s", "50ms", "500ms", "1s", "2s", "4s", "8s", "16s", "30s", "30s", "30s"})
	now = ended.Add(30 * time.Second)
	assert.Assert(t, attempt())
	c.Handle(now, Done{ticket, Served})
	assert.Assert(t, attempt(), "a valid answer ends the pauses")
	c.Handle(now, Done{ticket, Invalid})
	assert.Assert(t, attempt(), "a single invalid answer is no reason for a pause")
}

// Many requests in flight at an upstream that spoils its answers for a moment cause one pause,
// and not the longest one.
func TestInvalidAnswersOfOneMomentCauseOnePause(t *testing.T) {
	c := newCore(engines(1), 1)
	for n := range Ticket(20) {
		assert.Equal(t, enqueue(t, c, start, n, question(PartID(n))), route.UpstreamID("e00"))
	}
	for n := range Ticket(20) {
		c.Handle(start, Done{n, Invalid})
	}
	assert.Equal(t, enqueue(t, c, start.Add(499*time.Millisecond), 50, question(50)), route.UpstreamID(""))
	c.Handle(start.Add(499*time.Millisecond), Cancelled{50})
	assert.Equal(t, enqueue(t, c, start.Add(500*time.Millisecond), 51, question(51)), route.UpstreamID("e00"))
}

// Errors that an upstream itself answers with don't make it avoided.
func TestUpstreamThatFailsRequestsIsNotAvoided(t *testing.T) {
	c := newCore(engines(1), 1)
	for n := range Ticket(100) {
		assert.Equal(t, enqueue(t, c, start, n, question(PartID(n))), route.UpstreamID("e00"))
		for _, e := range c.Handle(start, Done{n, Failed}) {
			_, avoided := e.(Avoided)
			assert.Assert(t, !avoided)
		}
	}
}
