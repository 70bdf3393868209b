package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// MaxHeadLines is the maximum number of lines of a response head. Many short lines take several
// times the memory of their text: with 64 KB of them in each answer, a VM of 144 MB used 205 MB.
const MaxHeadLines = 256

var (
	// errHeadTooLong is returned if a response head has more lines than MaxHeadLines.
	errHeadTooLong = fmt.Errorf("the head of the answer has over %d lines", MaxHeadLines)
	// errContinuedLine is returned for a line that continues the one before it.
	errContinuedLine = errors.New("a line in the head of the answer begins with a blank")
	// errUnexpectedChunks is returned for a response with an encoding that its version of HTTP lacks.
	errUnexpectedChunks = errors.New("the answer has a transfer encoding in a version of HTTP without one")
	// errBadStatus is returned for a response whose status is below 100.
	errBadStatus = errors.New("the answer has no valid status")
	// errBadFieldName is returned for a response with a field whose name is no token.
	errBadFieldName = errors.New("the answer has a field with an invalid name")
)

// maxErrorNameBytes is the maximum number of bytes of a field's name in an error.
const maxErrorNameBytes = 40

// CheckHead returns an error if the head of a response is malformed in a way that net/http
// accepts. A blank in a field's name may hide how the body is framed. Of all bytes that are no
// part of a token, net/http accepts blanks only.
func CheckHead(r *http.Response) error {
	if r.StatusCode < http.StatusContinue {
		return fmt.Errorf("%w: %03d", errBadStatus, r.StatusCode)
	}
	for name := range r.Header {
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: %q", errBadFieldName, name[:min(len(name), maxErrorNameBytes)])
		}
	}
	return nil
}

// HeadScanner scans the head of a response, and each interim head before it, as the bytes arrive.
// It finds what can't be seen in a head that net/http has parsed.
type HeadScanner struct {
	ended bool
	// lines is the number of lines that have begun, and column the length of the last one.
	lines, column int
	// start is the start of the last line.
	start [len(transferEncoding)]byte
	// interim reports that the status of the head is 1xx, so that another head follows.
	interim bool
	// withoutChunks reports that the version of the head is one without chunks.
	withoutChunks bool
	err           error
}

const (
	// firstVersionWithChunks is the lowest version of HTTP that has chunks.
	firstVersionWithChunks = "HTTP/1.1"
	// statusColumn is the position of the status in "HTTP/1.1 200 OK".
	statusColumn = len("HTTP/1.1 ")
	// transferEncoding is the start of the field that says that a body has chunks.
	transferEncoding = "Transfer-Encoding:"
)

// Err returns why the head is to be refused, or nil.
func (s *HeadScanner) Err() error { return s.err }

// Scan scans the next bytes and returns an error if the head is to be refused. It ignores bytes
// after the head.
func (s *HeadScanner) Scan(p []byte) error {
	for s.err == nil && !s.ended && len(p) > 0 {
		line, rest, whole := bytes.Cut(p, []byte{'\n'})
		s.scanLine(bytes.TrimSuffix(line, []byte{'\r'}))
		if whole {
			s.endLine()
		}
		p = rest
	}
	return s.err
}

// scanLine scans a part of a line, without its end.
func (s *HeadScanner) scanLine(part []byte) {
	if len(part) == 0 {
		return
	}
	if s.column == 0 {
		s.beginLine(part[0])
	}
	if s.column < len(s.start) {
		copy(s.start[s.column:], part)
	}
	s.column += len(part)
}

// beginLine checks the first byte of a line. After a status line, a blank makes the line a part of
// the value before it, which may hide how the body is framed. RFC 9112, section 5.2, lets a gateway
// discard such a response.
func (s *HeadScanner) beginLine(first byte) {
	if s.lines > 0 && (first == ' ' || first == '\t') {
		s.err = errContinuedLine
	}
	if s.lines++; s.lines > MaxHeadLines {
		s.err = errHeadTooLong
	}
	s.start = [len(transferEncoding)]byte{}
}

// endLine checks a line that has ended. By RFC 9112, section 6.1, the framing of a response is faulty
// if it has chunks and its version has none. net/http ignores its encoding.
func (s *HeadScanner) endLine() {
	switch {
	case s.column == 0:
		s.ended = !s.interim
		s.lines = 0
	case s.lines == 1:
		s.interim = s.start[statusColumn] == '1'
		s.withoutChunks = string(s.start[:len(firstVersionWithChunks)]) < firstVersionWithChunks
	case s.withoutChunks && strings.EqualFold(string(s.start[:]), transferEncoding):
		s.err = errUnexpectedChunks
	}
	s.column = 0
}
