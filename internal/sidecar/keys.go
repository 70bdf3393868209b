package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"jasminewing.dev/jasminewing/internal/booking"
	"jasminewing.dev/jasminewing/internal/engine"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	keyTick      = time.Second
	claimTimeout = time.Second
	// tellTries is how often an answer, a release or a record is told.
	tellTries = 3
	tellPause = 200 * time.Millisecond
)

// ClaimCaller calls witnesses.
type ClaimCaller interface {
	Claim(ctx context.Context, to fleet.Address, r *wire.ClaimRequest) (*wire.ClaimReply, error)
}

// KeyRun is the word of Keys on a request that wants to run.
type KeyRun struct {
	Ref booking.Ref
	// Answer is the recorded answer of an earlier run; nil to run now.
	Answer *wire.StoredAnswer
	// Before is when a request to run must have been forwarded.
	Before time.Time
}

// Keys is the task that owns the booking core: whether a request with an
// idempotency key may run. Its exported fields are set before Init.
type Keys struct {
	Core  booking.Core
	Fleet Fleet
	Peers ClaimCaller
	Log   *event.Log
	// UpstreamName is the sidecar's row.
	UpstreamName table.UpstreamName

	inbox  chan keyLetter
	offers map[booking.Ref]chan keyVerdict
	claims map[booking.ClaimRef]chan *wire.ClaimReply
	refs   atomic.Uint64
	tells  sync.WaitGroup
	ended  chan struct{}
}

// keyVerdict ends a Begin.
type keyVerdict struct {
	run KeyRun
	err error
}

type keyLetter struct {
	message booking.Message
	verdict chan keyVerdict
	reply   chan *wire.ClaimReply
}

// Init makes the task ready to take messages.
func (k *Keys) Init() {
	k.inbox = make(chan keyLetter, inboxSize)
	k.offers = make(map[booking.Ref]chan keyVerdict)
	k.claims = make(map[booking.ClaimRef]chan *wire.ClaimReply)
	k.ended = make(chan struct{})
}

// Run owns the core until ctx ends.
func (k *Keys) Run(ctx context.Context) error {
	defer k.tells.Wait()
	defer close(k.ended)
	ticker := time.NewTicker(keyTick)
	defer ticker.Stop()
	changed := k.Fleet.Changed()
	k.take(ctx, keyLetter{message: k.view()})
	for {
		select {
		case <-ctx.Done():
			k.finishInbox(ctx)
			return nil
		case l := <-k.inbox:
			k.take(ctx, l)
		case <-changed:
			k.take(ctx, keyLetter{message: k.view()})
		case <-ticker.C:
			k.take(ctx, keyLetter{message: booking.Ticked{}})
		}
	}
}

// finishInbox takes what came before the end: the outcome of the last run may
// be among it.
func (k *Keys) finishInbox(ctx context.Context) {
	for {
		select {
		case l := <-k.inbox:
			k.take(ctx, l)
		default:
			return
		}
	}
}

// view gives the members and the key window of the service, as they stand.
func (k *Keys) view() booking.Message {
	v := k.Fleet.View()
	service, window := k.service(v)
	members, out := booking.Members(v, service)
	return booking.ViewChanged{Members: members, Out: out, Window: window}
}

func (k *Keys) service(v *fleet.View) (table.ServiceName, time.Duration) {
	if v.Table == nil {
		return "", 0
	}
	row, ok := v.Table.Upstreams[k.UpstreamName]
	if !ok || row.Kind != table.Plain || len(row.Serves) == 0 {
		return "", 0
	}
	var window time.Duration
	for _, c := range v.Table.Classes {
		if c.Kind == table.Plain && c.Service == row.Serves[0] {
			window = max(window, c.KeyWindow)
		}
	}
	return row.Serves[0], window
}

// Check refuses an offer whose key has its home elsewhere, before it takes a
// slot.
func (k *Keys) Check(o *wire.Offer) error {
	v := k.Fleet.View()
	service, _ := k.service(v)
	members, _ := booking.Members(v, service)
	order := booking.Order(keyOf(o), members)
	if len(order) == 0 || order[0].Name != k.Core.Self.Name {
		return result.Errorf(result.NotHome, "upstream %q is not the home of the key", k.UpstreamName)
	}
	return nil
}

func keyOf(o *wire.Offer) booking.Key {
	return booking.Key{Account: table.AccountName(o.Account), Text: o.Key}
}

// Begin claims the key.
func (k *Keys) Begin(ctx context.Context, o *wire.Offer) (KeyRun, error) {
	ref := booking.Ref(k.refs.Add(1))
	verdict := make(chan keyVerdict, 1)
	k.send(keyLetter{message: booking.Begin{Ref: ref, Key: keyOf(o), BodyHash: o.BodyHash}, verdict: verdict})
	select {
	case v := <-verdict:
		return v.run, v.err
	case <-ctx.Done():
		return k.withdraw(ref, verdict)
	case <-k.ended:
		return KeyRun{}, result.Errorf(result.KeyOutcomeUnknown, "sidecar has stopped")
	}
}

// withdraw takes back a Begin. It may have been decided meanwhile: then the
// claim is released, for nothing was forwarded.
func (k *Keys) withdraw(ref booking.Ref, verdict chan keyVerdict) (KeyRun, error) {
	k.send(keyLetter{message: booking.Withdrawn{Ref: ref}})
	k.send(keyLetter{message: booking.Finished{Ref: ref, NotRun: true}})
	select {
	case <-verdict:
	default:
	}
	return KeyRun{}, result.Errorf(result.CallerGone, "withdrawn before the key was claimed")
}

// Finish records how a run ended.
func (k *Keys) Finish(ref booking.Ref, o engine.Outcome, answer *wire.StoredAnswer) {
	m := booking.Finished{Ref: ref, NotRun: o.NotRun}
	if o.Complete {
		m.Answer = answer
	} else if !o.NotRun {
		k.Log.WriteThrottled(event.KeyUnknown, string(k.UpstreamName), "code", int(o.Code))
	}
	k.send(keyLetter{message: m})
}

// Drain hands the records on to the next homes.
func (k *Keys) Drain() { k.send(keyLetter{message: booking.Draining{}}) }

// Claim answers another home.
func (k *Keys) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	reply := make(chan *wire.ClaimReply, 1)
	ref := booking.ClaimRef(k.refs.Add(1))
	k.send(keyLetter{message: booking.ClaimReceived{Ref: ref, Request: r}, reply: reply})
	select {
	case p := <-reply:
		return p, nil
	case <-ctx.Done():
		return nil, result.Errorf(result.WitnessUnreached, "claim: %w", ctx.Err())
	case <-k.ended:
		return nil, result.Errorf(result.Stopping, "sidecar has stopped")
	}
}

func (k *Keys) send(l keyLetter) {
	select {
	case k.inbox <- l:
	case <-k.ended:
	}
}

func (k *Keys) take(ctx context.Context, l keyLetter) {
	switch m := l.message.(type) {
	case booking.Begin:
		k.offers[m.Ref] = l.verdict
	case booking.ClaimReceived:
		k.claims[m.Ref] = l.reply
	case booking.Withdrawn:
		delete(k.offers, m.Ref)
	}
	for _, e := range k.Core.Handle(time.Now(), l.message) {
		k.carryOut(ctx, e)
	}
}

func (k *Keys) carryOut(ctx context.Context, e booking.Effect) {
	switch e := e.(type) {
	case booking.Run:
		k.decide(e.Ref, keyVerdict{run: KeyRun{Ref: e.Ref, Before: e.Before}})
	case booking.ReplayAnswer:
		k.decide(e.Ref, keyVerdict{run: KeyRun{Ref: e.Ref, Answer: e.Answer}})
	case booking.Refuse:
		if e.Code == result.KeyTableFull {
			k.Log.WriteThrottled(event.KeysFull, string(k.UpstreamName), "detail", e.Detail)
		}
		k.decide(e.Ref, keyVerdict{err: result.Errorf(e.Code, "%s", e.Detail)})
	case booking.AskWitness:
		go k.ask(ctx, e)
	case booking.NotifyWitness:
		k.tells.Add(1)
		go k.tell(ctx, e)
	case booking.ReplyClaim:
		if c, ok := k.claims[e.Ref]; ok {
			c <- e.Reply
			delete(k.claims, e.Ref)
		}
	}
}

func (k *Keys) decide(ref booking.Ref, v keyVerdict) {
	if c, ok := k.offers[ref]; ok {
		c <- v
		delete(k.offers, ref)
	}
}

func (k *Keys) ask(ctx context.Context, e booking.AskWitness) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := k.Peers.Claim(ctx, e.To.Address, e.Request)
	if err != nil {
		k.send(keyLetter{message: booking.WitnessFailed{ClaimID: e.ClaimID, From: e.To.Name}})
		return
	}
	k.send(keyLetter{message: booking.WitnessReplied{ClaimID: e.ClaimID, From: e.To.Name, Reply: reply}})
}

// tell is tried a few times: a witness that misses it gives repeats an unknown
// outcome instead of the answer.
func (k *Keys) tell(ctx context.Context, e booking.NotifyWitness) {
	defer k.tells.Done()
	for range tellTries {
		calling, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
		_, err := k.Peers.Claim(calling, e.To.Address, e.Request)
		cancel()
		if err == nil {
			return
		}
		pause := time.NewTimer(tellPause)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return
		}
	}
}
