package catalog

import (
	"context"
	"maps"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/transfer"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	// fetchDelay is how long another gateway may report a newer revision before its
	// state is fetched: usually the response of the store itself is already on its way.
	fetchDelay = 200 * time.Millisecond
	// settledInterval is the time between two fetches of a state that may be settled. A
	// gateway that sent one that is not is asked again after ExpiryGrace.
	settledInterval = 250 * time.Millisecond
	// eraMemory is how long the report of a later era counts unless it is repeated, so that
	// one wrong report does not make this gateway ignore the others for good.
	eraMemory = 10 * time.Second
	// interruptInterval is the time between two interruptions of watches because of newer
	// positions. A close watch ends in between, so that the store can tell as well.
	interruptInterval = 2 * time.Second
	// rereadInterval is the time between two reads of the store because of such reports.
	rereadInterval = time.Second
)

// ObservePositions records the positions that another gateway reports. If newer
// positions of a section have been reported for fetchDelay, it fetches the section
// from that gateway. It then also interrupts a watch that has no response yet,
// because its connection may have failed. The first report of a later era makes the
// section be read from the store at once, because no watch may ever tell of it.
func (t *Task) ObservePositions(ctx context.Context, address string, positions Positions) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.heardAt = now
	for s, p := range positions {
		t.observe(ctx, now, address, Section(s), p)
	}
}

func (t *Task) observe(ctx context.Context, now time.Time, address string, s Section, p Position) {
	f := &t.followers[s]
	at := t.core.Position(s)
	if !f.hearEra(now, at.Era, p.Era) {
		return
	}
	if f.peerNewest.Before(p) {
		f.peerNewest = p
	}
	switch {
	case !at.Before(p):
		if p.Era == at.Era {
			t.askForSettled(ctx, now, address, s)
		}
		return
	case !at.Before(f.peerPosition):
		f.peerPosition, f.peerPositionSince = p, now
		return
	}
	t.reportBehind(now, s, address, p)
	if f.fetching || now.Sub(f.peerPositionSince) < fetchDelay {
		return
	}
	f.fetching = true
	if now.Sub(f.interruptedAt) >= interruptInterval {
		f.interruptedAt = now
		f.interruptIdleRead()
	}
	go t.fetch(ctx, address, s, at)
}

// askForSettled fetches a section that this gateway knows already from another one if only a settled
// state can tell what is missing.
func (t *Task) askForSettled(ctx context.Context, now time.Time, address string, s Section) {
	f := &t.followers[s]
	if f.fetching || now.Sub(f.settledAsked) < settledInterval || now.Before(f.unsettledUntil[address]) || !t.core.NeedsSettled(now, s) {
		return
	}
	f.settledAsked, f.fetching = now, true
	go t.fetch(ctx, address, s, Position{Era: t.core.Position(s).Era})
}

// hearEra records the era that another gateway reports, and reports whether it is the latest one
// known. A later era than that of the section makes it be read again.
func (f *follower) hearEra(now time.Time, known, era Era) (latest bool) {
	if era > known && era >= f.laterEra(now) {
		f.heardEra, f.heardEraAt = era, now
	}
	later := f.laterEra(now)
	f.forgetPositions(max(known, later))
	if later > known && later != f.rereadEra && now.Sub(f.rereadAt) >= rereadInterval {
		f.reread, f.rereadEra, f.rereadAt = true, later, now
		f.interruptIdleWatch()
	}
	return era >= later
}

// forgetPositions forgets reported positions of an era after the latest one that counts: no state ever
// reaches them.
func (f *follower) forgetPositions(latest Era) {
	if f.peerPosition.Era > latest {
		f.peerPosition = Position{}
	}
	if f.peerNewest.Era > latest {
		f.peerNewest = Position{}
	}
}

// noteSettled notes whether the state that another gateway sent is settled.
func (f *follower) noteSettled(now time.Time, address string, settled bool) {
	maps.DeleteFunc(f.unsettledUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	if settled {
		return
	}
	if f.unsettledUntil == nil {
		f.unsettledUntil = make(map[string]time.Time)
	}
	f.unsettledUntil[address] = now.Add(ExpiryGrace)
}

// laterEra returns the latest era that other gateways have reported lately.
func (f *follower) laterEra(now time.Time) Era {
	if now.Sub(f.heardEraAt) > eraMemory {
		return 0
	}
	return f.heardEra
}

// fetch requests a section from another gateway and applies it. It then ends a read
// of the store that may be transferring the same.
func (t *Task) fetch(ctx context.Context, address string, s Section, at Position) {
	defer func() {
		t.mu.Lock()
		t.followers[s].fetching = false
		t.mu.Unlock()
	}()
	r := startRead(ctx, s, kindFetch, transfer.Limits{Response: stallTimeout, Stall: stallTimeout})
	state, err := t.fetchState(r, address, at)
	cause := r.Cause()
	done := r.end()
	if err != nil {
		t.fetchesFailed.Add(1)
		t.Log.WriteThrottled(event.FetchFailed, address, "section", s, "error", err, "cause", cause, "bytes", done.bytes,
			"after_ms", done.duration.Milliseconds())
		return
	}
	received := answer{section: s, source: Source(address), at: state.Position(), after: at, state: state.Entries}
	if !at.Before(received.at) {
		t.mu.Lock()
		defer t.mu.Unlock()
		// A gateway that has become outdated since its report sends nothing.
		if received.at != (Position{}) {
			t.reportIgnored(received)
		}
		return
	}
	t.Log.Write(event.FetchedState, "section", s, "from", address, "era", int64(state.Era), "revision", uint64(state.Revision),
		"bytes", done.bytes, "after_ms", done.duration.Milliseconds())
	t.applyAnswer(received, func(c *Core, now time.Time) []SkippedEntry {
		f := &t.followers[s]
		if state.Era < f.laterEra(now) {
			// Meanwhile another gateway has reported a later era.
			return nil
		}
		f.lastRead = done
		f.noteSettled(now, address, state.Settled)
		t.enterEra(now, s, received.source, received.at)
		skipped := c.ApplyState(now, s, state)
		t.settleLater(now, s, state)
		f.reread = f.reread && c.Position(s).Era < f.heardEra
		// A read that is made to settle the section does so also as of an older position.
		if f.read != nil && (f.read.kind == kindWatch || f.settling.due.IsZero()) {
			f.read.supersede(c.Position(s))
		}
		return skipped
	})
}

// fetchState requests a section as the difference from the largest entry that this
// gateway has.
func (t *Task) fetchState(r *read, address string, at Position) (State, error) {
	t.mu.Lock()
	digest, base := t.core.Large(r.section)
	t.mu.Unlock()
	request := &wire.FetchRequest{
		Section: uint32(r.section), NewerThan: uint64(at.Revision), NewerThanEra: uint64(at.Era), BaseDigest: uint64(digest),
	}
	encoded, err := t.Fetch(r.Context(), address, request, r.Receive)
	if err != nil {
		return State{}, err
	}
	if encoded.BaseDigest == 0 {
		base = nil
	}
	decoded, err := wire.DecodeState(encoded.Data, base)
	if err != nil {
		return State{}, err
	}
	return stateOf(decoded), nil
}

// outdated reports whether a section is known to be of an earlier era than the latest one.
// What it holds may not be in the store any more.
func (t *Task) outdated(s Section) bool {
	return t.core.Outdated(s) || t.core.Position(s).Era < t.followers[s].laterEra(time.Now())
}

// EncodedState returns the state of a section for another gateway, or only its
// position if that is not newer than the position of the caller. Of a section that is
// outdated it returns nothing.
func (t *Task) EncodedState(r *wire.FetchRequest) (*wire.StatePart, error) {
	s := Section(r.Section)
	if s < 0 || s >= SectionCount {
		return nil, result.Errorf(result.BadMessage, "fetch state: no section has the number %d", r.Section)
	}
	t.mu.Lock()
	at := t.core.Position(s)
	state := State{Era: at.Era, Revision: at.Revision}
	switch callers := (Position{Era(r.NewerThanEra), Revision(r.NewerThan)}); {
	case t.outdated(s):
		state = State{}
	case t.core.Loaded(s) && callers.Before(at):
		state = t.core.State(s)
	}
	base := t.core.Recent(Digest(r.BaseDigest))
	t.mu.Unlock()
	data, err := wire.EncodeState(publishedState(state), base)
	if err != nil {
		return nil, err
	}
	part := &wire.StatePart{Data: data}
	if base != nil {
		part.BaseDigest = r.BaseDigest
	}
	return part, nil
}

func publishedState(s State) *wire.PublishedState {
	out := &wire.PublishedState{Era: uint64(s.Era), Revision: uint64(s.Revision), Changed: uint64(s.Changed), Settled: s.Settled}
	for _, e := range s.Entries {
		out.Entries = append(out.Entries, &wire.PublishedEntry{Key: e.Key, Value: e.Value, Revision: uint64(e.Revision)})
	}
	return out
}

func stateOf(in *wire.PublishedState) State {
	s := State{Era: Era(in.Era), Revision: Revision(in.Revision), Changed: Revision(in.Changed), Settled: in.Settled}
	for _, e := range in.Entries {
		s.Entries = append(s.Entries, Entry{Key: e.Key, Value: e.Value, Revision: Revision(e.Revision)})
	}
	return s
}
