package main

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/standin"
)

// A gateway with many streams in flight is frozen for longer than its timeout for a
// silent sidecar. After it resumes, it must not attribute its own pause to the
// sidecars: all answers are complete, and no stream is sent to another engine.
func TestGatewayFrozen(t *testing.T) {
	t.Parallel()
	d := newEngineDeployment(t, twoEngines, func() *standin.Engine { return &standin.Engine{TokenGap: 40 * time.Millisecond} },
		withEdit("upstreams", ",8,1,", ",32,32,"))
	const streams = 30
	var all []*pendingRequest
	for i := range streams {
		all = append(all, d.gateways[0].begin(chatRequest(fmt.Sprint("stream ", i), 60, true)))
	}
	for _, q := range all {
		d.await("the first events of a stream", func() bool { return q.hasEvents(2) })
	}
	d.gateways[0].freeze()
	pause := time.NewTimer(2 * time.Second)
	<-pause.C
	d.gateways[0].resume()
	resumed := 0
	for _, q := range all {
		<-q.done
		assertComplete(t, q.request, q.reply)
	}
	for _, u := range d.upstreams {
		resumed += u.engine.Stats().Resumed
	}
	assert.Equal(t, resumed, 0, "streams were abandoned and resumed elsewhere")
}
