package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Settings of a gateway, as they are by default.
const (
	maxWaiting = 4096
	retryShare = 0.1
)

// gateway is the task round the cores of package dispatch.
type gateway struct {
	world      *world
	dataCentre table.DataCentreName
	pool       dispatch.Pool
	room       dispatch.Queue
	budget     dispatch.Budget
	chooser    chooser
	// out holds the data centres that this gateway knows to be out.
	out map[table.DataCentreName]bool
	// open holds the calls under way, in the order they came.
	open []*call
}

func newGateway(w *world, number int, dc table.DataCentreName) *gateway {
	g := &gateway{world: w, dataCentre: dc, out: make(map[table.DataCentreName]bool)}
	g.pool.Seed = w.seed*policyStream + uint64(number)
	g.room.Max = maxWaiting
	g.budget.Share = retryShare
	if w.policy.pushes() {
		g.chooser = w.policy.choose(rand.New(rand.NewPCG(w.seed, policyStream+uint64(number))))
	}
	g.setPool()
	return g
}

// follow takes an edit of the table.
func (g *gateway) follow(dc table.DataCentreName, out bool) {
	g.out[dc] = out
	g.setPool()
}

func (g *gateway) setPool() {
	var members []dispatch.Member
	for _, d := range g.world.doors {
		m := dispatch.Member{Candidate: d.candidate(), Row: d.engine.row, DataCentre: d.vm.DataCentre}
		if g.out[d.vm.DataCentre] {
			m.OutCode = result.DataCentreOut
		}
		members = append(members, m)
	}
	g.pool.Set(members)
}

// take begins a call.
func (g *gateway) take(c *call) {
	c.gateway = g
	c.place = g.room.Enqueue(c.class.Tier)
	if c.place == nil {
		c.conclude(dispatch.Finish{Code: result.QueueFull})
		return
	}
	g.open = append(g.open, c)
	g.evict()
	g.budget.Earn()
	c.start()
}

// evict tells calls that lost their places.
func (g *gateway) evict() {
	if g.room.Waiting() < g.room.Max {
		return
	}
	for _, c := range slices.Clone(g.open) {
		select {
		case <-c.place.Evicted:
			c.tell(dispatch.Evicted{})
		default:
		}
	}
}

func (g *gateway) forget(c *call) {
	g.room.Remove(c.place)
	if i := slices.Index(g.open, c); i >= 0 {
		g.open = slices.Delete(g.open, i, i+1)
	}
}

// pick gives the next candidate of a call.
func (g *gateway) pick(c *call) dispatch.Picker {
	return func(now time.Time, tried map[dispatch.Candidate]bool) (dispatch.Candidate, bool) {
		if g.chooser == nil {
			return g.pool.Pick(now, c.class.Kind, c.service, tried)
		}
		members := taking(now, g.pool.Members(), c.class.Kind, c.service, tried)
		if len(members) == 0 {
			return dispatch.Candidate{}, false
		}
		return g.chooser.choose(members).Candidate, true
	}
}
