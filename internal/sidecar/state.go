package sidecar

import (
	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/internal/event"
)

// noteState publishes a new state, and logs when the upstream turns cold or
// warm. The admitter calls it.
func (s *Sidecar) noteState(state admission.State) {
	was := s.reports.get()
	s.reports.set(state)
	if was.Cold == state.Cold {
		return
	}
	n := event.UpstreamWarm
	if state.Cold {
		n = event.UpstreamCold
	}
	s.Log.WriteThrottled(n, string(s.UpstreamName), "limit", state.Limit)
}
