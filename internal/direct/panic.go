package direct

import (
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"runtime"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/pkg/result"
)

// maxFrames is how many frames of the stack are searched for the place of a panic.
const maxFrames = 32

// answerPanic is deferred. It answers and logs a request whose handling has panicked, which
// would otherwise end with a closed connection. If an answer has begun, it breaks that off.
func (p *proxiedRequest) answerPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(cause)
	}
	p.panicPlace = p.gateway.logPanic(cause)
	if p.response != "" {
		panic(http.ErrAbortHandler)
	}
	// What had been sent to an upstream is unknown.
	p.mayHaveRun = true
	err := result.Errorf(result.Internal, "the gateway failed")
	// abort panics.
	defer p.logEnd(err)
	if p.headersSent {
		p.abort()
	}
	p.writeError(err)
}

// errPanic is the error of an exchange whose handling has panicked.
var errPanic = errors.New("the gateway failed")

// logPanic logs a panic and returns its file and line. The deferred function that recovers must
// call it.
func (g *Gateway) logPanic(cause any) string {
	place := panicPlace()
	g.Log.WriteThrottled(event.ServerFailed, "handler", "error", fmt.Sprint(cause), "at", place)
	return place
}

// panicPlace returns the file and line that panicked.
func panicPlace() string {
	pcs := make([]uintptr, maxFrames)
	frames := runtime.CallersFrames(pcs[:runtime.Callers(1, pcs)])
	for panicked := false; ; {
		f, more := frames.Next()
		inRuntime := filepath.Base(filepath.Dir(f.File)) == "runtime"
		if panicked && !inRuntime || !more {
			return fmt.Sprintf("%s:%d", filepath.Base(f.File), f.Line)
		}
		panicked = panicked || f.Function == "runtime.gopanic"
	}
}
