package booking

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/table"
)

// The model runs the cores of a small fleet and explores every possible next
// step. Its time is fixed at two windows after the start: nodes present at the
// start have been members for a whole window, and nodes that start or join later
// have not.

const modelWindow = time.Hour

const outShift = 8

var (
	modelStart = time.Unix(1_000_000, 0)
	modelNow   = modelStart.Add(2 * modelWindow)
	modelHash  = []byte("hash")
)

type packetKind byte

const (
	ask packetKind = iota
	reply
	notification
)

type packet struct {
	kind     packetKind
	from, to int
	// incarnation is that of the asking node: a reply never reaches a later
	// process.
	incarnation int
	claimID     ClaimID
	request     *wire.ClaimRequest
	reply       *wire.ClaimReply
	// abandoned means that the asking node no longer waits for a reply.
	abandoned bool
}

type runState byte

const (
	permitted runState = iota
	forwarded
)

type pendingRun struct {
	node   int
	ref    Ref
	state  runState
	number int
}

type node struct {
	vm          fleet.VM
	core        *Core
	incarnation int
	up          bool
	draining    bool
	// view indexes simulation.views. A view is a bit set: bit i means that node i
	// is a member, and bit i+outShift means that node i is out.
	view int
}

type simulation struct {
	key     Key
	nodes   []node
	views   []uint
	packets []packet
	pending []pendingRun
	// out is the bit set of the nodes that operators took out.
	out      uint
	sends    int
	refusals int
	runs     int
	answers  int
	faults   []string
	refs     Ref
	// violation names the violated guarantee; empty if there is none.
	violation string
}

type modelOptions struct {
	sends, faults, witnesses int
	// order lists the node names in the rendezvous order of the key. Node "j"
	// joins later; "c", "d" and "f" are in another data centre than the other
	// nodes.
	order      string
	faultKinds []string
	// depth is the maximum length of an event sequence; zero means no limit.
	depth int
	// maxStates is the maximum number of states; exceeding it fails the test.
	maxStates int
}

func dataCentreOf(name byte) table.DataCentreName {
	if strings.IndexByte("cdf", name) >= 0 {
		return "dc2"
	}
	return "dc1"
}

func newSimulation(o modelOptions) *simulation {
	sim := &simulation{key: keyWithOrder(o.order), sends: o.sends, refusals: 1}
	names := []byte(strings.ReplaceAll(o.order, "j", ""))
	slices.Sort(names)
	present := len(names)
	if present < len(o.order) {
		names = append(names, 'j')
	}
	for _, n := range names {
		vm := fleet.VM{Name: fleet.VMName(n), DataCentre: dataCentreOf(n)}
		sim.nodes = append(sim.nodes, node{vm: vm})
	}
	sim.views = []uint{1<<present - 1}
	for i := range present {
		sim.start(i, modelStart, o.witnesses)
	}
	return sim
}

// keyWithOrder returns a key with the given rendezvous order.
func keyWithOrder(order string) Key {
	var vms []fleet.VM
	for _, n := range order {
		vms = append(vms, fleet.VM{Name: fleet.VMName(n)})
	}
	for i := 0; ; i++ {
		k := Key{"ward", fmt.Sprint("key_", i)}
		got := ""
		for _, vm := range Order(k, vms) {
			got += string(vm.Name)
		}
		if got == order {
			return k
		}
	}
}

func (sim *simulation) start(i int, at time.Time, witnesses int) {
	n := &sim.nodes[i]
	n.incarnation++
	n.up = true
	n.core = &Core{
		Self: n.vm, Incarnation: fleet.Incarnation(fmt.Sprint(n.vm.Name, n.incarnation)),
		Window: modelWindow, Witnesses: witnesses,
	}
	n.view = len(sim.views) - 1
	n.core.Handle(at, sim.viewChanged(n.view))
}

func (sim *simulation) viewChanged(view int) ViewChanged {
	return ViewChanged{Members: sim.members(sim.views[view]), Out: sim.members(sim.views[view] >> outShift)}
}

func (sim *simulation) members(view uint) []fleet.VM {
	var vms []fleet.VM
	for i := range sim.nodes {
		if view&(1<<i) != 0 {
			vms = append(vms, sim.nodes[i].vm)
		}
	}
	return vms
}

// clone copies the state that steps modify in place. Cores are cloned when they
// handle a message.
func (sim *simulation) clone() *simulation {
	v := *sim
	v.nodes = slices.Clone(sim.nodes)
	v.views = slices.Clone(sim.views)
	v.packets = slices.Clone(sim.packets)
	v.pending = slices.Clone(sim.pending)
	v.faults = slices.Clone(sim.faults)
	return &v
}

func (c *Core) clone() *Core {
	d := *c
	d.records = make(map[Key]*record, len(c.records))
	d.rounds = make(map[ClaimID]*record, len(c.rounds))
	d.runs = make(map[Ref]*record, len(c.runs))
	for k, r := range c.records {
		s := *r
		if r.round != nil {
			round := *r.round
			round.pending = maps.Clone(r.round.pending)
			s.round = &round
		}
		d.records[k] = &s
		if c.rounds[r.claimID] == r {
			d.rounds[r.claimID] = &s
		}
		if c.runs[r.ref] == r {
			d.runs[r.ref] = &s
		}
	}
	return &d
}

func (sim *simulation) handle(i int, m Message) {
	n := &sim.nodes[i]
	n.core = n.core.clone()
	for _, e := range n.core.Handle(modelNow, m) {
		switch e := e.(type) {
		case Run:
			sim.pending = append(sim.pending, pendingRun{node: i, ref: e.Ref})
		case ReplayAnswer:
			sim.checkAnswer(e.Answer)
		case AskWitness:
			sim.packets = append(sim.packets, packet{
				kind: ask, from: i, to: sim.index(e.To.Name), incarnation: n.incarnation, claimID: e.ClaimID, request: e.Request,
			})
		case NotifyWitness:
			sim.packets = append(sim.packets, packet{kind: notification, from: i, to: sim.index(e.To.Name), request: e.Request})
		default:
		}
	}
}

func (sim *simulation) checkAnswer(a *wire.StoredAnswer) {
	sim.answers++
	if got := string(a.Body); got != "run 1" || sim.runs == 0 {
		sim.violation = "answer"
	}
}

func (sim *simulation) index(name fleet.VMName) int {
	return slices.IndexFunc(sim.nodes, func(n node) bool { return n.vm.Name == name })
}

// deliver removes packet p from the network and passes it to its receiver.
func (sim *simulation) deliver(p int) {
	k := sim.packets[p]
	sim.packets = slices.Delete(sim.packets, p, p+1)
	n := &sim.nodes[k.to]
	if !n.up {
		sim.reportFailure(k)
		return
	}
	if k.kind == reply {
		if n.incarnation == k.incarnation {
			sim.handle(k.to, WitnessReplied{k.claimID, sim.nodes[k.from].vm.Name, k.reply})
		}
		return
	}
	n.core = n.core.clone()
	effects := n.core.Handle(modelNow, ClaimReceived{Request: k.request})
	if k.kind == ask && !k.abandoned {
		sim.packets = append(sim.packets, packet{
			kind: reply, from: k.to, to: k.from, incarnation: k.incarnation, claimID: k.claimID,
			reply: effects[0].(ReplyClaim).Reply,
		})
	}
}

// reportFailure reports to the asking node that its request or the reply was
// lost.
func (sim *simulation) reportFailure(k packet) {
	asker, witness := k.from, k.to
	if k.kind == reply {
		asker, witness = k.to, k.from
	}
	n := sim.nodes[asker]
	if k.kind == notification || k.abandoned || !n.up || n.incarnation != k.incarnation {
		return
	}
	sim.handle(asker, WitnessFailed{k.claimID, sim.nodes[witness].vm.Name})
}

// prune removes packets that can no longer change any state.
func (sim *simulation) prune() {
	sim.packets = slices.DeleteFunc(sim.packets, func(k packet) bool {
		n := sim.nodes[k.to]
		switch k.kind {
		case notification:
			return !n.up
		case reply:
			return !n.up || n.incarnation != k.incarnation || n.core.rounds[k.claimID] == nil
		default:
			return k.abandoned && !n.up
		}
	})
}

// finished reports whether nothing more can run or be answered.
func (sim *simulation) finished() bool {
	if sim.sends > 0 {
		return false
	}
	for _, n := range sim.nodes {
		if n.up && len(n.core.rounds) > 0 {
			return false
		}
	}
	return !slices.ContainsFunc(sim.pending, func(p pendingRun) bool { return p.state == permitted })
}

// fingerprint hashes the state: simulations with equal fingerprints behave
// the same.
func (sim *simulation) fingerprint() uint64 {
	b := make([]byte, 0, 512)
	b = append(b, byte(sim.sends), byte(sim.refusals), byte(sim.runs), byte(sim.out))
	for _, v := range sim.views {
		b = append(b, byte(v), byte(v>>8))
	}
	for _, n := range sim.nodes {
		b = append(b, '|', byte(n.incarnation), byte(n.view), bitOf(n.up)|bitOf(n.draining)<<1)
		if n.up {
			b = n.core.appendState(b, sim.key)
		}
	}
	ps := make([]string, 0, len(sim.packets))
	for _, k := range sim.packets {
		p := append(make([]byte, 0, 64), byte(k.kind), byte(k.from), byte(k.to), byte(k.incarnation), byte(k.claimID), bitOf(k.abandoned))
		ps = append(ps, string(appendReply(appendRequest(p, k.request), k.reply)))
	}
	slices.Sort(ps)
	for _, p := range ps {
		b = append(append(b, p...), ';')
	}
	for _, p := range sim.pending {
		b = append(b, byte(p.node), byte(p.ref), byte(p.state), byte(p.number))
	}
	b = append(b, strings.Join(sim.faults, ",")...)
	return xxhash.Sum64(b)
}

func bitOf(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func appendRequest(b []byte, q *wire.ClaimRequest) []byte {
	if q == nil {
		return b
	}
	b = append(append(b, q.HomeIncarnation...), byte(q.ClaimId), bitOf(q.Release))
	if q.Answer != nil {
		b = append(append(b, '='), q.Answer.Body...)
	}
	return b
}

func appendReply(b []byte, y *wire.ClaimReply) []byte {
	if y == nil {
		return b
	}
	b = append(b, byte(y.Code), byte(y.Code>>8), bitOf(y.UpMs > 0), bitOf(y.Answer != nil))
	return append(b, y.Home...)
}

func (c *Core) appendState(b []byte, k Key) []byte {
	b = append(b, byte(c.lastClaimID), bitOf(c.memberSince.Equal(modelNow))|bitOf(c.draining)<<1)
	r := c.records[k]
	if r == nil {
		return b
	}
	b = appendRequest(append(b, byte('0'+r.state)), r.outcomeRequest())
	if r.state != asking && r.state != running {
		return b
	}
	d := r.round
	b = append(b, byte(r.ref), byte(d.asked), byte(d.fullWindow), byte(d.objection), byte(d.objection>>8), bitOf(d.answer != nil))
	for _, vm := range d.candidates {
		b = append(b, vm.Name[0], bitOf(d.pending[vm.Name]))
	}
	return b
}
