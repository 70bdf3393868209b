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

// stream is one attempt's call on a sidecar.
type stream struct {
	candidate dispatch.Candidate
	number    dispatch.AttemptNumber
	offer     *wire.Offer
	inbox     chan<- arrival
	client    wire.DRPCWorkClient

	ctx    context.Context
	cancel context.CancelFunc
	call   wire.DRPCWork_RunClient
	opened chan struct{}
}

// start opens the stream and passes on what comes until it ends.
func (s *stream) start(ctx context.Context, ended func()) {
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.opened = make(chan struct{})
	go func() {
		defer ended()
		defer s.cancel()
		s.work()
	}()
}

func (s *stream) work() {
	call, err := s.client.Run(s.ctx)
	if err != nil {
		s.pass(arrival{message: dispatch.Lost{Attempt: s.number}, detail: err.Error()})
		return
	}
	s.call = call
	close(s.opened)
	defer func() { _ = call.Close() }()
	if err := call.Send(&wire.GatewayMessage{Kind: &wire.GatewayMessage_Offer{Offer: s.offer}}); err != nil {
		s.pass(arrival{message: dispatch.Lost{Attempt: s.number}, detail: err.Error()})
		return
	}
	for {
		m, err := call.Recv()
		if err != nil {
			s.pass(arrival{message: dispatch.Lost{Attempt: s.number}, detail: lostDetail(err)})
			return
		}
		a, last := s.read(m)
		if a.message != nil && !s.pass(a) {
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

// read turns a message of the sidecar into one for the core. What is not of
// this attempt is dropped: it can only be a crossed answer.
func (s *stream) read(m *wire.SidecarMessage) (a arrival, last bool) {
	switch k := m.Kind.(type) {
	case *wire.SidecarMessage_Parked:
		return arrival{message: dispatch.Parked{Attempt: s.number}}, false
	case *wire.SidecarMessage_Granted:
		return arrival{message: dispatch.Granted{Attempt: s.number}}, false
	case *wire.SidecarMessage_Refused:
		return s.refused(k.Refused), true
	case *wire.SidecarMessage_Head:
		return arrival{message: dispatch.HeadReceived{Attempt: s.number, Status: int(k.Head.Status)}, headers: k.Head.Headers}, false
	case *wire.SidecarMessage_Chunk:
		if !s.mine(k.Chunk.RequestId, k.Chunk.Attempt) {
			return arrival{}, false
		}
		return arrival{message: dispatch.ChunkReceived{Attempt: s.number, Tokens: table.Tokens(k.Chunk.Tokens)}, data: k.Chunk.Data}, false
	case *wire.SidecarMessage_End:
		if !s.mine(k.End.RequestId, k.End.Attempt) {
			return arrival{}, false
		}
		end := dispatch.Ended{Attempt: s.number, Complete: k.End.Complete, Code: result.Code(k.End.Code)}
		return arrival{message: end, detail: k.End.Detail, tokens: table.Tokens(k.End.Tokens), death: fleet.Incarnation(k.End.Death)}, true
	default:
		return arrival{}, false
	}
}

func (s *stream) mine(id string, attempt uint32) bool {
	return id == s.offer.RequestId && attempt == s.offer.Attempt
}

func (s *stream) refused(r *wire.Refused) arrival {
	return arrival{
		message: dispatch.Refused{
			Attempt:    s.number,
			Code:       result.Code(r.Code),
			NotRun:     r.NotRun,
			RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		},
		detail: r.Detail,
	}
}

// pass gives false when nobody listens any more.
func (s *stream) pass(a arrival) bool {
	select {
	case s.inbox <- a:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// sendBody sends the body in parts. A failure shows as a lost stream.
func (s *stream) sendBody(body []byte) {
	select {
	case <-s.opened:
	case <-s.ctx.Done():
		return
	}
	for {
		n := min(len(body), wire.BodyPartBytes)
		part := &wire.Body{Data: body[:n], Last: n == len(body)}
		if err := s.call.Send(&wire.GatewayMessage{Kind: &wire.GatewayMessage_Body{Body: part}}); err != nil {
			s.cancel()
			return
		}
		if part.Last {
			return
		}
		body = body[n:]
	}
}
