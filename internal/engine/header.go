package engine

// notForUpstream headers are the caller's word to the gateway, or are made
// anew. A compressed event stream could not be checked, so no encoding is asked
// for.
var notForUpstream = []string{
	"Authorization", "Host", "Content-Length", "Expect", "Accept-Encoding", HeaderRequestID, HeaderResumeOffset,
}
