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

// fakeTracker holds suspicions, and calls spread when Merge adds new ones.
type fakeTracker struct {
	spread func() <-chan struct{}

	mu     sync.Mutex
	held   []*wire.Suspicion
	shares int
}

func (b *fakeTracker) Snapshot(time.Time) []*wire.Suspicion {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares++
	return append([]*wire.Suspicion(nil), b.held...)
}

func (b *fakeTracker) Merge(_ time.Time, ss []*wire.Suspicion) {
	b.mu.Lock()
	fresh := len(ss) > len(b.held)
	if fresh {
		b.held = append([]*wire.Suspicion(nil), ss...)
	}
	b.mu.Unlock()
	if fresh {
		b.spread()
	}
}

func (b *fakeTracker) count() (held, shares int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.held), b.shares
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
		var trackers []*fakeTracker
		for _, v := range f.list.VMs {
			task := f.task(v, time.Now)
			b := &fakeTracker{spread: task.Spread}
			task.Suspicions = b
			trackers = append(trackers, b)
			group.Go(func() { assert.Check(t, task.Run(ctx)) })
		}
		until(t, "ready", 5*time.Second, func() bool { return f.tasks[f.list.VMs[5].Address].View().Ready })

		begin := time.Now()
		trackers[0].Merge(begin, []*wire.Suspicion{{Fingerprint: []byte("a")}})
		select {
		case <-f.tasks[f.list.VMs[0].Address].Spread():
		case <-time.After(10 * spreadGap):
			t.Fatal("the spread did not end")
		}
		for i, b := range trackers {
			held, _ := b.count()
			assert.Equal(t, held, 1, "process %d has not received the suspicion", i)
		}

		_, before := trackers[0].count()
		const many = 1000
		var all []*wire.Suspicion
		for range many {
			all = append(all, &wire.Suspicion{})
			trackers[0].Merge(time.Now(), all)
		}
		<-time.After(2 * spreadGap)
		_, after := trackers[0].count()
		// The exchanges that it starts now and after spreadGap, and its replies
		// to five others.
		assert.Assert(t, after-before > 0 && after-before <= 3*neighbourCount+10, "%d shares for %d suspicions", after-before, many)
		cancel()
		group.Wait()
	})
}
