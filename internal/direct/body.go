package direct

import (
	"errors"
	"net/http"
	"os"
	"time"

	"jasminewing.dev/jasminewing/internal/memory"
	"jasminewing.dev/jasminewing/pkg/result"
)

// readBody reads the whole body, at most limit bytes, until the request's deadline. It also
// sets the write deadline of the response.
func (p *proxiedRequest) readBody(r *http.Request, limit int64) error {
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	control := http.NewResponseController(p.w)
	_ = control.SetReadDeadline(p.call.deadline)
	_ = control.SetWriteDeadline(p.call.deadline.Add(writeGracePeriod))
	err := p.fillBody(r, limit)
	if err == nil {
		err = p.memory.Begin(memory.Waiting)
	}
	if err != nil {
		p.closeBody(control)
		return p.bodyError(err, limit)
	}
	_ = control.SetReadDeadline(time.Time{})
	p.call.Body = p.body.Bytes()
	return nil
}

func (p *proxiedRequest) fillBody(r *http.Request, limit int64) error {
	switch {
	case r.ContentLength > limit:
		return memory.ErrTooLarge
	case r.ContentLength == 0:
		return nil
	}
	return p.body.Fill(r.Body, r.ContentLength, limit)
}

// closeBody gives up the rest of the body, and closes the connection after the response. The
// server would otherwise wait for the rest, which may never come.
func (p *proxiedRequest) closeBody(control *http.ResponseController) {
	p.body.Release()
	p.w.Header().Set("Connection", "close")
	_ = control.SetReadDeadline(time.Now())
}

// unreadBodyTime is how long the server reads the body of a request that is refused by its
// head, so that the connection can be reused.
const unreadBodyTime = 500 * time.Millisecond

// boundRefusal limits the time for the refusal of a request whose body has not been read. The
// server reads the body before it answers, without a limit of its own.
func (p *proxiedRequest) boundRefusal() {
	if p.memory != nil {
		return
	}
	control := http.NewResponseController(p.w)
	_ = control.SetReadDeadline(time.Now().Add(unreadBodyTime))
	_ = control.SetWriteDeadline(time.Now().Add(writeGracePeriod))
}

// bodyError returns the error to report for a body that could not be read.
func (p *proxiedRequest) bodyError(err error, limit int64) error {
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return result.Errorf(result.BodyTooLarge, "the body is over %d bytes", limit)
	case p.evicted.Err() != nil:
		return p.memoryError(memory.ErrEvicted)
	case isMemoryError(err):
		return p.memoryError(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return result.Errorf(result.DeadlinePassed, "the body did not arrive in time")
	}
	return result.Errorf(result.BadBody, "read body: %w", err)
}
