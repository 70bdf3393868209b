package fleet

import (
	"context"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

// carryOut carries out an effect of the core. A reply to a peer goes to answer.
func (t *Task) carryOut(ctx context.Context, f Effect, answer chan *wire.SyncReply) {
	switch f := f.(type) {
	case Answer:
		answer <- f.Reply
	case ViewChanged:
		t.view.Store(f.View)
		if !f.ConfirmedOnly {
			t.notify()
		}
	case Report:
		t.report(f)
	case CallSync:
		t.callSync(ctx, f)
	case CallWatch:
		t.run(ctx, func(ctx context.Context) Message {
			r, changed, err := t.Config.Watch(ctx, f.After, f.Wait)
			return Watched{f.Sent, r, changed, err}
		})
	case CallGet:
		t.run(ctx, func(ctx context.Context) Message {
			v, err := t.Config.Get(ctx, f.Name)
			return Got{f.Name, v, err}
		})
	case CallList:
		t.run(ctx, func(ctx context.Context) Message {
			l, err := t.VMs.List(ctx, f.After, f.Wait)
			return Listed{f.Sent, l, err}
		})
	}
}

// run runs ask in the background and posts its result to the core.
func (t *Task) run(ctx context.Context, ask func(context.Context) Message) {
	t.group.Go(func() error {
		t.post(ctx, envelope{message: ask(ctx)})
		return nil
	})
}

// callPeer is like run, with callTimeout for the call.
func (t *Task) callPeer(ctx context.Context, ask func(context.Context) Message) {
	t.run(ctx, func(ctx context.Context) Message {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return ask(ctx)
	})
}

func (t *Task) callSync(ctx context.Context, f CallSync) {
	select {
	case t.syncSlots <- struct{}{}:
	default:
		err := result.Errorf(result.CallBudget, "sync: %d calls in progress", maxSyncs)
		t.postAsync(ctx, SyncAnswered{f.Sent, f.To, f.Pull, nil, err})
		return
	}
	if t.Suspicions != nil {
		f.Request.SuspicionDigest = t.Suspicions.Digest()
		if known, ok := t.suspicionDigests.Load(f.To); !ok || known != f.Request.SuspicionDigest {
			f.Request.Suspicions = t.Suspicions.Snapshot(t.Now())
		}
	}
	callEnded := t.trackExchangeCall()
	t.callPeer(ctx, func(ctx context.Context) Message {
		defer callEnded()
		defer func() { <-t.syncSlots }()
		reply, err := t.Peers.Sync(ctx, f.To, f.Request)
		if err == nil && t.Suspicions != nil {
			t.Suspicions.Merge(t.Now(), reply.Suspicions)
			t.suspicionDigests.Store(f.To, reply.SuspicionDigest)
		}
		return SyncAnswered{f.Sent, f.To, f.Pull, reply, err}
	})
}

// postAsync posts a message in the background. The loop uses it because it must
// not block on its own inbox.
func (t *Task) postAsync(ctx context.Context, m Message) {
	t.group.Go(func() error {
		t.post(ctx, envelope{message: m})
		return nil
	})
}

func (t *Task) report(r Report) {
	var fields []any
	if r.Revision != 0 {
		fields = append(fields, "revision", r.Revision)
	}
	if r.Err != nil {
		fields = append(fields, "error", r.Err.Error())
	}
	switch r.Event {
	case event.TableApplied, event.VMListApplied, event.TableRefused, event.PauseNoticed:
		if r.Subject != "" {
			fields = append(fields, "subject", r.Subject)
		}
		t.Log.Write(r.Event, fields...)
	default:
		t.Log.WriteThrottled(r.Event, r.Subject, fields...)
	}
}
