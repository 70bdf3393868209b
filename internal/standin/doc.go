// Package standin holds small stand-ins for what jasminewing stands between: a
// model engine, a booking service, the platform's configuration service and VM
// list, and callers.
//
// Each is an http.Handler, or gives handlers, whose exported fields are set
// before use; it runs in a test's own process as well as in cmd/standin. None
// of them is meant to be fast or complete: they have the faults that matter.
//
// # Usage
//
//	e := &standin.Engine{Slots: 8, ColdSlots: 1, WarmAfter: 4, TokenGap: 10 * time.Millisecond}
//	s := httptest.NewServer(e)
//	defer s.Close()
package standin
