package engine

import (
	"net/http"
	"strings"
)

// hopByHop headers speak of one connection and are not passed on.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// notForUpstream headers are the caller's word to the gateway, or are made
// anew. A compressed event stream could not be checked, so no encoding is asked
// for.
var notForUpstream = []string{
	"Authorization", "Host", "Content-Length", "Expect", "Accept-Encoding", HeaderRequestID, HeaderResumeOffset,
}

// passedOn copies a header without what belongs to one connection.
func passedOn(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
