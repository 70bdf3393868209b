package booking

import (
	"testing"

	"gotest.tools/v3/assert"
)

// deliverAll delivers all packets in the order of sending.
func (w *world) deliverAll() {
	for len(w.packets) > 0 {
		w.deliver(0)
	}
}

// runKeyAt runs the key at a node until the run is finished.
func (w *world) runKeyAt(home int) {
	w.send(home)
	w.deliverAll()
	w.forward(0)
	w.finishRun(0, false)
	w.deliverAll()
}

func (w *world) updateAllViews() {
	for i, n := range w.nodes {
		if n.core != nil {
			w.learn(i, len(w.views)-1)
		}
	}
}

func (w *world) restart(name string) {
	i := w.index(modelVMs(name)[0].Name)
	w.crash(i)
	w.start(i, modelNow, DefaultWitnesses)
}

// assertRemembered sends the key again to the home of the newest view and expects
// the recorded answer.
func (w *world) assertRemembered(t *testing.T) {
	t.Helper()
	newest := w.members(w.views[len(w.views)-1])
	w.send(w.index(Order(w.key, newest)[0].Name))
	w.deliverAll()
	assert.Equal(t, len(w.pending), 0, "the key may run again")
	assert.Equal(t, w.answers, 1)
	assert.Equal(t, w.violation, "")
}

// A fleet whose processes are drained and restarted one after the other still
// replays the answer of the run.
func TestRollingReplacementKeepsRecords(t *testing.T) {
	w := newWorld(modelOptions{sends: 2, witnesses: DefaultWitnesses, order: "abcde"})
	w.runKeyAt(0)
	for i := range w.nodes {
		w.drain(i)
		w.deliverAll()
		w.updateAllViews()
		w.publishView(w.views[0])
		w.start(i, modelNow, DefaultWitnesses)
		w.nodes[i].draining = false
		w.updateAllViews()
	}
	w.assertRemembered(t)
}

// A new home and two recently started witnesses have no record of the key. The
// home has to ask the third witness, which has one.
func TestRecentWitnessesAreNotEnough(t *testing.T) {
	w := newWorld(modelOptions{sends: 2, witnesses: DefaultWitnesses, order: "jabc"})
	w.runKeyAt(0)
	w.join(3, modelOptions{witnesses: DefaultWitnesses})
	w.updateAllViews()
	w.restart("a")
	w.restart("c")
	w.assertRemembered(t)
}

// Members that return after they were out count as recent members. The key ran
// while they were out, and the first asked of the nodes that recorded it has
// restarted.
func TestReturnedMembersCountAsRecent(t *testing.T) {
	w := newWorld(modelOptions{sends: 2, witnesses: DefaultWitnesses, order: "abecdf"})
	removed := w.nodesIn("dc1")
	w.publishView(w.views[0]&^removed | removed<<outShift)
	w.updateAllViews()
	w.runKeyAt(w.index("c"))
	w.publishView(w.views[0])
	w.updateAllViews()
	w.restart("c")
	w.assertRemembered(t)
}
