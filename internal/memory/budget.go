// Package memory counts what a gateway holds for callers and upstreams, and decides who
// gets memory when there is not enough.
//
// Every buffer reserves its memory from an Account before it grows, and returns it when it
// is freed. If there is no room, holders whose callers stall or trickle are evicted first,
// then the largest holder of the client that holds most. A request that has been passed on
// to an upstream is evicted only if its caller does not read the answer. docs/design/memory.md
// has the reasons.
//
// # Usage
//
//	b := memory.New(memory.LimitFor(vmBytes))
//	a := b.Open(memory.Holder{Request: id, Client: name, Evict: stopReading})
//	defer a.Close()
//	body := memory.Buffer{Account: a}
//	defer body.Release()
//	err := body.Fill(r.Body, r.ContentLength, limit)
package memory

import (
	"errors"
	"sync"
	"time"
)

const (
	// RuntimeShare is the share of the memory of a VM that is the soft limit of the Go
	// runtime. Near that limit the garbage collector runs more often. The rest is for
	// sockets, stacks that have not been returned, and fragmentation.
	RuntimeShare = 0.7
	// maxOwn is what the gateway needs for itself, such as tables and connections, and
	// ownShare the share of the VM that it is at most.
	maxOwn, ownShare = 32 << 20, 0.25
	// liveShare is the share of the runtime's limit, less the gateway's own needs, that
	// may be live at once. The rest is for garbage between two collections.
	liveShare = 0.7
	// evictionTimeout limits how long a holder waits for the memory of evicted ones. They
	// return it as soon as they run.
	evictionTimeout = 500 * time.Millisecond
)

// LimitFor returns the limit of the budget of a VM with the given memory in bytes.
func LimitFor(vm int64) int64 {
	own := min(maxOwn, ownShare*float64(vm))
	return int64(liveShare * (RuntimeShare*float64(vm) - own))
}

// Activity is what a holder is doing.
type Activity int

// The activities of a request, in their order.
const (
	// Reading is reading the body from the caller.
	Reading Activity = iota
	// Waiting is waiting for an upstream with a whole body.
	Waiting
	// Sent is waiting for the upstream or reading its answer.
	Sent
	// Writing is writing a part of the answer to the caller.
	Writing
	activities
)

// String returns the name of the activity.
func (a Activity) String() string { return [...]string{"reading", "waiting", "sent", "writing"}[a] }

// Holder names a request and its client account.
type Holder struct {
	Request, Client string
	Activity        Activity
	// Evict is called once if the holder is evicted, with what it is doing. It must not
	// block and must make the holder return its memory; nil if nothing needs to be done.
	Evict func(Activity)
}

var (
	// ErrNoRoom is returned if no holder can be evicted in favour of the one that asks.
	ErrNoRoom = errors.New("no memory is free")
	// ErrEvicted is returned to a holder that was evicted.
	ErrEvicted = errors.New("the memory is needed by other requests")
	// ErrTooLarge is returned by Buffer.Fill for more bytes than its limit.
	ErrTooLarge = errors.New("too large")
)

// Stats describes the state of a budget.
type Stats struct {
	Limit, Held int64
	// ByActivity is what the holders of each activity hold, in bytes.
	ByActivity [activities]int64
	// Refused and Evicted count holders since the start.
	Refused, Evicted uint64
	// Short reports that memory has been refused or taken away, and that not enough has
	// become free since.
	Short bool
}

// Budget is the memory of a gateway. It is safe for concurrent use.
type Budget struct {
	// OnChange is called when memory becomes short or sufficient; it may be nil. It must
	// not block. Set it before the first use.
	OnChange func(Stats)

	mu   sync.Mutex
	core core
	// returned is closed and replaced when memory is returned or a holder is evicted.
	returned chan struct{}
	waiters  int
}

// New returns a budget with a limit in bytes.
func New(limit int64) *Budget {
	return &Budget{core: core{limit: limit, accounts: map[*Account]struct{}{}}, returned: make(chan struct{})}
}

// Account is the memory of one holder. Its methods may be called concurrently.
type Account struct {
	budget *Budget
	holder Holder
	held   int64
	// evicted reports that the holder must return its memory.
	evicted bool
	// awaitsMemory reports that the holder waits until evicted ones return theirs.
	awaitsMemory bool
	// lastProgress is when something arrived last, windowBytes is what has arrived since
	// windowStart, and wasSlow whether the sender was slow in the window before. During a
	// write, writing is its size and windowStart its begin.
	lastProgress, windowStart time.Time
	windowBytes               int64
	wasSlow                   bool
	writing                   int
}

// Open returns an account without memory for a holder.
func (b *Budget) Open(h Holder) *Account {
	now := time.Now()
	a := &Account{budget: b, holder: h, lastProgress: now, windowStart: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.core.accounts[a] = struct{}{}
	return a
}

// Grow reserves n more bytes. It waits for the memory of evicted holders, for
// evictionTimeout at most. The error is ErrNoRoom or ErrEvicted.
func (a *Account) Grow(n int64) error {
	b := a.budget
	var timeout <-chan time.Time
	for {
		v, returned, err := b.grow(a, n)
		if v == granted || err != nil {
			return err
		}
		if timeout == nil {
			t := time.NewTimer(evictionTimeout)
			defer t.Stop()
			timeout = t.C
		}
		select {
		case <-returned:
			b.endWait(a)
		case <-timeout:
			b.endWait(a)
			return ErrNoRoom
		}
	}
}

func (b *Budget) grow(a *Account, n int64) (verdict, <-chan struct{}, error) {
	b.mu.Lock()
	if a.evicted {
		b.mu.Unlock()
		return refused, nil, ErrEvicted
	}
	wasShort := b.core.short
	v, victims := b.core.grow(time.Now(), a, n)
	if v == pending {
		b.waiters++
	}
	if len(victims) > 0 {
		b.wake()
	}
	were := make([]Activity, len(victims))
	for i, o := range victims {
		were[i] = o.holder.Activity
	}
	returned := b.returned
	changed := b.changed(wasShort)
	b.mu.Unlock()
	for i, o := range victims {
		if o.holder.Evict != nil {
			o.holder.Evict(were[i])
		}
	}
	changed()
	if v == refused {
		return v, nil, ErrNoRoom
	}
	return v, returned, nil
}

func (b *Budget) endWait(a *Account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiters--
	a.awaitsMemory = false
	a.lastProgress = time.Now()
	a.windowStart, a.windowBytes = a.lastProgress, 0
}

// wake wakes all holders that wait for memory. The caller holds the lock.
func (b *Budget) wake() {
	if b.waiters > 0 {
		close(b.returned)
		b.returned = make(chan struct{})
	}
}

// changed returns the call of OnChange that is due after the lock has been released.
func (b *Budget) changed(wasShort bool) func() {
	if b.OnChange == nil || b.core.short == wasShort {
		return func() {}
	}
	s := b.stats()
	return func() { b.OnChange(s) }
}

// Shrink returns n bytes.
func (a *Account) Shrink(n int64) {
	b := a.budget
	b.mu.Lock()
	wasShort := b.core.short
	b.core.shrink(a, n)
	b.wake()
	changed := b.changed(wasShort)
	b.mu.Unlock()
	changed()
}

// Progress records that n bytes of the body have arrived.
func (a *Account) Progress(n int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.progress(time.Now(), n)
}

// Begin records what the holder does next. It returns ErrEvicted if the holder has been
// evicted. A request that has been sent stays so.
func (a *Account) Begin(next Activity) error {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.evicted {
		return ErrEvicted
	}
	a.budget.core.begin(a, max(a.holder.Activity, next))
	return nil
}

// BeginWrite records that n bytes of the answer are being written to the caller, until
// EndWrite. It returns ErrEvicted if the holder has been evicted.
func (a *Account) BeginWrite(n int) error {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.evicted {
		return ErrEvicted
	}
	a.budget.core.begin(a, Writing)
	a.writing, a.windowStart = n, time.Now()
	return nil
}

// EndWrite records the end of a write.
func (a *Account) EndWrite() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.core.begin(a, Sent)
}

// Close returns all memory of the account.
func (a *Account) Close() {
	a.budget.mu.Lock()
	n := a.held
	delete(a.budget.core.accounts, a)
	a.budget.mu.Unlock()
	a.Shrink(n)
}

// Stats returns the state of the budget.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats()
}

func (b *Budget) stats() Stats {
	s := b.core.stats
	s.Limit, s.Held, s.ByActivity, s.Short = b.core.limit, b.core.held, b.core.byActivity, b.core.short
	return s
}
