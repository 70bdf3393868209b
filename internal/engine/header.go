package engine

// strippedHeaders are request headers that are not passed on to the upstream,
// because they are meant for the gateway, or because the client sets them itself.
// Accept-Encoding is among them because the client could not check a compressed
// event stream.
var strippedHeaders = []string{
	"Authorization", "Host", "Content-Length", "Expect", "Accept-Encoding", HeaderRequestID, HeaderResumeOffset,
}
