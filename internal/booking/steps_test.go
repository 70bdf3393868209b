package booking

import (
	"math/bits"
	"slices"

	"jasminewing.dev/jasminewing/internal/wire"
)

// noNode is the node of a step that involves no core.
const noNode = -1

// step is one possible next event. Its fault is empty for an ordinary event.
type step struct {
	// node is the node whose core handles the event. The node may learn newer
	// views just before the event: learning a view earlier makes no difference
	// to any node.
	node  int
	fault string
	do    func(w *world)
}

// steps returns all possible next events.
func (w *world) steps(o modelOptions) []step {
	var out []step
	out = w.sendSteps(out)
	out = w.packetSteps(out, o)
	out = w.runSteps(out)
	out = w.viewSteps(out, o)
	if len(w.faults) < o.faults {
		out = w.nodeFaults(out, o)
	}
	return out
}

func (w *world) sendSteps(out []step) []step {
	if w.sends == 0 {
		return out
	}
	tried := make(map[int]bool)
	for _, view := range w.views {
		home := w.index(Order(w.key, w.members(view))[0].Name)
		if !tried[home] {
			tried[home] = true
			out = append(out, step{home, "", func(w *world) { w.send(home) }})
		}
	}
	return out
}

// send sends the caller's first request or a retry through a gateway, which may
// have any view, however old.
func (w *world) send(home int) {
	w.sends--
	w.refs++
	if w.nodes[home].up {
		w.handle(home, Begin{Ref: w.refs, Key: w.key, BodyHash: modelHash})
	}
}

func (w *world) packetSteps(out []step, o modelOptions) []step {
	lose := [...]string{ask: "lose_ask", reply: "lose_reply", notification: "lose_notification"}
	for p, k := range w.packets {
		out = append(out, step{k.to, "", func(w *world) { w.deliver(p) }})
		if len(w.faults) >= o.faults {
			continue
		}
		if slices.Contains(o.faultKinds, "lose") {
			out = append(out, step{asker(k), lose[k.kind], func(w *world) {
				w.packets = slices.Delete(w.packets, p, p+1)
				w.reportFailure(k)
			}})
		}
		if k.kind == ask && !k.abandoned && slices.Contains(o.faultKinds, "late") {
			out = append(out, step{asker(k), "late_ask", func(w *world) {
				w.packets[p].abandoned = true
				w.reportFailure(k)
			}})
		}
	}
	return out
}

// runSteps returns the next events of pending runs. A permitted run may continue
// at any later step, which models a pause of the home between claim and run.
func (w *world) runSteps(out []step) []step {
	for i, p := range w.pending {
		if p.state == forwarded {
			out = append(out, step{p.node, "", func(w *world) { w.finishRun(i, false) }})
			continue
		}
		out = append(out, step{noNode, "", func(w *world) { w.forward(i) }})
		if w.refusals > 0 {
			out = append(out, step{p.node, "", func(w *world) { w.refusals--; w.finishRun(i, true) }})
		}
	}
	return out
}

func (w *world) forward(i int) {
	w.runs++
	w.pending[i].state = forwarded
	w.pending[i].number = w.runs
	if w.runs > 1 {
		w.violation = "twice"
	}
}

func (w *world) finishRun(i int, notRun bool) {
	p := w.pending[i]
	w.pending = slices.Delete(w.pending, i, i+1)
	m := Finished{Ref: p.ref, NotRun: notRun}
	if !notRun {
		m.Answer = &wire.StoredAnswer{Status: 201, Body: []byte("run 1"), Complete: true}
		if p.number != 1 {
			m.Answer.Body = []byte("run 2")
		}
	}
	w.handle(p.node, m)
}

// asker returns the node that waits for the packet or for the reply to it.
func asker(k packet) int {
	if k.kind == reply {
		return k.to
	}
	return k.from
}

// viewSteps returns the events that restart a crashed node or remove it from the
// list, bring back the nodes that are out, and stop a drained node.
func (w *world) viewSteps(out []step, o modelOptions) []step {
	last := len(w.views) - 1
	for i, n := range w.nodes {
		if n.core == nil {
			continue
		}
		if n.draining && n.up && w.idle(i) {
			out = append(out, step{noNode, "", func(w *world) { w.nodes[i].up = false }})
		}
		if !n.up && w.views[last]&(1<<i) != 0 && !n.draining {
			out = append(out, step{noNode, "", func(w *world) { w.start(i, modelNow, o.witnesses) }})
			if memberCount(w.views[last]) > 1 {
				out = append(out, step{noNode, "", func(w *world) { w.publishView(w.views[last] &^ (1 << i)) }})
			}
		}
	}
	if w.out != 0 {
		out = append(out, step{noNode, "", func(w *world) {
			w.publishView(w.views[last]&^(w.out<<outShift) | w.out)
			w.out = 0
		}})
	}
	return out
}

// viewVariants returns the world as it is, and a world for each way in which node
// i may have learnt newer views: only the last of several, or each in turn.
func (w *world) viewVariants(i int) []*world {
	out := []*world{w}
	if i == noNode || !w.nodes[i].up {
		return out
	}
	direct, inTurn := w, w
	for view := w.nodes[i].view + 1; view < len(w.views); view++ {
		direct, inTurn = w.clone(), inTurn.clone()
		direct.learn(i, view)
		inTurn.learn(i, view)
		out = append(out, direct)
		if view > w.nodes[i].view+1 {
			out = append(out, inTurn)
		}
	}
	return out
}

func (w *world) learn(i, view int) {
	w.nodes[i].view = view
	w.handle(i, w.viewChanged(view))
}

func memberCount(view uint) int { return bits.OnesCount(view & (1<<outShift - 1)) }

func (w *world) publishView(view uint) { w.views = append(w.views, view) }

// idle reports whether a draining node has nothing left to send or finish.
func (w *world) idle(i int) bool {
	for _, k := range w.packets {
		if k.from == i && k.kind != reply {
			return false
		}
	}
	return !slices.ContainsFunc(w.pending, func(p pendingRun) bool { return p.node == i })
}

// role returns the role of a node by its position in the rendezvous order of the
// key at the start.
func (w *world) role(i int) string {
	all := w.members(w.views[0])
	home := Order(w.key, all)[0]
	if w.nodes[i].vm.Name == home.Name {
		return "home"
	}
	for at, vm := range witnesses(w.key, home, all) {
		if vm.Name == w.nodes[i].vm.Name && at < DefaultWitnesses {
			return "witness"
		}
	}
	if w.views[0]&(1<<i) == 0 {
		return "joined"
	}
	return "other"
}

func (w *world) nodeFaults(out []step, o modelOptions) []step {
	last := w.views[len(w.views)-1]
	has := func(kind string) bool { return slices.Contains(o.faultKinds, kind) }
	for i, n := range w.nodes {
		if n.core == nil {
			if has("join") {
				out = append(out, step{noNode, "join", func(w *world) { w.join(i, o) }})
			}
			continue
		}
		if !n.up {
			continue
		}
		if has("crash") {
			out = append(out, step{noNode, "crash_" + w.role(i), func(w *world) { w.crash(i) }})
		}
		if has("drain") && !n.draining && memberCount(last) > 1 && last&(1<<i) != 0 {
			out = append(out, step{i, "drain_" + w.role(i), func(w *world) { w.drain(i) }})
		}
	}
	if has("out") && w.out == 0 {
		for _, dc := range [...]string{"dc1", "dc2"} {
			if removed := w.nodesIn(dc) & last; removed != 0 && memberCount(last&^removed) > 0 {
				out = append(out, step{noNode, "out_" + dc, func(w *world) {
					w.out = removed
					w.publishView(last&^removed | removed<<outShift)
				}})
			}
		}
	}
	return out
}

func (w *world) nodesIn(dc string) uint {
	var set uint
	for i, n := range w.nodes {
		if n.core != nil && string(n.vm.DataCentre) == dc {
			set |= 1 << i
		}
	}
	return set
}

func (w *world) join(i int, o modelOptions) {
	w.publishView(w.views[len(w.views)-1] | 1<<i)
	w.start(i, modelNow, o.witnesses)
}

// crash ends a process at once. Its memory and its permitted runs are lost. The
// runs that it had forwarded continue at the upstream, but their results reach
// no process.
func (w *world) crash(i int) {
	w.nodes[i].up = false
	w.nodes[i].draining = false
	w.pending = slices.DeleteFunc(w.pending, func(p pendingRun) bool { return p.node == i })
}

func (w *world) drain(i int) {
	w.nodes[i].draining = true
	w.publishView(w.views[len(w.views)-1]&^(1<<i) | 1<<i<<outShift)
	w.handle(i, Draining{})
}
