package direct

import (
	"errors"
	"io"

	"jasminewing.dev/jasminewing/internal/upstream"
)

// maxReadAhead is the number of bytes from which a stream counts as begun though its first event
// has not ended.
const maxReadAhead = streamBufferSize

// readAhead is the body of a stream that is read up to the end of its first event in the
// background. Read waits for that.
type readAhead struct {
	io.ReadCloser
	framing upstream.Framing
	// done is closed once the first event, or a failure before it, has been read. The fields
	// below are set then.
	done    chan struct{}
	scanner eventScanner
	begun   []byte
	err     error
}

func newReadAhead(body io.ReadCloser, f upstream.Framing) *readAhead {
	return &readAhead{ReadCloser: body, framing: f, done: make(chan struct{})}
}

// run reads until the first event has ended.
func (r *readAhead) run() {
	defer close(r.done)
	buffer := make([]byte, maxReadAhead)
	for r.err == nil && r.scanner.events == 0 && len(r.begun) < maxReadAhead {
		var n int
		n, r.err = r.ReadCloser.Read(buffer[:maxReadAhead-len(r.begun)])
		r.scanner.scan(buffer[:n])
		r.begun = append(r.begun, buffer[:n]...)
	}
}

// Read returns what has been read in the background, and then the rest.
func (r *readAhead) Read(p []byte) (int, error) {
	<-r.done
	if len(r.begun) > 0 {
		n := copy(p, r.begun)
		r.begun = r.begun[n:]
		return n, nil
	}
	if r.err != nil {
		return 0, r.err
	}
	return r.ReadCloser.Read(p)
}

// failed reports whether the stream is known to have failed before its first event.
func (r *readAhead) failed() bool {
	select {
	case <-r.done:
	default:
		return false
	}
	return r.scanner.events == 0 && r.err != nil && (!errors.Is(r.err, io.EOF) || r.scanner.brokenOff(r.framing))
}
