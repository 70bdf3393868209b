package engine

// strippedHeaders headers are the caller's word to the gateway, or are made
// anew. A compressed event stream could not be checked, so no encoding is asked
// for.
var strippedHeaders = []string{
	"Authorization", "Host", "Content-Length", "Expect", "Accept-Encoding", HeaderRequestID, HeaderResumeOffset,
}
