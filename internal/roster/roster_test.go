package roster

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/wire"
)

var start = time.Unix(1_800_000_000, 0)

// newTask gives a task that has just heard from n others.
func newTask(n int) *Task {
	t := &Task{Self: "10.0.0.1:1"}
	t.init()
	for i := range n {
		t.peers[fmt.Sprintf("10.1.%d.%d:1", i/250, i%250)] = &peer{heard: start}
	}
	return t
}

// A gateway begins few exchanges an interval, however many others there are,
// and asks all of them in turn.
func TestRoundsAreBounded(t *testing.T) {
	for _, n := range []int{4, 7, 349} {
		task := newTask(n)
		asked := map[string]int{}
		rounds := (n + calls(n) - 1) / calls(n)
		for r := range rounds {
			now := start.Add(time.Duration(r) * interval)
			due := task.due(now)
			assert.Assert(t, len(due) <= calls(n))
			for _, address := range due {
				asked[address]++
				task.peers[address].asked, task.peers[address].heard = now, now
			}
		}
		assert.Equal(t, len(asked), n)
	}
}

// One that says nothing is silent after some rounds, is asked seldom then, and
// counts in shares of bounds for two minutes more.
func TestSilentGateway(t *testing.T) {
	task := newTask(4)
	now := start.Add(silentRounds * interval)
	assert.Equal(t, len(task.due(now)), 4)
	for _, p := range task.peers {
		assert.Assert(t, p.silent)
		p.asked = now
	}
	assert.Equal(t, len(task.due(now.Add(silentInterval/2))), 0)
	assert.Equal(t, len(task.due(now.Add(silentInterval))), 4)
	assert.Equal(t, task.counted(start.Add(forgetAfter-1)).Count, 5)
	assert.Equal(t, task.counted(start.Add(forgetAfter)), placement.Membership{Count: 1})
}

// All gateways that hear each other agree on their ranks.
func TestRanks(t *testing.T) {
	addresses := []string{"10.0.0.10:1", "10.0.0.1:1", "10.0.0.2:1"}
	for want, self := range addresses {
		task := &Task{Self: self, Seeds: addresses}
		task.init()
		for _, p := range task.peers {
			p.heard = start
		}
		assert.Equal(t, task.counted(start), placement.Membership{Count: 3, Rank: want, LivePeers: 2})
	}
}

// The first gateways that the store answers watch it closely.
func TestCloseWatchers(t *testing.T) {
	task := &Task{Self: "10.0.0.9:1", Seeds: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.1.9:1"}}
	task.init()
	for _, p := range task.peers {
		p.heard = start
	}
	assert.Equal(t, task.before(), 3)
	task.peers["10.0.0.1:1"].away = true
	assert.Equal(t, task.before(), 2)
	task.peers["10.0.0.2:1"].silent = true
	assert.Equal(t, task.before(), 1)
	task.peers["10.0.0.1:1"].hear(start, &wire.GatewayState{}, "")
	assert.Equal(t, task.before(), 2)
}

// Few names are told at a time, and all in turn.
func TestNamesInTurn(t *testing.T) {
	task := newTask(100)
	told := map[string]bool{}
	for range 2 * 100 / namesTold {
		names := task.names()
		assert.Equal(t, len(names), namesTold)
		for _, n := range names {
			told[n] = true
		}
	}
	assert.Equal(t, len(told), 100)
	assert.Equal(t, len(newTask(5).names()), 5)
}
