package gateway

import (
	"context"
	"time"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// watchRetryDelay is the delay before a failed watch of a sidecar is retried.
	watchRetryDelay = 200 * time.Millisecond
	// watchCheckInterval is how often watches of sidecars that have left the pool are
	// checked. Such a watch lasts until what they run has ended.
	watchCheckInterval = time.Second
)

// memberWatcher keeps the pool in step with the fleet view and watches the
// reports of the sidecars in it.
type memberWatcher struct {
	gateway *Gateway
	watches map[dispatch.Candidate]context.CancelFunc
}

// Run updates the pool on each change of the view until ctx is cancelled.
func (m *memberWatcher) Run(ctx context.Context) error {
	m.watches = make(map[dispatch.Candidate]context.CancelFunc)
	changed := m.gateway.Fleet.Changed()
	var wasOut map[table.DataCentreName]bool
	check := time.NewTicker(watchCheckInterval)
	defer check.Stop()
	for {
		if v := m.gateway.Fleet.View(); v.Table != nil {
			m.updateMembers(ctx, v)
			wasOut = m.logDataCentres(v.Table, wasOut)
		}
		for unchanged := true; unchanged; {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
				unchanged = false
			case <-check.C:
				m.endWatches()
			}
		}
	}
}

func (m *memberWatcher) updateMembers(ctx context.Context, v *fleet.View) {
	chosen := subset(m.gateway.Name, v, m.gateway.MinSubset)
	m.gateway.pool.Set(chosen)
	for _, c := range chosen {
		if m.watches[c.Candidate] == nil {
			watching, cancel := context.WithCancel(ctx)
			m.watches[c.Candidate] = cancel
			go m.watch(watching, c.Candidate)
		}
	}
	m.endWatches()
}

func (m *memberWatcher) endWatches() {
	for c, cancel := range m.watches {
		if !m.gateway.pool.Watched(c) {
			cancel()
			delete(m.watches, c)
		}
	}
}

func (m *memberWatcher) logDataCentres(t *table.Table, before map[table.DataCentreName]bool) map[table.DataCentreName]bool {
	now := make(map[table.DataCentreName]bool)
	for name, dc := range t.DataCentres {
		now[name] = dc.State == table.Out
		if before == nil || before[name] == now[name] {
			continue
		}
		n := event.DataCentreIn
		if now[name] {
			n = event.DataCentreOut
		}
		m.gateway.Log.Write(n, "data_centre", name, "revision", t.Revision)
	}
	return now
}

// watch receives the reports of one sidecar until ctx is cancelled. It retries
// failed watches.
func (m *memberWatcher) watch(ctx context.Context, c dispatch.Candidate) {
	for ctx.Err() == nil {
		m.watchOnce(ctx, c)
		pause := time.NewTimer(watchRetryDelay)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
		}
	}
}

func (m *memberWatcher) watchOnce(ctx context.Context, c dispatch.Candidate) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v := m.gateway.Fleet.View()
	client := wire.NewDRPCWorkClient(m.gateway.Dialer.To(string(c.Address)))
	stream, err := client.Watch(ctx, &wire.WatchRequest{
		Gateway:       string(m.gateway.Name),
		TableRevision: uint64(v.Table.Revision),
		VmListVersion: uint64(v.VMs.Version),
	})
	if err != nil {
		return
	}
	heartbeatTimer := time.AfterFunc(dispatch.HeartbeatTimeout, cancel)
	defer heartbeatTimer.Stop()
	for {
		r, err := stream.Recv()
		if err != nil {
			return
		}
		heartbeatTimer.Reset(dispatch.HeartbeatTimeout)
		m.applyReport(c, r)
	}
}

func (m *memberWatcher) applyReport(c dispatch.Candidate, r *wire.Report) {
	m.gateway.pool.SetReport(time.Now(), c, dispatch.Report{
		Refusing:    result.Code(r.RefusingCode),
		Limit:       int(r.Limit),
		InFlight:    int(r.InFlight),
		Parked:      int(r.Parked),
		Cold:        r.Cold,
		Incarnation: fleet.Incarnation(r.Incarnation),

		UpstreamSilent: r.UpstreamSilent,
	})
	m.gateway.Fleet.ObserveVersions(table.Revision(r.TableRevision), fleet.ListVersion(r.VmListVersion), c.Address)
}
