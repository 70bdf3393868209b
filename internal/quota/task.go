package quota

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// askInterval is the time between two requests to other gateways.
	askInterval = 200 * time.Millisecond
	// joinInterval is the time between two requests until this gateway has joined.
	joinInterval = 20 * time.Millisecond
	// listInterval is the time between two reads of the VM list.
	listInterval = time.Second
	// maxConcurrentAsks is the maximum number of concurrent requests to other
	// gateways.
	maxConcurrentAsks = 8
)

// Fleet is the part of fleet.Task that a Task needs.
type Fleet interface {
	View() *fleet.View
	// AskToCount asks a gateway to count the given gateways, and returns those
	// that it counts.
	AskToCount(ctx context.Context, to fleet.Address, gateways []string) ([]string, error)
}

// Task runs a Core alongside a fleet.Task and implements fleet.GatewayCounter.
// Set the exported fields before Run. Its methods are safe for concurrent use.
type Task struct {
	Self  fleet.VMName
	Fleet Fleet
	Now   func() time.Time
	// HoldTime is the hold time of the Core; see Core.HoldTime.
	HoldTime time.Duration

	mu   sync.Mutex
	core Core
	next int
}

// Run asks the other gateways to count this gateway until ctx is done.
func (t *Task) Run(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxConcurrentAsks)
	timer := time.NewTimer(0)
	defer timer.Stop()
	lastRead := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-timer.C:
		}
		if now := t.Now(); now.Sub(lastRead) >= listInterval && t.readVMList(now) {
			lastRead = now
		}
		if vm, ok := t.nextPeer(); ok {
			group.TryGo(func() error {
				t.ask(ctx, vm)
				return nil
			})
		}
		timer.Reset(t.interval())
	}
}

// Take calls Core.Take.
func (t *Task) Take(now time.Time, a table.Account, estimate table.Tokens) (result.Code, time.Duration) {
	t.lock()
	defer t.mu.Unlock()
	return t.core.Take(now, a, estimate)
}

// Done calls Core.Done.
func (t *Task) Done(now time.Time, a table.Account, estimate, used table.Tokens) {
	t.lock()
	defer t.mu.Unlock()
	t.core.Done(now, a, estimate, used)
}

// Joined calls Core.Joined.
func (t *Task) Joined() bool {
	t.lock()
	defer t.mu.Unlock()
	return t.core.Joined()
}

// Count calls Core.Count and returns the gateways that it counted.
func (t *Task) Count(now time.Time, gateways []string) []string {
	t.lock()
	defer t.mu.Unlock()
	names := make([]fleet.VMName, 0, len(gateways))
	for _, g := range gateways {
		names = append(names, fleet.VMName(g))
	}
	t.core.Count(now, names)
	return gateways
}

func (t *Task) lock() {
	t.mu.Lock()
	t.core.Self, t.core.HoldTime = t.Self, t.HoldTime
}

func (t *Task) interval() time.Duration {
	if t.Joined() {
		return askInterval
	}
	return joinInterval
}

// readVMList passes the gateways of the VM list to the core. It returns false if
// there is no VM list yet.
func (t *Task) readVMList(now time.Time) bool {
	v := t.Fleet.View()
	if v.VMs.Version == 0 {
		return false
	}
	var names []fleet.VMName
	for _, vm := range v.VMs.VMs {
		if vm.Role == fleet.Gateway {
			names = append(names, vm.Name)
		}
	}
	t.lock()
	defer t.mu.Unlock()
	t.core.UpdateGateways(now, names, v.ConfirmedAt)
	return true
}

// nextPeer returns the next gateway to ask, in rotation. While some gateways have
// not answered that they count this gateway, it rotates over these only.
func (t *Task) nextPeer() (fleet.VM, bool) {
	t.lock()
	pending := t.core.members.pendingPeers(t.Self)
	t.mu.Unlock()
	var vms []fleet.VM
	for _, vm := range t.Fleet.View().VMs.VMs {
		if vm.Role == fleet.Gateway && vm.Name != t.Self && (len(pending) == 0 || slices.Contains(pending, vm.Name)) {
			vms = append(vms, vm)
		}
	}
	if len(vms) == 0 {
		return fleet.VM{}, false
	}
	t.next++
	return vms[t.next%len(vms)], true
}

func (t *Task) ask(ctx context.Context, vm fleet.VM) {
	names, err := t.Fleet.AskToCount(ctx, vm.Address, []string{string(t.Self)})
	if err != nil {
		return
	}
	t.lock()
	defer t.mu.Unlock()
	t.core.Answered(t.Now(), vm.Name, slices.Contains(names, string(t.Self)))
}
