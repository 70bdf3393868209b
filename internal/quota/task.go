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
	// askInterval is the time between two questions to other gateways.
	askInterval = 200 * time.Millisecond
	// joinInterval is the same until this gateway takes part.
	joinInterval = 20 * time.Millisecond
	// listInterval is the time between two looks at the VM list.
	listInterval = time.Second
	// maxAsks bounds the questions under way.
	maxAsks = 8
)

// Fleet is what a Task needs of fleet.Task.
type Fleet interface {
	View() *fleet.View
	// Ask asks a gateway to count gateways, and gives those that it counts.
	Ask(ctx context.Context, to fleet.Address, gateways []string) ([]string, error)
}

// Task runs a Core beside a fleet.Task, whose GatewayCounter it is. Set the
// exported fields before Run. Its methods are safe for many tasks.
type Task struct {
	Self  fleet.VMName
	Fleet Fleet
	Now   func() time.Time
	// Hold is as in Core.
	Hold time.Duration

	mu   sync.Mutex
	core Core
	next int
}

// Run asks the other gateways to count this one, until ctx is done.
func (t *Task) Run(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxAsks)
	timer := time.NewTimer(0)
	defer timer.Stop()
	listed := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-timer.C:
		}
		if now := t.Now(); now.Sub(listed) >= listInterval && t.look(now) {
			listed = now
		}
		if vm, ok := t.chooseNext(); ok {
			group.TryGo(func() error {
				t.ask(ctx, vm)
				return nil
			})
		}
		timer.Reset(t.interval())
	}
}

// Take is as in Core.
func (t *Task) Take(now time.Time, a table.Account, estimate table.Tokens) (result.Code, time.Duration) {
	t.lock()
	defer t.mu.Unlock()
	return t.core.Take(now, a, estimate)
}

// Done is as in Core.
func (t *Task) Done(now time.Time, a table.Account, estimate, used table.Tokens) {
	t.lock()
	defer t.mu.Unlock()
	t.core.Done(now, a, estimate, used)
}

// Joined says that this gateway takes part.
func (t *Task) Joined() bool {
	t.lock()
	defer t.mu.Unlock()
	return t.core.Joined()
}

// Count is as in Core.
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
	t.core.Self, t.core.Hold = t.Self, t.Hold
}

func (t *Task) interval() time.Duration {
	if t.Joined() {
		return askInterval
	}
	return joinInterval
}

// look takes the gateways over from the VM list, if there is one.
func (t *Task) look(now time.Time) bool {
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
	t.core.Gateways(now, names, v.ConfirmedAt)
	return true
}

// chooseNext gives the gateways in turn, first those that do not count this
// one yet.
func (t *Task) chooseNext() (fleet.VM, bool) {
	t.lock()
	waiting := t.core.members.waiting(t.Self)
	t.mu.Unlock()
	var vms []fleet.VM
	for _, vm := range t.Fleet.View().VMs.VMs {
		if vm.Role == fleet.Gateway && vm.Name != t.Self && (len(waiting) == 0 || slices.Contains(waiting, vm.Name)) {
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
	names, err := t.Fleet.Ask(ctx, vm.Address, []string{string(t.Self)})
	if err != nil {
		return
	}
	t.lock()
	defer t.mu.Unlock()
	t.core.Answered(t.Now(), vm.Name, slices.Contains(names, string(t.Self)))
}
