package sidecar

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/internal/booking"
	"jasminewing.dev/jasminewing/internal/engine"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// finishGrace is how long an answer may continue past the deadline of its request
// before the call is cancelled, so that an answer that ends slightly late is not
// lost.
const finishGrace = time.Second

// errStopLimit is the cause with which attempts are cancelled that still run at the
// limit of the sidecar's stop.
var errStopLimit = errors.New("the sidecar's stop reached its limit")

// attempt is one attempt of a request, carried by one stream of Work.Run.
type attempt struct {
	sidecar *Sidecar
	stream  wire.DRPCWork_RunStream
	offer   *wire.Offer
	class   table.Class
	// deadline is the time after which the caller no longer needs the answer.
	deadline time.Time
	id       admission.OfferID
	effects  <-chan admission.Effect
	body     []byte
	// answer is the answer to record under the idempotency key; nil without a key.
	answer   *wire.StoredAnswer
	keyRef   booking.Ref
	headSent bool
	// suspected is set if the request may have crashed an upstream.
	suspected bool
	// forwarded is when the request was forwarded to the upstream.
	forwarded time.Time
	// instance is the upstream's instance when the request was forwarded.
	instance   string
	firstToken bool
}

// Work implements the RPC service that the sidecar provides to gateways.
type Work struct{ Sidecar *Sidecar }

// Run serves one attempt of one request.
func (w *Work) Run(stream wire.DRPCWork_RunStream) error {
	s := w.Sidecar
	s.attempts.add()
	defer s.attempts.done()
	first, err := stream.Recv()
	if err != nil {
		return fmt.Errorf("receive offer: %w", err)
	}
	offer := first.GetOffer()
	if offer == nil {
		s.metrics.countRefusal(result.BadMessage)
		return result.Errorf(result.BadMessage, "first message is not an offer")
	}
	a := &attempt{sidecar: s, stream: stream, offer: offer}
	if err := a.run(stream.Context()); err != nil {
		return a.refuse(err)
	}
	return nil
}

// run returns an error with a result code if the attempt was not run.
func (a *attempt) run(ctx context.Context) error {
	if err := a.check(); err != nil {
		return err
	}
	suspected, err := a.sidecar.checkSuspicion(a.offer, a.class)
	if err != nil {
		return err
	}
	a.suspected = suspected
	a.submit()
	granted, err := a.awaitGrant(ctx)
	if err != nil || !granted {
		return err
	}
	if err := a.awaitBody(ctx); err != nil {
		a.sidecar.admitter.notifyCore(admission.Withdrawn{ID: a.id})
		return err
	}
	if !a.sidecar.admitter.bodyReceived(a.id) {
		return a.refusalDuringBody()
	}
	return a.execute(ctx)
}

func (a *attempt) check() error {
	s := a.sidecar
	v := s.Fleet.View()
	if !v.Ready || v.Table == nil {
		return result.Errorf(result.NotReady, "no table yet")
	}
	s.Fleet.ObserveVersions(table.Revision(a.offer.TableRevision), fleet.ListVersion(a.offer.VmListVersion), "")
	class, ok := v.Table.Classes[table.ClassName(a.offer.Class)]
	if !ok {
		return result.Errorf(result.StaleTable, "class %q is not in revision %d", a.offer.Class, v.Table.Revision)
	}
	a.class = class
	if a.offer.BodyBytes > uint64(s.MaxBody) {
		return result.Errorf(result.BodyTooLarge, "%d bytes, at most %d", a.offer.BodyBytes, s.MaxBody)
	}
	a.deadline = time.Now().Add(time.Duration(a.offer.TimeLeftUs) * time.Microsecond)
	if !s.serves(v.Table, class, table.ServiceName(a.offer.Model)) {
		return result.Errorf(result.WrongUpstream, "upstream %q does not serve class %q model %q", s.UpstreamName, class.Name, a.offer.Model)
	}
	return a.checkHome()
}

func (a *attempt) checkHome() error {
	if !a.keyed() {
		return nil
	}
	return a.sidecar.Keys.Check(a.offer)
}

// keyed reports whether an idempotency key decides if the request may run.
func (a *attempt) keyed() bool { return keyed(a.offer, a.class) }

func keyed(o *wire.Offer, c table.Class) bool { return o.Key != "" && !c.Idempotent }

func (a *attempt) submit() {
	weight := table.Weight(1)
	if row, ok := a.sidecar.Fleet.View().Table.Accounts[table.AccountName(a.offer.Account)]; ok {
		weight = row.Weight
	}
	a.id, a.effects = a.sidecar.admitter.offer(admission.Offered{
		Account:  table.AccountName(a.offer.Account),
		Class:    a.class,
		Weight:   weight,
		Deadline: a.deadline,
		Arrived:  time.Now().Add(-time.Duration(a.offer.WaitedUs) * time.Microsecond),
		Cost:     table.Tokens(a.offer.CostTokens),
		Suspect:  a.suspected,
	})
}

// awaitGrant waits for the grant. It returns false without an error if the gateway
// withdrew the offer.
func (a *attempt) awaitGrant(ctx context.Context) (bool, error) {
	for {
		select {
		case <-ctx.Done():
			a.sidecar.admitter.notifyCore(admission.Withdrawn{ID: a.id})
			return false, nil
		case e := <-a.effects:
			switch e := e.(type) {
			case admission.Park:
				if err := a.stream.Send(&wire.SidecarMessage{Kind: &wire.SidecarMessage_Parked{Parked: &wire.Parked{}}}); err != nil {
					a.sidecar.admitter.notifyCore(admission.Withdrawn{ID: a.id})
					return false, nil
				}
			case admission.Grant:
				err := a.stream.Send(&wire.SidecarMessage{Kind: &wire.SidecarMessage_Granted{Granted: &wire.Granted{}}})
				if err != nil {
					a.sidecar.admitter.notifyCore(admission.Withdrawn{ID: a.id})
				}
				return err == nil, nil
			case admission.Refuse:
				return false, a.refusalError(e)
			}
		case <-a.sidecar.admitter.ended:
			return false, result.Errorf(result.Stopping, "sidecar has stopped")
		}
	}
}

// refusalDuringBody returns the refusal that was decided while the body was being
// received.
func (a *attempt) refusalDuringBody() error {
	select {
	case e := <-a.effects:
		if refusal, ok := e.(admission.Refuse); ok {
			return a.refusalError(refusal)
		}
	default:
	}
	return a.refusalError(admission.Refuse{Code: result.GrantLapsed})
}

func (a *attempt) refusalError(e admission.Refuse) error {
	err := result.Errorf(e.Code, "upstream %q", a.sidecar.UpstreamName)
	err.RetryAfter = e.RetryAfter
	return err
}

// awaitBody receives the body that follows a grant. A refusal that arrives first,
// such as that of a grant that timed out (see admission.Core.GrantTimeout), ends
// the wait.
func (a *attempt) awaitBody(ctx context.Context) error {
	received := make(chan error, 1)
	go func() { received <- a.receiveBody() }()
	select {
	case err := <-received:
		return err
	case e := <-a.effects:
		refusal, ok := e.(admission.Refuse)
		if !ok {
			return result.Errorf(result.Internal, "unexpected effect %T", e)
		}
		return a.refusalError(refusal)
	case <-ctx.Done():
		return result.Errorf(result.CallerGone, "withdrawn after the grant")
	}
}

func (a *attempt) receiveBody() error {
	body := make([]byte, 0, a.offer.BodyBytes)
	for {
		m, err := a.stream.Recv()
		if err != nil {
			return result.Errorf(result.BadBody, "receive body: %w", err)
		}
		part := m.GetBody()
		if part == nil {
			return result.Errorf(result.BadMessage, "message is not a body")
		}
		if uint64(len(body)+len(part.Data)) > a.offer.BodyBytes {
			return result.Errorf(result.BadMessage, "body is longer than offered")
		}
		body = append(body, part.Data...)
		if part.Last {
			break
		}
	}
	if uint64(len(body)) != a.offer.BodyBytes {
		return result.Errorf(result.BadMessage, "body has %d bytes, %d were offered", len(body), a.offer.BodyBytes)
	}
	if h := sha256.Sum256(body); a.keyed() && string(h[:]) != string(a.offer.BodyHash) {
		return result.Errorf(result.BadMessage, "body does not match its hash")
	}
	a.body = body
	return nil
}

// execute runs the request. The attempt holds a slot of the upstream until execute
// returns.
func (a *attempt) execute(ctx context.Context) error {
	finished := admission.Finished{ID: a.id, Cancelled: true}
	defer func() { a.sidecar.admitter.notifyCore(finished) }()
	if !time.Now().Before(a.deadline) {
		return result.Errorf(result.DeadlinePassed, "deadline passed before the request was forwarded")
	}
	if a.keyed() {
		decision, err := a.sidecar.Keys.Begin(ctx, a.offer)
		if err != nil {
			return err
		}
		if decision.Answer != nil {
			return a.replay(decision.Answer)
		}
		a.keyRef = decision.Ref
		a.answer = &wire.StoredAnswer{}
		if !time.Now().Before(decision.Before) {
			a.sidecar.Keys.Finish(a.keyRef, engine.Outcome{NotRun: true}, nil)
			return result.Errorf(result.Paused, "the claim may no longer stand")
		}
	}
	a.forwarded = time.Now()
	a.instance = a.sidecar.instance()
	a.sidecar.running.add(a)
	defer a.sidecar.running.remove(a)
	outcome := a.forward(ctx)
	finished = a.finishedMessage(ctx, outcome)
	return a.conclude(outcome)
}

func (a *attempt) forward(ctx context.Context) engine.Outcome {
	if !a.class.Idempotent {
		// Once forwarded, a request that is not idempotent runs to its end even if
		// its caller has disconnected, because recording its outcome prevents a
		// second run.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, a.deadline.Add(finishGrace))
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	defer context.AfterFunc(a.sidecar.ending, func() { cancelCause(context.Cause(a.sidecar.ending)) })()
	outcome := a.sidecar.Upstream.Do(ctx, engine.Request{
		Method:       a.offer.Method,
		Path:         a.offer.Path,
		Header:       httpHeader(a.offer.Headers),
		Body:         a.body,
		RequestID:    a.offer.RequestId,
		Idempotent:   a.class.Idempotent,
		Streamed:     a.offer.Streamed,
		ResumeOffset: table.Tokens(a.offer.ResumeOffset),
	}, a)
	if cause := context.Cause(ctx); !outcome.Complete && errors.Is(cause, errStopLimit) {
		outcome.Code, outcome.Detail = result.Stopping, cause.Error()
	}
	return outcome
}

func (a *attempt) finishedMessage(ctx context.Context, o engine.Outcome) admission.Finished {
	return admission.Finished{
		ID:        a.id,
		Clean:     o.Complete,
		Tokens:    o.Tokens,
		TokenGap:  o.TokenGap,
		Cancelled: ctx.Err() != nil && !o.Complete,
	}
}

// conclude reports the outcome of the run to the gateway and records it.
func (a *attempt) conclude(o engine.Outcome) error {
	death := a.sidecar.handleOutcome(a, o)
	if a.answer != nil {
		a.answer.Complete = o.Complete
		a.sidecar.Keys.Finish(a.keyRef, o, a.answer)
	}
	if o.NotRun && !a.headSent {
		return result.Errorf(o.Code, "%s", o.Detail)
	}
	a.sidecar.metrics.countEnd(o.Code)
	return a.stream.Send(&wire.SidecarMessage{Kind: &wire.SidecarMessage_End{End: &wire.End{
		RequestId: a.offer.RequestId,
		Attempt:   a.offer.Attempt,
		Complete:  o.Complete,
		Code:      uint32(o.Code),
		Detail:    o.Detail,
		Tokens:    uint32(o.Tokens),
		Death:     string(death),
	}}})
}

// replay sends the recorded answer of a key to the gateway.
func (a *attempt) replay(answer *wire.StoredAnswer) error {
	if err := a.sendHead(int(answer.Status), answer.Headers); err != nil {
		return err
	}
	if err := a.sendData(answer.Body, 0); err != nil {
		return err
	}
	return a.stream.Send(&wire.SidecarMessage{Kind: &wire.SidecarMessage_End{End: &wire.End{
		RequestId: a.offer.RequestId, Attempt: a.offer.Attempt, Complete: true,
	}}})
}

func (a *attempt) refuse(cause error) error {
	code := result.CodeOf(cause)
	a.sidecar.metrics.countRefusal(code)
	r := &wire.Refused{
		Code:         uint32(code),
		Detail:       result.DetailOf(cause),
		NotRun:       code.Info().NotRun,
		RetryAfterMs: uint64(result.RetryAfterOf(cause).Milliseconds()),
	}
	if v := a.sidecar.Fleet.View(); v.Table != nil {
		r.TableRevision = uint64(v.Table.Revision)
		r.VmListVersion = uint64(v.VMs.Version)
	}
	return a.stream.Send(&wire.SidecarMessage{Kind: &wire.SidecarMessage_Refused{Refused: r}})
}
