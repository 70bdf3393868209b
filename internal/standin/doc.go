// Package standin provides stand-ins for the systems around jasminewing: a
// model engine, a booking service, the platform's configuration service and VM
// list, a TCP relay that can fail, and callers that send load.
//
// The servers are http.Handlers, or return handlers, and their exported fields
// are set before use. They run in the process of a test as well as in
// cmd/standin. They are not meant to be fast or complete, but can produce the
// failures that jasminewing has to handle.
//
// # Usage
//
//	e := &standin.Engine{Slots: 8, ColdSlots: 1, WarmAfter: 4, TokenGap: 10 * time.Millisecond}
//	s := httptest.NewServer(e)
//	defer s.Close()
package standin
