package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"jasminewing.dev/jasminewing/internal/engine"
	"jasminewing.dev/jasminewing/pkg/result"
)

func TestBooking(t *testing.T) {
	tests := []struct {
		action Action
		code   result.Code
		runs   int
		notRun bool
	}{
		{Normal, result.OK, 1, false},
		{CutBeforeRun, result.UpstreamCutOff, 0, false},
		{CutAfterRun, result.UpstreamCutOff, 1, false},
		{CutAnswer, result.UpstreamCutOff, 1, false},
		{CloseDelimited, result.UpstreamCutOff, 1, false},
		{Refuse, result.UpstreamRefused, 0, true},
		{Fail, result.UpstreamFailed, 1, false},
	}
	for _, tt := range tests {
		t.Run(string(tt.action), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := &Booking{Delay: time.Second}
				c := startServer(t, b)
				assert.NilError(t, b.Control(tt.action, 1))
				r := engine.Request{Method: "POST", Path: "/tickets/42", Body: []byte(`{"booking":"b1"}`), RequestID: "r1"}
				out := c.Do(t.Context(), r, &recordingSink{})
				assert.Equal(t, out.Code, tt.code, out.Detail)
				assert.Equal(t, out.NotRun, tt.notRun)
				assert.Equal(t, b.Stats().Runs["b1"], tt.runs)
				var again recordingSink
				assert.Assert(t, c.Do(t.Context(), r, &again).Complete)
				assert.Equal(t, b.Stats().MostRuns, tt.runs+1)
			})
		})
	}
}
