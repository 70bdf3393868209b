package upstream

import "net/http"

// Framing is how a response marks the end of its body.
type Framing string

// The ways of RFC 9112, section 6.
const (
	// FramedByLength is a Content-Length, or a status or method without a body.
	FramedByLength Framing = "length"
	// FramedByChunks is the chunked transfer encoding.
	FramedByChunks Framing = "chunked"
	// FramedByClose is neither: the body ends with its connection, and an upstream
	// that crashes may end it in the same way.
	FramedByClose Framing = "close"
)

// Framings lists all framings.
var Framings = []Framing{FramedByLength, FramedByChunks, FramedByClose}

// FramingOf returns how a response read by net/http is framed.
func FramingOf(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return FramedByChunks
	case r.ContentLength >= 0, r.Request != nil && r.Request.Method == http.MethodHead:
		return FramedByLength
	}
	return FramedByClose
}
