package gateway

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/pkg/result"
)

// An answer over the bound is judged as such before it is counted, and one that
// was had anew is judged by itself.
func TestAnswerOverLimit(t *testing.T) {
	a := &answer{limit: 3}
	a.addData([]byte("abc"))
	assert.Equal(t, a.outcome(dispatch.Finish{}).Code, result.OK)
	a.addData([]byte("d"))
	assert.Equal(t, a.outcome(dispatch.Finish{}).Code, result.AnswerTooLarge)
	assert.Equal(t, a.outcome(dispatch.Finish{Code: result.SidecarLost}).Code, result.SidecarLost)
	a.discard()
	a.addData([]byte("abc"))
	assert.Equal(t, a.outcome(dispatch.Finish{}).Code, result.OK)
}

// A refusal before anything ran is no word on an earlier request with the same
// key, which may have run: it must not read as "your booking was not made".
func TestRefusalWithKeyIsNotMarkedNotRun(t *testing.T) {
	tests := []struct {
		keyed bool
		want  string
	}{
		{false, `"not_run":true`},
		{true, `"not_run":false`},
	}
	for _, tt := range tests {
		g := &Gateway{Fleet: &staticFleet{}}
		g.Init()
		r := httptest.NewRequest(http.MethodPost, "/services/pitch_booking/bookings", strings.NewReader(`{}`))
		if tt.keyed {
			r.Header.Set("Idempotency-Key", "pitch-12")
		}
		w := httptest.NewRecorder()
		g.serveCall(w, r)
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(w.Body.String(), tt.want), w.Body.String())
	}
}

// failingWriter is a caller that stopped reading.
type failingWriter struct{ http.ResponseWriter }

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("the caller stopped reading") }

// A stream whose caller stopped reading did not reach it, though the upstream
// ended it whole.
func TestStreamWriteError(t *testing.T) {
	a := &answer{w: failingWriter{httptest.NewRecorder()}, streamed: true}
	a.setHead(http.StatusOK, nil)
	a.addData([]byte("data: {}\n\n"))
	assert.Equal(t, a.outcome(dispatch.Finish{}).Code, result.CallerGone)
}
