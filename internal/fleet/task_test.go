package fleet

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// fakePlatform fakes both services of the platform and the network between peers.
type fakePlatform struct {
	mu     sync.Mutex
	list   VMList
	values map[string]Value
	latest table.Revision
	down   bool
	edited chan struct{}
	tasks  map[Address]*Task
}

func (f *fakePlatform) set(name, text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latest++
	f.values[name] = Value{name, f.latest, []byte(text)}
	close(f.edited)
	f.edited = make(chan struct{})
}

func (f *fakePlatform) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakePlatform) Watch(ctx context.Context, after table.Revision, wait time.Duration) (table.Revision, []ValueRevision, error) {
	f.mu.Lock()
	edited, latest, down := f.edited, f.latest, f.down
	f.mu.Unlock()
	if down {
		return 0, nil, errDown
	}
	if after >= latest {
		select {
		case <-edited:
		case <-time.After(wait):
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var changed []ValueRevision
	for _, v := range sortedByName(f.values) {
		if v.Revision > after {
			changed = append(changed, ValueRevision{v.Name, v.Revision})
		}
	}
	return f.latest, changed, nil
}

func (f *fakePlatform) Get(_ context.Context, name string) (Value, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return Value{}, errDown
	}
	return f.values[name], nil
}

func (f *fakePlatform) List(ctx context.Context, after ListVersion, wait time.Duration) (VMList, error) {
	f.mu.Lock()
	l, down := f.list, f.down
	f.mu.Unlock()
	if down {
		return VMList{}, errDown
	}
	if l.Version > after {
		return l, nil
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return VMList{}, ctx.Err()
}

func (f *fakePlatform) Sync(ctx context.Context, to Address, r *wire.SyncRequest) (*wire.SyncReply, error) {
	f.mu.Lock()
	t, ok := f.tasks[to]
	f.mu.Unlock()
	if !ok {
		return nil, result.Errorf(result.SidecarUnreached, "no process at %s", to)
	}
	return t.HandleSync(ctx, r)
}

func (f *fakePlatform) task(v VM, now func() time.Time) *Task {
	t := &Task{
		Self: v, Incarnation: Incarnation(v.Name), Config: f, VMs: f, Peers: f,
		Seeds: []Address{peer2, peer3}, Now: now, Parse: fakeParse,
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tasks[v.Address] = t
	return t
}

func until(t *testing.T, what string, limit time.Duration, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !done() {
		assert.Assert(t, time.Now().Before(deadline), what)
		<-time.After(10 * time.Millisecond)
	}
}

func TestTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakePlatform{
			list: testList(1, 4), values: make(map[string]Value),
			edited: make(chan struct{}), tasks: make(map[Address]*Task),
		}
		f.set("classes", "fine")
		f.set("data_centres", "vatva in")
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		var skew atomic.Int64
		skewed := func() time.Time { return time.Now().Add(time.Duration(skew.Load())) }
		var tasks []*Task
		start := func(v VM, now func() time.Time) {
			task := f.task(v, now)
			tasks = append(tasks, task)
			group.Go(func() { assert.Check(t, task.Run(ctx)) })
		}
		for i, v := range f.list.VMs[:3] {
			start(v, []func() time.Time{skewed, time.Now, time.Now}[i])
		}
		all := func(revision table.Revision) func() bool {
			return func() bool {
				for _, k := range tasks {
					if v := k.View(); !v.Ready || v.Table.Revision != revision {
						return false
					}
				}
				return true
			}
		}
		until(t, "ready", 5*time.Second, all(2))
		changed := tasks[2].Changed()
		f.set("data_centres", "vatva out")
		until(t, "edit in force", 3*time.Second, all(3))
		<-changed

		f.setDown(true)
		start(f.list.VMs[3], time.Now)
		until(t, "ready from peers alone", 10*time.Second, all(3))
		f.setDown(false)

		assert.NilError(t, tasks[0].Renew(ctx))
		skew.Store(int64(5 * time.Second))
		assert.Assert(t, tasks[0].Paused(), "a gap in the ticks must count as a pause immediately")
		assert.NilError(t, tasks[0].Renew(ctx))
		assert.Assert(t, !tasks[0].Paused())

		f.mu.Lock()
		f.down = true
		clear(f.tasks)
		f.mu.Unlock()
		skew.Store(int64(10 * time.Second))
		err := tasks[0].Renew(ctx)
		assert.Equal(t, result.CodeOf(err), result.Paused, fmt.Sprint(err))
		cancel()
		group.Wait()
	})
}
