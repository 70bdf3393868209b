package sidecar

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/engine"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/order"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// fakeFleet is a Fleet whose view is set by the test.
type fakeFleet struct {
	view    atomic.Pointer[fleet.View]
	changed chan struct{}
	// viewDelay delays the next call of View by the duration received.
	viewDelay chan time.Duration
	// renew is called by Renew.
	renew func()
}

func (f *fakeFleet) View() *fleet.View {
	select {
	case d := <-f.viewDelay:
		<-time.After(d)
	default:
	}
	return f.view.Load()
}

func (f *fakeFleet) Changed() <-chan struct{}                                         { return f.changed }
func (f *fakeFleet) ObserveVersions(table.Revision, fleet.ListVersion, fleet.Address) {}

func (f *fakeFleet) Renew(context.Context) error {
	f.renew()
	return nil
}

// fakeEngine is an OrderSender that accepts and records every order.
type fakeEngine struct{ orders []engine.Order }

func (e *fakeEngine) Order(_ context.Context, o engine.Order) error {
	e.orders = append(e.orders, o)
	return nil
}

func viewOf(load table.LoadName, revision table.Revision) *fleet.View {
	return &fleet.View{
		Table: &table.Table{
			Revision: 9, UpstreamsRevision: revision,
			DataCentres: map[table.DataCentreName]table.DataCentre{"north": {State: table.In}},
			Upstreams: map[table.UpstreamName]table.Upstream{
				"draft_1": {Name: "draft_1", DataCentre: "north", Kind: table.Engine, Load: load},
			},
		},
		VMs: fleet.VMList{VMs: []fleet.VM{{
			Name: "vm_1", Role: fleet.Sidecar, Upstream: "draft_1", State: fleet.Live,
		}}},
		Ready: true,
	}
}

// After a pause a pending order waits until the view is renewed. It is dropped if
// its row has changed, even if Changed has not signalled the change yet.
func TestOrdersAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{changed: make(chan struct{}, 1), viewDelay: make(chan time.Duration, 1)}
		f.view.Store(viewOf("draft@v1", 4))
		f.renew = func() {
			<-time.After(3 * time.Second)
			f.view.Store(viewOf("draft@v2", 5))
		}
		e := &fakeEngine{}
		o := &Orders{
			Fleet: f, Engine: e, VM: "vm_1", UpstreamName: "draft_1",
			Log:   &event.Log{Logger: log.New(io.Discard)},
			count: func(result.Code) {}, checkHealth: func(context.Context) {},
		}
		o.Init()
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = o.Run(ctx) }()
		synctest.Wait()

		f.viewDelay <- 2 * time.Second
		f.changed <- struct{}{}
		<-time.After(3 * time.Second)
		o.healthChecked(engine.Health{Up: true, Instance: "e-0"}, nil)
		<-time.After(5 * time.Second)
		cancel()
		synctest.Wait()
		assert.DeepEqual(t, e.orders, []engine.Order{{Order: "load draft@v2", Fencing: 5}})
	})
}

// The fencing token of an order is the revision of the section upstreams, not of
// the whole table. Orders are on hold while the view may be stale.
func TestOrdersConfiguration(t *testing.T) {
	tests := []struct {
		name   string
		edit   func(v *fleet.View)
		onHold bool
	}{
		{"current view", func(*fleet.View) {}, false},
		{"peers were not asked", func(v *fleet.View) { v.Ready = false }, true},
		{"paused", func(v *fleet.View) { v.Paused = true }, true},
		{"leaving", func(v *fleet.View) { v.VMs.VMs[0].State = fleet.Leaving }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f, v := &fakeFleet{}, viewOf("draft@v1", 4)
			f.view.Store(v)
			tt.edit(v)
			got := (&Orders{Fleet: f, VM: "vm_1", UpstreamName: "draft_1"}).configuration().(order.Configured)
			assert.Equal(t, got.OnHold, tt.onHold)
			assert.Equal(t, got.Wanted, table.LoadName("draft@v1"))
			assert.Equal(t, got.Fencing, order.FencingToken(4))
		})
	}
	f := &fakeFleet{}
	f.view.Store(&fleet.View{})
	assert.DeepEqual(t, (&Orders{Fleet: f}).configuration(), order.Message(order.Configured{OnHold: true}))
}

// An order that was decided on before a pause but not yet sent is dropped.
func TestOrderDroppedAfterPause(t *testing.T) {
	e := &fakeEngine{}
	o := &Orders{Engine: e, checkHealth: func(context.Context) {}}
	o.Init()
	o.calls.Add(1)
	o.sendOrder(t.Context(), order.Order{Load: "draft@v1", Fencing: 4}, time.Now().Add(-2*pauseGap))
	assert.DeepEqual(t, (<-o.inbox).message, order.Message(order.Ended{Code: result.Paused}))
	assert.Equal(t, len(e.orders), 0)
}
