package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// attemptStream is the stream to a sidecar that carries one attempt.
type attemptStream struct {
	candidate dispatch.Candidate
	number    dispatch.AttemptNumber
	offer     *wire.Offer
	messages  chan<- streamMessage
	client    wire.DRPCWorkClient

	// ctx ends when the owner of the request withdraws the attempt, or the stream has ended.
	ctx    context.Context
	cancel context.CancelFunc
	// abort ends the call but not ctx, so that the loss is still delivered.
	abort  context.CancelFunc
	call   wire.DRPCWork_RunClient
	opened chan struct{}
}

// start opens the stream and delivers the sidecar's messages until the stream
// ends. It calls ended after that.
func (s *attemptStream) start(ctx context.Context, ended func()) {
	s.ctx, s.cancel = context.WithCancel(ctx)
	callCtx, abort := context.WithCancel(s.ctx)
	s.abort = abort
	s.opened = make(chan struct{})
	go func() {
		defer ended()
		defer s.cancel()
		s.exchange(callCtx)
	}()
}

func (s *attemptStream) exchange(ctx context.Context) {
	call, err := s.client.Run(ctx)
	if err != nil {
		s.deliver(streamMessage{message: dispatch.Lost{Attempt: s.number}, detail: err.Error()})
		return
	}
	s.call = call
	close(s.opened)
	defer func() { _ = call.Close() }()
	if err := call.Send(&wire.GatewayMessage{Kind: &wire.GatewayMessage_Offer{Offer: s.offer}}); err != nil {
		s.deliver(streamMessage{message: dispatch.Lost{Attempt: s.number}, detail: err.Error()})
		return
	}
	for {
		m, err := call.Recv()
		if err != nil {
			s.deliver(streamMessage{message: dispatch.Lost{Attempt: s.number}, detail: lostDetail(err)})
			return
		}
		a, last := s.convert(m)
		if a.message != nil && !s.deliver(a) {
			return
		}
		if last {
			return
		}
	}
}

func lostDetail(err error) string {
	if errors.Is(err, io.EOF) {
		return "sidecar closed the stream without an end"
	}
	return err.Error()
}

// convert converts a message of the sidecar into one for the state machine. It
// drops chunks and ends of another request or attempt, which can only come from
// an answer that was mixed up with this one. The result last reports that no
// further message is expected.
func (s *attemptStream) convert(m *wire.SidecarMessage) (a streamMessage, last bool) {
	switch k := m.Kind.(type) {
	case *wire.SidecarMessage_Parked:
		return streamMessage{message: dispatch.Parked{Attempt: s.number}}, false
	case *wire.SidecarMessage_Granted:
		return streamMessage{message: dispatch.Granted{Attempt: s.number}}, false
	case *wire.SidecarMessage_Refused:
		return s.convertRefused(k.Refused), true
	case *wire.SidecarMessage_Head:
		return streamMessage{message: dispatch.HeadReceived{Attempt: s.number, Status: int(k.Head.Status)}, headers: k.Head.Headers}, false
	case *wire.SidecarMessage_Chunk:
		if !s.belongs(k.Chunk.RequestId, k.Chunk.Attempt) {
			return streamMessage{}, false
		}
		return streamMessage{message: dispatch.ChunkReceived{Attempt: s.number, Tokens: table.Tokens(k.Chunk.Tokens)}, data: k.Chunk.Data}, false
	case *wire.SidecarMessage_End:
		if !s.belongs(k.End.RequestId, k.End.Attempt) {
			return streamMessage{}, false
		}
		end := dispatch.Ended{Attempt: s.number, Complete: k.End.Complete, Code: result.Code(k.End.Code)}
		return streamMessage{message: end, detail: k.End.Detail, tokens: table.Tokens(k.End.Tokens), death: fleet.Incarnation(k.End.Death)}, true
	default:
		return streamMessage{}, false
	}
}

func (s *attemptStream) belongs(id string, attempt uint32) bool {
	return id == s.offer.RequestId && attempt == s.offer.Attempt
}

func (s *attemptStream) convertRefused(r *wire.Refused) streamMessage {
	return streamMessage{
		message: dispatch.Refused{
			Attempt:    s.number,
			Code:       result.Code(r.Code),
			NotRun:     r.NotRun,
			RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		},
		detail: r.Detail,
	}
}

// deliver passes a message to the owner of the request. It returns false if the
// stream was cancelled.
func (s *attemptStream) deliver(a streamMessage) bool {
	select {
	case s.messages <- a:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// sendBody sends the body in parts. On a send error it aborts the call, which
// exchange then reports as lost.
func (s *attemptStream) sendBody(body []byte) {
	select {
	case <-s.opened:
	case <-s.ctx.Done():
		return
	}
	for {
		n := min(len(body), wire.BodyPartBytes)
		part := &wire.Body{Data: body[:n], Last: n == len(body)}
		if err := s.call.Send(&wire.GatewayMessage{Kind: &wire.GatewayMessage_Body{Body: part}}); err != nil {
			s.abort()
			return
		}
		if part.Last {
			return
		}
		body = body[n:]
	}
}
