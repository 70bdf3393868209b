package sidecar

import (
	"cmp"
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
	keyTickInterval = time.Second
	claimTimeout    = time.Second
	// maxNotifyAttempts bounds the attempts to send an answer, a release or a
	// record to a witness.
	maxNotifyAttempts = 3
	notifyRetryDelay  = 200 * time.Millisecond
)

// ClaimCaller sends claims to witnesses.
type ClaimCaller interface {
	Claim(ctx context.Context, to fleet.Address, r *wire.ClaimRequest) (*wire.ClaimReply, error)
}

// KeyDecision states how to proceed with a request that has an idempotency key.
type KeyDecision struct {
	Ref booking.Ref
	// Answer is the recorded answer of an earlier run; nil if the request is to run
	// now.
	Answer *wire.StoredAnswer
	// Before is the time by which a request that is to run must be forwarded.
	Before time.Time
}

// Keys is the task that owns the booking core, which decides whether a request
// with an idempotency key may run. The exported fields must be set before Init.
type Keys struct {
	Core  booking.Core
	Fleet Fleet
	Peers ClaimCaller
	Log   *event.Log
	// UpstreamName names the sidecar's row in the table.
	UpstreamName table.UpstreamName

	// maxAnswerBytes is the limit on the size of a recorded answer.
	maxAnswerBytes int

	inbox         chan keyEnvelope
	begins        map[booking.Ref]chan beginResult
	claims        map[booking.ClaimRef]chan *wire.ClaimReply
	refs          atomic.Uint64
	notifications sync.WaitGroup
	ended         chan struct{}
}

// beginResult is the result of a Begin.
type beginResult struct {
	decision KeyDecision
	err      error
}

type keyEnvelope struct {
	message booking.Message
	begin   chan beginResult
	reply   chan *wire.ClaimReply
}

// Init prepares the task to receive messages.
func (k *Keys) Init() {
	k.maxAnswerBytes = cmp.Or(k.Core.MaxAnswerBytes, booking.DefaultMaxAnswerBytes)
	k.inbox = make(chan keyEnvelope, inboxSize)
	k.begins = make(map[booking.Ref]chan beginResult)
	k.claims = make(map[booking.ClaimRef]chan *wire.ClaimReply)
	k.ended = make(chan struct{})
}

// Run runs the core until ctx is done.
func (k *Keys) Run(ctx context.Context) error {
	defer k.notifications.Wait()
	defer close(k.ended)
	ticker := time.NewTicker(keyTickInterval)
	defer ticker.Stop()
	changed := k.Fleet.Changed()
	k.handle(ctx, keyEnvelope{message: k.view()})
	for {
		select {
		case <-ctx.Done():
			k.handleQueued(ctx)
			return nil
		case env := <-k.inbox:
			k.handle(ctx, env)
		case <-changed:
			k.handle(ctx, keyEnvelope{message: k.view()})
		case <-ticker.C:
			k.handle(ctx, keyEnvelope{message: booking.Ticked{}})
		}
	}
}

// handleQueued handles the messages that were queued before the task ended, as the
// outcome of the last run may be among them.
func (k *Keys) handleQueued(ctx context.Context) {
	for {
		select {
		case env := <-k.inbox:
			k.handle(ctx, env)
		default:
			return
		}
	}
}

// view returns the current members and key window of the service.
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

// Check returns an error with result.NotHome if another sidecar is the home of the
// offer's key. It is called before the offer takes a slot.
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

// Begin claims the key of an offer. It returns an error if the request may not
// run.
func (k *Keys) Begin(ctx context.Context, o *wire.Offer) (KeyDecision, error) {
	ref := booking.Ref(k.refs.Add(1))
	resultCh := make(chan beginResult, 1)
	k.send(keyEnvelope{message: booking.Begin{Ref: ref, Key: keyOf(o), BodyHash: o.BodyHash}, begin: resultCh})
	select {
	case v := <-resultCh:
		return v.decision, v.err
	case <-ctx.Done():
		return k.withdraw(ref, resultCh)
	case <-k.ended:
		return KeyDecision{}, result.Errorf(result.KeyOutcomeUnknown, "sidecar has stopped")
	}
}

// withdraw cancels a Begin. If the core has decided in the meantime to run the
// request, the claim is released, because nothing was forwarded.
func (k *Keys) withdraw(ref booking.Ref, resultCh chan beginResult) (KeyDecision, error) {
	k.send(keyEnvelope{message: booking.Withdrawn{Ref: ref}})
	k.send(keyEnvelope{message: booking.Finished{Ref: ref, NotRun: true}})
	select {
	case <-resultCh:
	default:
	}
	return KeyDecision{}, result.Errorf(result.CallerGone, "withdrawn before the key was claimed")
}

// Finish records the outcome of a run, with its answer if it is complete.
func (k *Keys) Finish(ref booking.Ref, o engine.Outcome, answer *wire.StoredAnswer) {
	m := booking.Finished{Ref: ref, NotRun: o.NotRun}
	if o.Complete {
		m.Answer = answer
	} else if !o.NotRun {
		k.Log.WriteThrottled(event.KeyUnknown, string(k.UpstreamName), "code", int(o.Code))
	}
	k.send(keyEnvelope{message: m})
}

// Drain transfers the records to the next homes of their keys.
func (k *Keys) Drain() { k.send(keyEnvelope{message: booking.Draining{}}) }

// Claim answers a claim of another home.
func (k *Keys) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	reply := make(chan *wire.ClaimReply, 1)
	ref := booking.ClaimRef(k.refs.Add(1))
	k.send(keyEnvelope{message: booking.ClaimReceived{Ref: ref, Request: r}, reply: reply})
	select {
	case p := <-reply:
		return p, nil
	case <-ctx.Done():
		return nil, result.Errorf(result.WitnessUnreached, "claim: %w", ctx.Err())
	case <-k.ended:
		return nil, result.Errorf(result.Stopping, "sidecar has stopped")
	}
}

func (k *Keys) send(env keyEnvelope) {
	select {
	case k.inbox <- env:
	case <-k.ended:
	}
}

func (k *Keys) handle(ctx context.Context, env keyEnvelope) {
	switch m := env.message.(type) {
	case booking.Begin:
		k.begins[m.Ref] = env.begin
	case booking.ClaimReceived:
		k.claims[m.Ref] = env.reply
	case booking.Withdrawn:
		delete(k.begins, m.Ref)
	}
	for _, e := range k.Core.Handle(time.Now(), env.message) {
		k.carryOut(ctx, e)
	}
}

func (k *Keys) carryOut(ctx context.Context, e booking.Effect) {
	switch e := e.(type) {
	case booking.Run:
		k.resolve(e.Ref, beginResult{decision: KeyDecision{Ref: e.Ref, Before: e.Before}})
	case booking.ReplayAnswer:
		k.resolve(e.Ref, beginResult{decision: KeyDecision{Ref: e.Ref, Answer: e.Answer}})
	case booking.Refuse:
		if e.Code == result.KeyTableFull {
			k.Log.WriteThrottled(event.KeysFull, string(k.UpstreamName), "detail", e.Detail)
		}
		k.resolve(e.Ref, beginResult{err: result.Errorf(e.Code, "%s", e.Detail)})
	case booking.AskWitness:
		go k.askWitness(ctx, e)
	case booking.NotifyWitness:
		k.notifications.Add(1)
		go k.notifyWitness(ctx, e)
	case booking.ReplyClaim:
		if c, ok := k.claims[e.Ref]; ok {
			c <- e.Reply
			delete(k.claims, e.Ref)
		}
	}
}

func (k *Keys) resolve(ref booking.Ref, r beginResult) {
	if c, ok := k.begins[ref]; ok {
		c <- r
		delete(k.begins, ref)
	}
}

func (k *Keys) askWitness(ctx context.Context, e booking.AskWitness) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply, err := k.Peers.Claim(ctx, e.To.Address, e.Request)
	if err != nil {
		k.send(keyEnvelope{message: booking.WitnessFailed{ClaimID: e.ClaimID, From: e.To.Name}})
		return
	}
	k.send(keyEnvelope{message: booking.WitnessReplied{ClaimID: e.ClaimID, From: e.To.Name, Reply: reply}})
}

// notifyWitness makes several attempts, because a witness that does not receive the
// message answers retries of the request with an unknown outcome instead of the
// recorded answer.
func (k *Keys) notifyWitness(ctx context.Context, e booking.NotifyWitness) {
	defer k.notifications.Done()
	for range maxNotifyAttempts {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
		_, err := k.Peers.Claim(callCtx, e.To.Address, e.Request)
		cancel()
		if err == nil {
			return
		}
		delay := time.NewTimer(notifyRetryDelay)
		select {
		case <-delay.C:
		case <-ctx.Done():
			delay.Stop()
			return
		}
	}
}
