package fleet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	regionCount = 4
	centreCount = 8
	valueCount  = 67
	valueBytes  = 6 << 10
)

// delivery is a message in transit to a process.
type delivery struct {
	at      time.Time
	order   int
	to      int
	message Message
	// from and call are set for a request from a peer: the sender, and the call
	// to which the reply belongs.
	from int
	call CallSync
}

type deliveryQueue []delivery

func (b deliveryQueue) Len() int { return len(b) }
func (b deliveryQueue) Less(i, j int) bool {
	if !b[i].at.Equal(b[j].at) {
		return b[i].at.Before(b[j].at)
	}
	return b[i].order < b[j].order
}
func (b deliveryQueue) Swap(i, j int) { b[i], b[j] = b[j], b[i] }
func (b *deliveryQueue) Push(x any)   { *b = append(*b, x.(delivery)) }
func (b *deliveryQueue) Pop() any {
	last := (*b)[len(*b)-1]
	*b = (*b)[:len(*b)-1]
	return last
}

// simulation runs a fleet of cores and a platform in virtual time.
type simulation struct {
	now    time.Time
	queue  deliveryQueue
	order  int
	random *rand.Rand
	cores  []*Core
	index  map[Address]int
	list   VMList
	values map[string]Value
	latest table.Revision
	// serviceDown and partitioned inject faults: the configuration service and
	// the VM list do not answer, and two processes cannot reach each other.
	serviceDown bool
	partitioned func(a, b int) bool

	calls           map[int64]int
	bytes           []int
	platform        []int
	readyAt         map[int]time.Time
	appliedRevision []table.Revision
	waiting         []delivery
	waitingFrom     []table.Revision
}

func newSimulation(size int) *simulation {
	w := &simulation{
		now:             time.Unix(10000, 0),
		random:          rand.New(rand.NewPCG(7, 7)),
		index:           make(map[Address]int),
		values:          make(map[string]Value),
		partitioned:     func(int, int) bool { return false },
		calls:           make(map[int64]int),
		bytes:           make([]int, size),
		appliedRevision: make([]table.Revision, size),
		readyAt:         make(map[int]time.Time),
		list:            VMList{Version: 1},
	}
	w.platform = make([]int, size)
	for i := range size {
		a := Address(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
		w.list.VMs = append(w.list.VMs, VM{
			Name:       VMName(fmt.Sprintf("vm_%04d", i)),
			DataCentre: table.DataCentreName(fmt.Sprintf("dc_%d", i%centreCount)),
			Address:    a,
			State:      Live,
		})
		w.index[a] = i
	}
	w.set("classes", "fine")
	for i := range valueCount - 1 {
		w.set(fmt.Sprintf("accounts_%02d", i), "fine")
	}
	return w
}

// start starts process i with two seeds.
func (w *simulation) start(i int) {
	for len(w.cores) <= i {
		w.cores = append(w.cores, nil)
	}
	n := len(w.list.VMs)
	w.cores[i] = &Core{
		Self:  w.list.VMs[i],
		Seeds: []Address{w.list.VMs[0].Address, w.list.VMs[n/2].Address},
		Parse: fakeParse,
		Seed:  uint64(i) + 1,
	}
	delete(w.readyAt, i)
	offset := time.Duration(w.random.Int64N(int64(TickInterval)))
	w.send(offset, delivery{to: i, message: Ticked{}})
}

func (w *simulation) send(after time.Duration, m delivery) {
	m.at = w.now.Add(after)
	m.order = w.order
	w.order++
	heap.Push(&w.queue, m)
}

// set simulates an edit by an operator.
func (w *simulation) set(name, text string) {
	w.latest++
	data := append(make([]byte, 0, valueBytes), text...)
	w.values[name] = Value{name, w.latest, data[:valueBytes]}
	waiting := w.waiting
	w.waiting = nil
	for _, m := range waiting {
		s := m.message.(Watched)
		w.sendWatched(m.to, s.Sent, 0)
	}
}

// run runs the simulation until done reports true, for limit at most, and returns
// the virtual time that passed.
func (w *simulation) run(limit time.Duration, done func() bool) time.Duration {
	start := w.now
	checked := start
	for len(w.queue) > 0 && w.now.Sub(start) < limit {
		m := heap.Pop(&w.queue).(delivery)
		w.now = m.at
		w.deliver(m)
		if w.now.Sub(checked) >= 10*time.Millisecond {
			checked = w.now
			if done() {
				break
			}
		}
	}
	return w.now.Sub(start)
}

func (w *simulation) deliver(m delivery) {
	c := w.cores[m.to]
	if c == nil {
		return
	}
	if watched, ok := m.message.(Watched); ok && watched.Changed == nil && watched.Err == nil {
		w.answerWatch(m.to, watched)
		return
	}
	if _, ok := m.message.(Ticked); ok {
		w.send(TickInterval, delivery{to: m.to, message: Ticked{}})
	}
	for _, e := range c.Handle(w.now, m.message) {
		w.carryOut(m, e)
	}
}

func (w *simulation) carryOut(m delivery, e Effect) {
	switch e := e.(type) {
	case ViewChanged:
		if e.View.Table != nil {
			w.appliedRevision[m.to] = e.View.Table.Revision
		}
		if _, known := w.readyAt[m.to]; e.View.Ready && !known {
			w.readyAt[m.to] = w.now
		}
	case CallSync:
		w.executeSync(m.to, e)
	case Answer:
		size := proto.Size(e.Reply)
		w.bytes[m.to] += size
		w.bytes[m.from] += size
		w.send(w.latency(m.to, m.from), delivery{to: m.from, message: SyncAnswered{
			Sent: m.call.Sent, From: m.call.To, Pull: m.call.Pull, Reply: e.Reply,
		}})
	case CallWatch:
		w.count(m.to)
		w.watch(m.to, e)
	case CallGet:
		w.count(m.to)
		v, err := w.values[e.Name], w.down()
		w.platform[m.to] += len(v.Data)
		w.send(4*time.Millisecond, delivery{to: m.to, message: Got{e.Name, v, err}})
	case CallList:
		w.count(m.to)
		w.listFor(m.to, e)
	}
}

func (w *simulation) executeSync(from int, e CallSync) {
	to := w.index[e.To]
	if to >= len(w.cores) || w.cores[to] == nil || w.partitioned(from, to) {
		w.send(time.Second, delivery{to: from, message: SyncAnswered{Sent: e.Sent, From: e.To, Pull: e.Pull, Err: errDown}})
		return
	}
	size := proto.Size(e.Request)
	w.bytes[from] += size
	w.bytes[to] += size
	w.send(w.latency(from, to), delivery{to: to, message: SyncRequested{e.Request}, from: from, call: e})
}

func (w *simulation) down() error {
	if w.serviceDown {
		return errDown
	}
	return nil
}

func (w *simulation) watch(i int, e CallWatch) {
	if w.serviceDown {
		w.send(4*time.Millisecond, delivery{to: i, message: Watched{Sent: e.Sent, Err: errDown}})
		return
	}
	if e.After < w.latest {
		w.sendWatched(i, e.Sent, e.After)
		return
	}
	w.send(e.Wait, delivery{to: i, message: Watched{Sent: e.Sent, Revision: e.After}})
	w.waiting = append(w.waiting, delivery{to: i, message: Watched{Sent: e.Sent, Revision: e.After}})
}

// answerWatch answers a watch at the end of its wait. The core ignores the reply
// if an edit has ended the watch before.
func (w *simulation) answerWatch(i int, m Watched) {
	m.Changed = []ValueRevision{}
	for _, e := range w.cores[i].Handle(w.now, m) {
		w.carryOut(delivery{to: i}, e)
	}
	remaining := w.waiting[:0]
	for _, o := range w.waiting {
		if o.to != i {
			remaining = append(remaining, o)
		}
	}
	w.waiting = remaining
}

func (w *simulation) sendWatched(i int, sent time.Time, after table.Revision) {
	changed := []ValueRevision{}
	for _, v := range sortedByName(w.values) {
		if v.Revision > after {
			changed = append(changed, ValueRevision{v.Name, v.Revision})
		}
	}
	w.platform[i] += 40 * len(changed)
	w.send(4*time.Millisecond, delivery{to: i, message: Watched{sent, w.latest, changed, nil}})
}

func (w *simulation) listFor(i int, e CallList) {
	answer := delivery{to: i, message: Listed{Sent: e.Sent, Err: w.down()}}
	if e.After < w.list.Version && !w.serviceDown {
		answer.message = Listed{Sent: e.Sent, List: w.list}
		w.platform[i] += 150 * len(w.list.VMs)
		w.send(4*time.Millisecond, answer)
		return
	}
	w.send(e.Wait, answer)
}

func (w *simulation) count(int) { w.calls[w.now.UnixMilli()/100]++ }

// maxCalls returns the maximum number of calls in any second, and resets the
// counters.
func (w *simulation) maxCalls() int {
	most := 0
	for t := range w.calls {
		sum := 0
		for i := range int64(10) {
			sum += w.calls[t+i]
		}
		most = max(most, sum)
	}
	clear(w.calls)
	return most
}

// rates returns the mean and maximum bytes per second of a process over d, and
// resets the counters.
func (w *simulation) rates(d time.Duration) (mean, most float64) {
	for i, b := range w.bytes {
		rate := float64(b) / d.Seconds()
		mean += rate / float64(len(w.bytes))
		most = max(most, rate)
		w.bytes[i] = 0
	}
	return mean, most
}

func (w *simulation) latency(a, b int) time.Duration {
	jitter := time.Duration(w.random.Int64N(int64(time.Millisecond)))
	switch {
	case a%centreCount == b%centreCount:
		return 200*time.Microsecond + jitter
	case a%regionCount == b%regionCount:
		return time.Millisecond + jitter
	}
	return 40*time.Millisecond + jitter
}

func (w *simulation) allReady() bool { return len(w.readyAt) == len(w.cores) }

func (w *simulation) allUpToDate() bool {
	for i, r := range w.appliedRevision {
		if r != w.latest && w.cores[i] != nil {
			return false
		}
	}
	return true
}

func (w *simulation) oldestConfirmation() time.Duration {
	var age time.Duration
	for _, c := range w.cores {
		if c == nil {
			continue
		}
		age = max(age, w.now.Sub(c.confirmedAt))
	}
	return age
}
