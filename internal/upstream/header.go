package upstream

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that apply to a single connection and are not
// forwarded.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
}

// EndToEndHeaders returns a copy of h without hop-by-hop headers and without the
// headers that its Connection header lists. The result is never nil.
func EndToEndHeaders(h http.Header) http.Header {
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
