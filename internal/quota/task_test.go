package quota

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// fakeFleet passes requests between the tasks of one VM list.
type fakeFleet struct {
	view  *fleet.View
	tasks map[fleet.Address]*Task
}

func (f *fakeFleet) View() *fleet.View { return f.view }

func (f *fakeFleet) AskToCount(_ context.Context, to fleet.Address, gateways []string) ([]string, error) {
	t, ok := f.tasks[to]
	if !ok {
		return nil, result.Errorf(result.SidecarUnreached, "no process at %s", to)
	}
	return t.Count(t.Now(), gateways), nil
}

// One of 21 gateways never answers. The other gateways join after the hold time
// with equal shares, and their tasks stop when the context is cancelled.
func TestTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{view: &fleet.View{ConfirmedAt: time.Now().Add(time.Hour)}, tasks: make(map[fleet.Address]*Task)}
		f.view.VMs.Version = 1
		for i := range 21 {
			vm := fleet.VM{Name: fleet.VMName(fmt.Sprintf("vm_%d", i)), Role: fleet.Gateway, Address: fleet.Address(fmt.Sprint(i))}
			f.view.VMs.VMs = append(f.view.VMs.VMs, vm)
			if i > 0 {
				f.tasks[vm.Address] = &Task{Self: vm.Name, Fleet: f, Now: time.Now, HoldTime: testHoldTime}
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		for _, k := range f.tasks {
			group.Go(func() { assert.Check(t, k.Run(ctx)) })
		}
		<-time.After(testHoldTime)
		a := table.Account{Name: "large", InFlight: 500}
		sum := func() (n int) {
			for _, k := range f.tasks {
				for {
					if code, _ := k.Take(time.Now(), a, 0); code != result.OK {
						break
					}
					n++
				}
			}
			return n
		}
		assert.Equal(t, sum(), 0)
		<-time.After(testHoldTime / 2)
		n := sum()
		assert.Assert(t, n > 450 && n <= 500, "%d", n)
		cancel()
		group.Wait()
	})
}
