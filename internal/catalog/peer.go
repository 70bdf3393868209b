package catalog

import (
	"context"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/wire"
)

// fetchDelay is how long another gateway may report a newer revision before its
// state is fetched: usually the response of the store itself is already on its way.
const fetchDelay = 200 * time.Millisecond

// ObserveRevisions records the revisions that another gateway reports. If newer
// revisions of a section have been reported for fetchDelay, it fetches the section
// from that gateway. It then also interrupts a watch that has no response yet,
// because its connection may have failed.
func (t *Task) ObserveRevisions(ctx context.Context, address string, revisions Revisions) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.heardAt = now
	for s, r := range revisions {
		t.observe(ctx, now, address, Section(s), r)
	}
}

func (t *Task) observe(ctx context.Context, now time.Time, address string, s Section, r Revision) {
	f := &t.followers[s]
	f.peerNewest = max(f.peerNewest, r)
	at := t.core.Revision(s)
	switch {
	case r <= at:
		return
	case f.peerRevision <= at:
		f.peerRevision, f.peerRevisionSince = r, now
		return
	}
	t.reportBehind(now, s, address, r)
	if f.fetching || now.Sub(f.peerRevisionSince) < fetchDelay {
		return
	}
	f.fetching = true
	f.interruptWatch()
	go t.fetch(ctx, address, s, at)
}

// fetch requests a section from another gateway and applies it.
func (t *Task) fetch(ctx context.Context, address string, s Section, at Revision) {
	defer func() {
		t.mu.Lock()
		t.followers[s].fetching = false
		t.mu.Unlock()
	}()
	r := startRead(ctx, s, "fetch", stallTimeout)
	state, err := t.Fetch(r.ctx, address, &wire.FetchRequest{Section: uint32(s), NewerThan: uint64(at)}, r.receive)
	cause := context.Cause(r.ctx)
	done := r.end()
	if err != nil {
		t.fetchesFailed.Add(1)
		t.Log.WriteThrottled(event.FetchFailed, address, "section", s, "error", err, "cause", cause, "bytes", done.bytes,
			"after_ms", done.duration.Milliseconds())
		return
	}
	if Revision(state.Revision) <= at {
		return
	}
	t.Log.Write(event.FetchedState, "section", s, "from", address, "revision", state.Revision, "bytes", done.bytes,
		"after_ms", done.duration.Milliseconds())
	t.apply(func(c *Core, now time.Time) []SkippedEntry { return c.ApplyState(now, s, decodeState(state)) })
}

// State returns the state of a section, or only its revision if that is not newer
// than the revision of the caller.
func (t *Task) State(r *wire.FetchRequest) *wire.PublishedState {
	s := Section(r.Section)
	if s < 0 || s >= SectionCount {
		return &wire.PublishedState{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.core.Loaded(s) || t.core.Revision(s) <= Revision(r.NewerThan) {
		return &wire.PublishedState{Revision: uint64(t.core.Revision(s))}
	}
	return encodeState(t.core.State(time.Now(), s))
}

func encodeState(s State) *wire.PublishedState {
	out := &wire.PublishedState{Revision: uint64(s.Revision), Changed: uint64(s.Changed), Settled: s.Settled}
	for _, e := range s.Entries {
		out.Entries = append(out.Entries, &wire.PublishedEntry{Key: e.Key, Value: e.Value, Revision: uint64(e.Revision)})
	}
	return out
}

func decodeState(in *wire.PublishedState) State {
	s := State{Revision: Revision(in.Revision), Changed: Revision(in.Changed), Settled: in.Settled}
	for _, e := range in.Entries {
		s.Entries = append(s.Entries, Entry{Key: e.Key, Value: e.Value, Revision: Revision(e.Revision)})
	}
	return s
}
