package main

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/standin"
)

// Many streams run when a gateway is frozen for longer than it waits for a
// silent sidecar. Woken, it must not take its own sleep for theirs: all
// answers are whole, and none is had anew.
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
		d.await("first words", func() bool { return q.hasEvents(2) })
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
	assert.Equal(t, resumed, 0, "streams were given up and resumed")
}
