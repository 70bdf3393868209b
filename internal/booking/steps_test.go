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
	do    func(sim *simulation)
}

// steps returns all possible next events.
func (sim *simulation) steps(o modelOptions) []step {
	var out []step
	out = sim.sendSteps(out)
	out = sim.packetSteps(out, o)
	out = sim.runSteps(out)
	out = sim.viewSteps(out, o)
	if len(sim.faults) < o.faults {
		out = sim.nodeFaults(out, o)
	}
	return out
}

func (sim *simulation) sendSteps(out []step) []step {
	if sim.sends == 0 {
		return out
	}
	tried := make(map[int]bool)
	for _, view := range sim.views {
		home := sim.index(Order(sim.key, sim.members(view))[0].Name)
		if !tried[home] {
			tried[home] = true
			out = append(out, step{home, "", func(sim *simulation) { sim.send(home) }})
		}
	}
	return out
}

// send sends the caller's first request or a retry through a gateway, which may
// have any view, however old.
func (sim *simulation) send(home int) {
	sim.sends--
	sim.refs++
	if sim.nodes[home].up {
		sim.handle(home, Begin{Ref: sim.refs, Key: sim.key, BodyHash: modelHash})
	}
}

func (sim *simulation) packetSteps(out []step, o modelOptions) []step {
	lose := [...]string{ask: "lose_ask", reply: "lose_reply", notification: "lose_notification"}
	for p, k := range sim.packets {
		out = append(out, step{k.to, "", func(sim *simulation) { sim.deliver(p) }})
		if len(sim.faults) >= o.faults {
			continue
		}
		if slices.Contains(o.faultKinds, "lose") {
			out = append(out, step{asker(k), lose[k.kind], func(sim *simulation) {
				sim.packets = slices.Delete(sim.packets, p, p+1)
				sim.reportFailure(k)
			}})
		}
		if k.kind == ask && !k.abandoned && slices.Contains(o.faultKinds, "late") {
			out = append(out, step{asker(k), "late_ask", func(sim *simulation) {
				sim.packets[p].abandoned = true
				sim.reportFailure(k)
			}})
		}
	}
	return out
}

// runSteps returns the next events of pending runs. A permitted run may continue
// at any later step, which models a pause of the home between claim and run.
func (sim *simulation) runSteps(out []step) []step {
	for i, p := range sim.pending {
		if p.state == forwarded {
			out = append(out, step{p.node, "", func(sim *simulation) { sim.finishRun(i, false) }})
			continue
		}
		out = append(out, step{noNode, "", func(sim *simulation) { sim.forward(i) }})
		if sim.refusals > 0 {
			out = append(out, step{p.node, "", func(sim *simulation) { sim.refusals--; sim.finishRun(i, true) }})
		}
	}
	return out
}

func (sim *simulation) forward(i int) {
	sim.runs++
	sim.pending[i].state = forwarded
	sim.pending[i].number = sim.runs
	if sim.runs > 1 {
		sim.violation = "twice"
	}
}

func (sim *simulation) finishRun(i int, notRun bool) {
	p := sim.pending[i]
	sim.pending = slices.Delete(sim.pending, i, i+1)
	m := Finished{Ref: p.ref, NotRun: notRun}
	if !notRun {
		m.Answer = &wire.StoredAnswer{Status: 201, Body: []byte("run 1"), Complete: true}
		if p.number != 1 {
			m.Answer.Body = []byte("run 2")
		}
	}
	sim.handle(p.node, m)
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
func (sim *simulation) viewSteps(out []step, o modelOptions) []step {
	last := len(sim.views) - 1
	for i, n := range sim.nodes {
		if n.core == nil {
			continue
		}
		if n.draining && n.up && sim.idle(i) {
			out = append(out, step{noNode, "", func(sim *simulation) { sim.nodes[i].up = false }})
		}
		if !n.up && sim.views[last]&(1<<i) != 0 && !n.draining {
			out = append(out, step{noNode, "", func(sim *simulation) { sim.start(i, modelNow, o.witnesses) }})
			if memberCount(sim.views[last]) > 1 {
				out = append(out, step{noNode, "", func(sim *simulation) { sim.publishView(sim.views[last] &^ (1 << i)) }})
			}
		}
	}
	if sim.out != 0 {
		out = append(out, step{noNode, "", func(sim *simulation) {
			sim.publishView(sim.views[last]&^(sim.out<<outShift) | sim.out)
			sim.out = 0
		}})
	}
	return out
}

// viewVariants returns the simulation as it is, and a clone for each way in which
// node i may have learnt newer views: only the last of several, or each in turn.
func (sim *simulation) viewVariants(i int) []*simulation {
	out := []*simulation{sim}
	if i == noNode || !sim.nodes[i].up {
		return out
	}
	direct, inTurn := sim, sim
	for view := sim.nodes[i].view + 1; view < len(sim.views); view++ {
		direct, inTurn = sim.clone(), inTurn.clone()
		direct.learn(i, view)
		inTurn.learn(i, view)
		out = append(out, direct)
		if view > sim.nodes[i].view+1 {
			out = append(out, inTurn)
		}
	}
	return out
}

func (sim *simulation) learn(i, view int) {
	sim.nodes[i].view = view
	sim.handle(i, sim.viewChanged(view))
}

func memberCount(view uint) int { return bits.OnesCount(view & (1<<outShift - 1)) }

func (sim *simulation) publishView(view uint) { sim.views = append(sim.views, view) }

// idle reports whether a draining node has nothing left to send or finish.
func (sim *simulation) idle(i int) bool {
	for _, k := range sim.packets {
		if k.from == i && k.kind != reply {
			return false
		}
	}
	return !slices.ContainsFunc(sim.pending, func(p pendingRun) bool { return p.node == i })
}

// role returns the role of a node by its position in the rendezvous order of the
// key at the start.
func (sim *simulation) role(i int) string {
	all := sim.members(sim.views[0])
	home := Order(sim.key, all)[0]
	if sim.nodes[i].vm.Name == home.Name {
		return "home"
	}
	for at, vm := range witnesses(sim.key, home, all) {
		if vm.Name == sim.nodes[i].vm.Name && at < DefaultWitnesses {
			return "witness"
		}
	}
	if sim.views[0]&(1<<i) == 0 {
		return "joined"
	}
	return "other"
}

func (sim *simulation) nodeFaults(out []step, o modelOptions) []step {
	last := sim.views[len(sim.views)-1]
	has := func(kind string) bool { return slices.Contains(o.faultKinds, kind) }
	for i, n := range sim.nodes {
		if n.core == nil {
			if has("join") {
				out = append(out, step{noNode, "join", func(sim *simulation) { sim.join(i, o) }})
			}
			continue
		}
		if !n.up {
			continue
		}
		if has("crash") {
			out = append(out, step{noNode, "crash_" + sim.role(i), func(sim *simulation) { sim.crash(i) }})
		}
		if has("drain") && !n.draining && memberCount(last) > 1 && last&(1<<i) != 0 {
			out = append(out, step{i, "drain_" + sim.role(i), func(sim *simulation) { sim.drain(i) }})
		}
	}
	if has("out") && sim.out == 0 {
		for _, dc := range [...]string{"dc1", "dc2"} {
			if removed := sim.nodesIn(dc) & last; removed != 0 && memberCount(last&^removed) > 0 {
				out = append(out, step{noNode, "out_" + dc, func(sim *simulation) {
					sim.out = removed
					sim.publishView(last&^removed | removed<<outShift)
				}})
			}
		}
	}
	return out
}

func (sim *simulation) nodesIn(dc string) uint {
	var set uint
	for i, n := range sim.nodes {
		if n.core != nil && string(n.vm.DataCentre) == dc {
			set |= 1 << i
		}
	}
	return set
}

func (sim *simulation) join(i int, o modelOptions) {
	sim.publishView(sim.views[len(sim.views)-1] | 1<<i)
	sim.start(i, modelNow, o.witnesses)
}

// crash ends a process at once. Its memory and its permitted runs are lost. The
// runs that it had forwarded continue at the upstream, but their results reach
// no process.
func (sim *simulation) crash(i int) {
	sim.nodes[i].up = false
	sim.nodes[i].draining = false
	sim.pending = slices.DeleteFunc(sim.pending, func(p pendingRun) bool { return p.node == i })
}

func (sim *simulation) drain(i int) {
	sim.nodes[i].draining = true
	sim.publishView(sim.views[len(sim.views)-1]&^(1<<i) | 1<<i<<outShift)
	sim.handle(i, Draining{})
}
