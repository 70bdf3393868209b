package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Default settings of a gateway.
const (
	maxWaiting = 4096
	retryShare = 0.1
)

// gateway simulates a gateway process around the state machines of package
// dispatch.
type gateway struct {
	sim        *simulation
	dataCentre table.DataCentreName
	pool       dispatch.Pool
	queue      dispatch.Queue
	budget     dispatch.RetryBudget
	chooser    chooser
	// out holds the data centres that are out according to the table of this
	// gateway.
	out map[table.DataCentreName]bool
	// open holds the calls in progress in the order of their arrival.
	open []*call
}

func newGateway(sim *simulation, number int, dc table.DataCentreName) *gateway {
	g := &gateway{sim: sim, dataCentre: dc, out: make(map[table.DataCentreName]bool)}
	g.pool.Seed = sim.seed*policyStream + uint64(number)
	g.queue.Max = maxWaiting
	g.budget.Share = retryShare
	if sim.policy.pushes() {
		g.chooser = sim.policy.newChooser(rand.New(rand.NewPCG(sim.seed, policyStream+uint64(number))))
	}
	g.updatePool()
	return g
}

// setOut applies an edit of the table that takes a data centre out of service or
// puts it back.
func (g *gateway) setOut(dc table.DataCentreName, out bool) {
	g.out[dc] = out
	g.updatePool()
}

func (g *gateway) updatePool() {
	var members []dispatch.Member
	for _, sc := range g.sim.sidecars {
		m := dispatch.Member{Candidate: sc.candidate(), Row: sc.engine.row, DataCentre: sc.vm.DataCentre}
		if g.out[sc.vm.DataCentre] {
			m.OutCode = result.DataCentreOut
		}
		members = append(members, m)
	}
	g.pool.Set(members)
}

// accept starts a call, or finishes it with result.QueueFull if the queue is full
// and holds no call of a lower tier to evict.
func (g *gateway) accept(c *call) {
	c.gateway = g
	c.queueEntry = g.queue.Enqueue(c.class.Tier)
	if c.queueEntry == nil {
		c.finish(dispatch.Finish{Code: result.QueueFull})
		return
	}
	g.open = append(g.open, c)
	g.notifyEvicted()
	g.budget.Earn()
	c.start()
}

// notifyEvicted informs calls that the queue has evicted. The queue evicts only
// when it is full.
func (g *gateway) notifyEvicted() {
	if g.queue.Waiting() < g.queue.Max {
		return
	}
	for _, c := range slices.Clone(g.open) {
		select {
		case <-c.queueEntry.Evicted:
			c.handle(dispatch.Evicted{})
		default:
		}
	}
}

func (g *gateway) remove(c *call) {
	g.queue.Remove(c.queueEntry)
	if i := slices.Index(g.open, c); i >= 0 {
		g.open = slices.Delete(g.open, i, i+1)
	}
}

// picker returns a function that selects the next candidate for a call.
func (g *gateway) picker(c *call) dispatch.Picker {
	return func(now time.Time, tried map[dispatch.Candidate]bool) (dispatch.Candidate, bool) {
		if g.chooser == nil {
			return g.pool.Pick(now, c.class.Kind, c.service, tried)
		}
		members := eligible(now, g.pool.Members(), c.class.Kind, c.service, tried)
		if len(members) == 0 {
			return dispatch.Candidate{}, false
		}
		return g.chooser.choose(members).Candidate, true
	}
}
