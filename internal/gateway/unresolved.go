package gateway

import (
	"errors"
	"fmt"
	"time"

	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
)

// logUnresolved logs which table a gateway had when it refused a request whose key, model or class
// the table lacks. Other refusals don't depend on the table. Any caller can cause the line, so it
// is throttled for each code and table.
func (g *Gateway) logUnresolved(a *answer, v *fleet.View, err error) {
	code := result.CodeOf(err)
	switch code {
	case result.BadKey:
		if !errors.Is(err, errUnknownKey) {
			return
		}
	case result.UnknownModel, result.UnknownClass, result.ClassNotAllowed:
	default:
		return
	}
	revision := v.Table.Revision
	g.Log.WriteThrottled(event.RequestUnresolved, fmt.Sprintf("%s/%d", code, revision), "request_id", a.id, "code", int(code),
		"revision", uint64(revision), "era", uint64(revision.Era()), "source", v.TableSource,
		"applied_ms", a.millisSince(v.TableAppliedAt), "confirmed_ms", a.millisSince(v.ConfirmedAt))
}

// millisSince returns the time from t to the arrival of the request in milliseconds. It is 0 if t is
// later, and -1 if it is not known.
func (a *answer) millisSince(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return max(a.arrived.Sub(t).Milliseconds(), 0)
}
