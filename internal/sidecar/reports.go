package sidecar

import (
	"sync"
	"time"

	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// reportInterval is the interval between reports while nothing changes. Reports
// are the heartbeat by which gateways know that the sidecar is running.
const reportInterval = 400 * time.Millisecond

// minReportInterval is the minimum time between two reports that both accept work,
// or both refuse it for the same reason.
const minReportInterval = 100 * time.Millisecond

// reports holds the current state and notifies its watchers of changes.
type reports struct {
	mu       sync.Mutex
	state    admission.State
	watchers map[chan struct{}]bool
}

func (r *reports) publish(s admission.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
	r.notifyLocked()
}

// notify notifies the watchers of a change beside the state.
func (r *reports) notify() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notifyLocked()
}

func (r *reports) notifyLocked() {
	for c := range r.watchers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// store sets the state without notifying watchers. The state is sent with the next
// report.
func (r *reports) store(s admission.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = s
}

func (r *reports) get() admission.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// watch returns a channel that is signalled on changes, and a function that ends
// the watch.
func (r *reports) watch() (<-chan struct{}, func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watchers == nil {
		r.watchers = make(map[chan struct{}]bool)
	}
	c := make(chan struct{}, 1)
	r.watchers[c] = true
	return c, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.watchers, c)
	}
}

// Watch sends a report immediately, on each change and at a fixed interval. A
// changed reason for refusing work is sent immediately. Any other change waits for
// minReportInterval, so that a queue that fills and empties many times per second
// does not cause as many messages to every gateway.
func (w *Work) Watch(r *wire.WatchRequest, stream wire.DRPCWork_WatchStream) error {
	s := w.Sidecar
	s.Fleet.ObserveVersions(table.Revision(r.TableRevision), fleet.ListVersion(r.VmListVersion), "")
	changed, stop := s.reports.watch()
	defer stop()
	heartbeat := time.NewTimer(reportInterval)
	defer heartbeat.Stop()
	var sent time.Time
	var sentCode result.Code
	for {
		if wait := minReportInterval - time.Since(sent); wait <= 0 || s.reports.get().Refusing != sentCode {
			report := s.report()
			if err := stream.Send(report); err != nil {
				return err
			}
			sent, sentCode = time.Now(), result.Code(report.RefusingCode)
			heartbeat.Reset(reportInterval)
		} else {
			heartbeat.Reset(wait)
		}
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-stream.Context().Done():
			return nil
		}
	}
}

func (s *Sidecar) report() *wire.Report {
	st := s.reports.get()
	v := s.Fleet.View()
	r := &wire.Report{
		Upstream:      string(s.UpstreamName),
		Incarnation:   string(s.Incarnation),
		RefusingCode:  uint32(st.Refusing),
		Limit:         uint32(st.Limit),
		InFlight:      uint32(st.InFlight),
		Parked:        uint32(st.Parked),
		Cold:          st.Cold,
		VmListVersion: uint64(v.VMs.Version),
		// Only a gateway knows whether another upstream can continue what runs.
		UpstreamSilent: s.upstreamSilent.Load(),
	}
	if v.Table != nil {
		r.TableRevision = uint64(v.Table.Revision)
	}
	return r
}
