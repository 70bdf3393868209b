package connection

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	// lineMemory is what a line of a head takes in addition to its bytes: package net/http
	// keeps a key, an entry of a map and a slice for it. A head of short lines takes over
	// twenty times its size.
	lineMemory = 128
	// answerTimeout limits the time to write an answer of this package. It fits into the
	// send buffer, unless the caller has not read earlier answers.
	answerTimeout = 100 * time.Millisecond
	// lingerTime and lingerBytes limit what is read and dropped after the answer to a head that
	// is too large. Closing at once would make the caller's kernel drop the answer.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// headMemory estimates the memory of a part of a head.
func headMemory(part []byte) int64 {
	return int64(len(part)) + lineMemory*int64(bytes.Count(part, []byte{'\n'}))
}

// answerTo returns the response that refuses a head.
func answerTo(c result.Code) []byte {
	body, _ := json.Marshal(c.Answer("", true, ""))
	status := c.Info().Status
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(body), body)
}

var (
	slowHeadAnswer  = answerTo(result.HeadTooSlow)
	largeHeadAnswer = answerTo(result.HeadTooLarge)
)

// errClosing is returned to the server for a connection that is to be closed. The server sends
// no answer after an error of this type.
var errClosing error = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
