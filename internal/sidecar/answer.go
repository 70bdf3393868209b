package sidecar

import (
	"net/http"
	"sort"
	"time"

	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Head forwards the status and headers of the upstream's answer to the gateway.
func (a *attempt) Head(status int, h http.Header) error {
	headers := wireHeaders(h)
	if a.answer != nil {
		a.answer.Status = uint32(status)
		a.answer.Headers = headers
	}
	return a.ignoreUnlessIdempotent(a.sendHead(status, headers))
}

// Data forwards a part of the upstream's answer to the gateway.
func (a *attempt) Data(p []byte, n table.Tokens) error {
	a.recordFirstToken()
	a.keepData(p)
	return a.ignoreUnlessIdempotent(a.sendData(p, n))
}

// keepData keeps data for the record of the key. Of an answer that is too large to be recorded it
// keeps one byte more than the limit, by which the record knows.
func (a *attempt) keepData(p []byte) {
	if a.answer == nil {
		return
	}
	left := a.sidecar.Keys.maxAnswerBytes + 1 - len(a.answer.Body)
	a.answer.Body = append(a.answer.Body, p[:min(len(p), left)]...)
}

func (a *attempt) recordFirstToken() {
	if a.firstToken {
		return
	}
	a.firstToken = true
	a.sidecar.admitter.notifyCore(admission.FirstTokenReceived{ID: a.id, After: time.Since(a.forwarded)})
}

// ignoreUnlessIdempotent drops a send error for a request that is not idempotent,
// so that the upstream completes the answer even after the gateway has
// disconnected.
func (a *attempt) ignoreUnlessIdempotent(err error) error {
	if a.class.Idempotent {
		return err
	}
	return nil
}

func (a *attempt) sendHead(status int, headers []*wire.Header) error {
	a.headSent = true
	return a.stream.Send(&wire.SidecarMessage{Kind: &wire.SidecarMessage_Head{Head: &wire.Head{
		Status: uint32(status), Headers: headers,
	}}})
}

func (a *attempt) sendData(p []byte, n table.Tokens) error {
	return a.stream.Send(&wire.SidecarMessage{Kind: &wire.SidecarMessage_Chunk{Chunk: &wire.Chunk{
		RequestId: a.offer.RequestId, Attempt: a.offer.Attempt, Data: p, Tokens: uint32(n),
	}}})
}

func httpHeader(headers []*wire.Header) http.Header {
	h := make(http.Header, len(headers))
	for _, kv := range headers {
		h.Add(kv.Name, kv.Value)
	}
	return h
}

func wireHeaders(h http.Header) []*wire.Header {
	names := make([]string, 0, len(h))
	for n := range h {
		names = append(names, n)
	}
	sort.Strings(names)
	var headers []*wire.Header
	for _, n := range names {
		for _, v := range h[n] {
			headers = append(headers, &wire.Header{Name: n, Value: v})
		}
	}
	return headers
}
