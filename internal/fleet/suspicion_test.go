package fleet

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/wire"
)

// fakeTracker holds suspicions, and calls exchangeNow when Merge adds new ones.
type fakeTracker struct {
	exchangeNow func() <-chan struct{}

	mu        sync.Mutex
	held      []*wire.Suspicion
	snapshots int
}

func (f *fakeTracker) Snapshot(time.Time) []*wire.Suspicion {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots++
	return append([]*wire.Suspicion(nil), f.held...)
}

func (f *fakeTracker) Digest() uint64 {
	held, _ := f.count()
	return uint64(held)
}

func (f *fakeTracker) Merge(_ time.Time, ss []*wire.Suspicion) {
	f.mu.Lock()
	fresh := len(ss) > len(f.held)
	if fresh {
		f.held = append([]*wire.Suspicion(nil), ss...)
	}
	f.mu.Unlock()
	if fresh {
		f.exchangeNow()
	}
}

func (f *fakeTracker) count() (held, snapshots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.held), f.snapshots
}

// trackedTasks makes a task of each process of the platform, before any of them runs and calls
// another one. It returns their trackers in the order of the list.
func trackedTasks(f *fakePlatform) (trackers []*fakeTracker) {
	for _, v := range f.list.VMs {
		task := f.task(v, time.Now)
		tracker := &fakeTracker{exchangeNow: task.ExchangeNow}
		task.Suspicions = tracker
		trackers = append(trackers, tracker)
	}
	return trackers
}

// Peers that suspect the same send each other no suspicions.
func TestKnownSuspicionsAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakePlatform{
			list: testList(1, 3), values: make(map[string]Value),
			edited: make(chan struct{}), tasks: make(map[Address]*Task),
		}
		f.set("classes", "fine")
		f.set("data_centres", "vatva in")
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		trackers := trackedTasks(f)
		for _, task := range f.tasks {
			group.Go(func() { assert.Check(t, task.Run(ctx)) })
		}
		until(t, "ready", 5*time.Second, func() bool { return f.tasks[f.list.VMs[2].Address].View().Ready })
		trackers[0].Merge(time.Now(), []*wire.Suspicion{{Fingerprint: []byte("a")}})
		<-time.After(5 * time.Second)
		_, before := trackers[0].count()
		<-time.After(20 * time.Second)
		_, after := trackers[0].count()
		assert.Equal(t, after, before)
		held, _ := trackers[2].count()
		assert.Equal(t, held, 1)
		cancel()
		group.Wait()
	})
}

// A suspicion reaches every process well before the next regular round, and many
// suspicions within a short time are sent in few exchanges.
func TestSuspicionsSpreadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakePlatform{
			list: testList(1, 6), values: make(map[string]Value),
			edited: make(chan struct{}), tasks: make(map[Address]*Task),
		}
		f.set("classes", "fine")
		f.set("data_centres", "vatva in")
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		trackers := trackedTasks(f)
		for _, task := range f.tasks {
			group.Go(func() { assert.Check(t, task.Run(ctx)) })
		}
		until(t, "ready", 5*time.Second, func() bool { return f.tasks[f.list.VMs[5].Address].View().Ready })

		begin := time.Now()
		trackers[0].Merge(begin, []*wire.Suspicion{{Fingerprint: []byte("a")}})
		select {
		case <-f.tasks[f.list.VMs[0].Address].ExchangeNow():
		case <-time.After(10 * minExchangeGap):
			t.Fatal("the exchange did not end")
		}
		for i, tracker := range trackers {
			held, _ := tracker.count()
			assert.Equal(t, held, 1, "process %d has not received the suspicion", i)
		}

		_, before := trackers[0].count()
		const many = 1000
		var all []*wire.Suspicion
		for range many {
			all = append(all, &wire.Suspicion{})
			trackers[0].Merge(time.Now(), all)
		}
		<-time.After(2 * minExchangeGap)
		_, after := trackers[0].count()
		// The exchanges that it starts now and after minExchangeGap, and its replies
		// to five others.
		assert.Assert(t, after-before > 0 && after-before <= 3*neighbourCount+10, "%d snapshots for %d suspicions", after-before, many)
		cancel()
		group.Wait()
	})
}
