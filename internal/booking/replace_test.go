package booking

import (
	"testing"

	"gotest.tools/v3/assert"
)

// deliverAll delivers all packets in the order of sending.
func (sim *simulation) deliverAll() {
	for len(sim.packets) > 0 {
		sim.deliver(0)
	}
}

// runKeyAt runs the key at a node until the run is finished.
func (sim *simulation) runKeyAt(home int) {
	sim.send(home)
	sim.deliverAll()
	sim.forward(0)
	sim.finishRun(0, false)
	sim.deliverAll()
}

func (sim *simulation) updateAllViews() {
	for i, n := range sim.nodes {
		if n.core != nil {
			sim.learn(i, len(sim.views)-1)
		}
	}
}

func (sim *simulation) restart(name string) {
	i := sim.index(modelVMs(name)[0].Name)
	sim.crash(i)
	sim.start(i, modelNow, DefaultWitnesses)
}

// assertRemembered sends the key again to the home of the newest view and expects
// the recorded answer.
func (sim *simulation) assertRemembered(t *testing.T) {
	t.Helper()
	newest := sim.members(sim.views[len(sim.views)-1])
	sim.send(sim.index(Order(sim.key, newest)[0].Name))
	sim.deliverAll()
	assert.Equal(t, len(sim.pending), 0, "the key may run again")
	assert.Equal(t, sim.answers, 1)
	assert.Equal(t, sim.violation, "")
}

// A fleet whose processes are drained and restarted one after the other still
// replays the answer of the run.
func TestRollingReplacementKeepsRecords(t *testing.T) {
	sim := newSimulation(modelOptions{sends: 2, witnesses: DefaultWitnesses, order: "abcde"})
	sim.runKeyAt(0)
	for i := range sim.nodes {
		sim.drain(i)
		sim.deliverAll()
		sim.updateAllViews()
		sim.publishView(sim.views[0])
		sim.start(i, modelNow, DefaultWitnesses)
		sim.nodes[i].draining = false
		sim.updateAllViews()
	}
	sim.assertRemembered(t)
}

// A new home and two recently started witnesses have no record of the key. The
// home has to ask the third witness, which has one.
func TestRecentWitnessesAreNotEnough(t *testing.T) {
	sim := newSimulation(modelOptions{sends: 2, witnesses: DefaultWitnesses, order: "jabc"})
	sim.runKeyAt(0)
	sim.join(3, modelOptions{witnesses: DefaultWitnesses})
	sim.updateAllViews()
	sim.restart("a")
	sim.restart("c")
	sim.assertRemembered(t)
}

// Members that return after they were out count as recent members. The key ran
// while they were out, and the first asked of the nodes that recorded it has
// restarted.
func TestReturnedMembersCountAsRecent(t *testing.T) {
	sim := newSimulation(modelOptions{sends: 2, witnesses: DefaultWitnesses, order: "abecdf"})
	removed := sim.nodesIn("dc1")
	sim.publishView(sim.views[0]&^removed | removed<<outShift)
	sim.updateAllViews()
	sim.runKeyAt(sim.index("c"))
	sim.publishView(sim.views[0])
	sim.updateAllViews()
	sim.restart("c")
	sim.assertRemembered(t)
}
