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

func (q deliveryQueue) Len() int { return len(q) }
func (q deliveryQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q deliveryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *deliveryQueue) Push(x any)   { *q = append(*q, x.(delivery)) }
func (q *deliveryQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
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
	s := &simulation{
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
	s.platform = make([]int, size)
	for i := range size {
		a := Address(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250))
		s.list.VMs = append(s.list.VMs, VM{
			Name:       VMName(fmt.Sprintf("vm_%04d", i)),
			DataCentre: table.DataCentreName(fmt.Sprintf("dc_%d", i%centreCount)),
			Address:    a,
			State:      Live,
		})
		s.index[a] = i
	}
	s.set("classes", "fine")
	for i := range valueCount - 1 {
		s.set(fmt.Sprintf("accounts_%02d", i), "fine")
	}
	return s
}

// start starts process i with two seeds.
func (s *simulation) start(i int) {
	for len(s.cores) <= i {
		s.cores = append(s.cores, nil)
	}
	n := len(s.list.VMs)
	s.cores[i] = &Core{
		Self:  s.list.VMs[i],
		Seeds: []Address{s.list.VMs[0].Address, s.list.VMs[n/2].Address},
		Parse: fakeParse,
		Seed:  uint64(i) + 1,
	}
	delete(s.readyAt, i)
	offset := time.Duration(s.random.Int64N(int64(TickInterval)))
	s.send(offset, delivery{to: i, message: Ticked{}})
}

func (s *simulation) send(after time.Duration, m delivery) {
	m.at = s.now.Add(after)
	m.order = s.order
	s.order++
	heap.Push(&s.queue, m)
}

// set simulates an edit by an operator.
func (s *simulation) set(name, text string) {
	s.latest++
	data := append(make([]byte, 0, valueBytes), text...)
	s.values[name] = Value{name, s.latest, data[:valueBytes]}
	waiting := s.waiting
	s.waiting = nil
	for _, m := range waiting {
		watched := m.message.(Watched)
		s.sendWatched(m.to, watched.Sent, 0)
	}
}

// run runs the simulation until done reports true, for limit at most, and returns
// the virtual time that passed.
func (s *simulation) run(limit time.Duration, done func() bool) time.Duration {
	start := s.now
	checked := start
	for len(s.queue) > 0 && s.now.Sub(start) < limit {
		m := heap.Pop(&s.queue).(delivery)
		s.now = m.at
		s.deliver(m)
		if s.now.Sub(checked) >= 10*time.Millisecond {
			checked = s.now
			if done() {
				break
			}
		}
	}
	return s.now.Sub(start)
}

func (s *simulation) deliver(m delivery) {
	c := s.cores[m.to]
	if c == nil {
		return
	}
	if watched, ok := m.message.(Watched); ok && watched.Changed == nil && watched.Err == nil {
		s.answerWatch(m.to, watched)
		return
	}
	if _, ok := m.message.(Ticked); ok {
		s.send(TickInterval, delivery{to: m.to, message: Ticked{}})
	}
	for _, e := range c.Handle(s.now, m.message) {
		s.carryOut(m, e)
	}
}

func (s *simulation) carryOut(m delivery, e Effect) {
	switch e := e.(type) {
	case ViewChanged:
		if e.View.Table != nil {
			s.appliedRevision[m.to] = e.View.Table.Revision
		}
		if _, known := s.readyAt[m.to]; e.View.Ready && !known {
			s.readyAt[m.to] = s.now
		}
	case CallSync:
		s.executeSync(m.to, e)
	case Answer:
		size := proto.Size(e.Reply)
		s.bytes[m.to] += size
		s.bytes[m.from] += size
		s.send(s.latency(m.to, m.from), delivery{to: m.from, message: SyncAnswered{
			Sent: m.call.Sent, From: m.call.To, Pull: m.call.Pull, Reply: e.Reply,
		}})
	case CallWatch:
		s.count(m.to)
		s.watch(m.to, e)
	case CallGet:
		s.count(m.to)
		v, err := s.values[e.Name], s.down()
		s.platform[m.to] += len(v.Data)
		s.send(4*time.Millisecond, delivery{to: m.to, message: Got{e.Name, v, err}})
	case CallList:
		s.count(m.to)
		s.listFor(m.to, e)
	}
}

func (s *simulation) executeSync(from int, e CallSync) {
	to := s.index[e.To]
	if to >= len(s.cores) || s.cores[to] == nil || s.partitioned(from, to) {
		s.send(time.Second, delivery{to: from, message: SyncAnswered{Sent: e.Sent, From: e.To, Pull: e.Pull, Err: errDown}})
		return
	}
	size := proto.Size(e.Request)
	s.bytes[from] += size
	s.bytes[to] += size
	s.send(s.latency(from, to), delivery{to: to, message: SyncRequested{e.Request}, from: from, call: e})
}

func (s *simulation) down() error {
	if s.serviceDown {
		return errDown
	}
	return nil
}

func (s *simulation) watch(i int, e CallWatch) {
	if s.serviceDown {
		s.send(4*time.Millisecond, delivery{to: i, message: Watched{Sent: e.Sent, Err: errDown}})
		return
	}
	if e.After < s.latest {
		s.sendWatched(i, e.Sent, e.After)
		return
	}
	s.send(e.Wait, delivery{to: i, message: Watched{Sent: e.Sent, Revision: e.After}})
	s.waiting = append(s.waiting, delivery{to: i, message: Watched{Sent: e.Sent, Revision: e.After}})
}

// answerWatch answers a watch at the end of its wait. The core ignores the reply
// if an edit has ended the watch before.
func (s *simulation) answerWatch(i int, m Watched) {
	m.Changed = []ValueRevision{}
	for _, e := range s.cores[i].Handle(s.now, m) {
		s.carryOut(delivery{to: i}, e)
	}
	remaining := s.waiting[:0]
	for _, o := range s.waiting {
		if o.to != i {
			remaining = append(remaining, o)
		}
	}
	s.waiting = remaining
}

func (s *simulation) sendWatched(i int, sent time.Time, after table.Revision) {
	changed := []ValueRevision{}
	for _, v := range sortedByName(s.values) {
		if v.Revision > after {
			changed = append(changed, ValueRevision{v.Name, v.Revision})
		}
	}
	s.platform[i] += 40 * len(changed)
	s.send(4*time.Millisecond, delivery{to: i, message: Watched{sent, s.latest, changed, nil}})
}

func (s *simulation) listFor(i int, e CallList) {
	answer := delivery{to: i, message: Listed{Sent: e.Sent, Err: s.down()}}
	if e.After < s.list.Version && !s.serviceDown {
		answer.message = Listed{Sent: e.Sent, List: s.list}
		s.platform[i] += 150 * len(s.list.VMs)
		s.send(4*time.Millisecond, answer)
		return
	}
	s.send(e.Wait, answer)
}

func (s *simulation) count(int) { s.calls[s.now.UnixMilli()/100]++ }

// maxCalls returns the maximum number of calls in any second, and resets the
// counters.
func (s *simulation) maxCalls() int {
	most := 0
	for t := range s.calls {
		sum := 0
		for i := range int64(10) {
			sum += s.calls[t+i]
		}
		most = max(most, sum)
	}
	clear(s.calls)
	return most
}

// rates returns the mean and maximum bytes per second of a process over d, and
// resets the counters.
func (s *simulation) rates(d time.Duration) (mean, most float64) {
	for i, b := range s.bytes {
		rate := float64(b) / d.Seconds()
		mean += rate / float64(len(s.bytes))
		most = max(most, rate)
		s.bytes[i] = 0
	}
	return mean, most
}

func (s *simulation) latency(a, b int) time.Duration {
	jitter := time.Duration(s.random.Int64N(int64(time.Millisecond)))
	switch {
	case a%centreCount == b%centreCount:
		return 200*time.Microsecond + jitter
	case a%regionCount == b%regionCount:
		return time.Millisecond + jitter
	}
	return 40*time.Millisecond + jitter
}

func (s *simulation) allReady() bool { return len(s.readyAt) == len(s.cores) }

func (s *simulation) allUpToDate() bool {
	for i, r := range s.appliedRevision {
		if r != s.latest && s.cores[i] != nil {
			return false
		}
	}
	return true
}

func (s *simulation) oldestConfirmation() time.Duration {
	var age time.Duration
	for _, c := range s.cores {
		if c == nil {
			continue
		}
		age = max(age, s.now.Sub(c.confirmedAt))
	}
	return age
}
