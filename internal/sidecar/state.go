package sidecar

import (
	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/internal/event"
)

// publishState publishes a new state and logs when the upstream becomes cold or
// warm. It is called by the admitter.
func (s *Sidecar) publishState(state admission.State) {
	was := s.reports.get()
	s.reports.publish(state)
	if was.Cold == state.Cold {
		return
	}
	n := event.UpstreamWarm
	if state.Cold {
		n = event.UpstreamCold
	}
	s.Log.WriteThrottled(n, string(s.UpstreamName), "limit", state.Limit)
}
