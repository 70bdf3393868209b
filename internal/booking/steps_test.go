package booking

import (
	"math/bits"
	"slices"

	"jasminewing.dev/jasminewing/internal/wire"
)

// noNode is the node of a step that no core hears of.
const noNode = -1

// step is one thing that may happen next. Fault is empty for ordinary ones.
type step struct {
	// node is whose core hears of it. Just before, it may learn newer views:
	// that a node learns one earlier makes no difference to anybody.
	node  int
	fault string
	do    func(w *world)
}

// steps lists everything that may happen next.
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

// send is the caller's first request or a repeat, through a gateway that
// holds any view, however old.
func (w *world) send(home int) {
	w.sends--
	w.refs++
	if w.nodes[home].up {
		w.handle(home, Begin{Ref: w.refs, Key: w.key, BodyHash: modelHash})
	}
}

func (w *world) packetSteps(out []step, o modelOptions) []step {
	lose := [...]string{ask: "lose_ask", reply: "lose_reply", notification: "lose_tell"}
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

// runSteps goes on with permitted runs. That they may come at any later step
// is the pause of a home between claim and run.
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

// asker is who waits for the packet or its reply.
func asker(k packet) int {
	if k.kind == reply {
		return k.to
	}
	return k.from
}

// viewSteps restarts what crashed or drops it from the list, brings back what
// is out and ends what has drained.
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

// viewVariants gives the world as it is, and each way in which node i may have
// learnt newer views: only the last of some, or each in turn.
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

// idle says that a draining node has nothing left to send or to finish.
func (w *world) idle(i int) bool {
	for _, k := range w.packets {
		if k.from == i && k.kind != reply {
			return false
		}
	}
	return !slices.ContainsFunc(w.pending, func(p pendingRun) bool { return p.node == i })
}

// role names a node by its place in the key's order at the start.
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

// crash ends a process at once. Its memory and its permitted runs are gone;
// what it had forwarded goes on at the upstream unheard.
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
