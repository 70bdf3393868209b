package direct

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/event"
)

// unframedStream returns a stream that has neither a length nor chunks and ends with
// its connection.
func unframedStream(body string) string {
	return "HTTP/1.1 200 OK\r\nId: ID\r\nSigned: 1\r\nContent-Type: text/event-stream\r\n\r\n" + body + "!"
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func TestAnswerEndIsLogged(t *testing.T) {
	tests := []struct{ name, path, script, want, counter string }{
		{"length", "/book/1", responseText(200, "Signed: 1\r\n", "ok"), ":length:whole:0", `{framing="length",end="whole"} 1`},
		{"chunks", "/draft/1", streamStart(eventText(1)) + streamEnd, ":chunked:whole:0", `{framing="chunked",end="whole"} 1`},
		{"chunks, cut inside an event", "/draft/1", streamStart(eventText(1), "id: 2\nda") + "!", ":chunked:cut:8", `{framing="chunked",end="cut"} 1`},
		{"connection", "/draft/1", unframedStream(eventText(1)), ":close:whole:0", `{framing="close",end="whole"} 1`},
		{"an event again", "/draft/1", streamStart(eventText(1), eventText(1)) + streamEnd, ":chunked:out_of_sequence:0", `{framing="chunked",end="out_of_sequence"} 1`},
		{"connection, inside an event", "/draft/1", unframedStream(eventText(1) + "id: 2"), ":close:inside_event:5", `{framing="close",end="inside_event"} 1`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t, 1, tt.script)
			var lines, metrics lockedBuffer
			f.gateway.Log = &event.Log{Logger: log.New(&lines)}
			f.call(t, http.MethodPost, tt.path, "x")
			assert.Assert(t, strings.Contains(lines.String(), tt.want), lines.String())
			f.gateway.WriteMetrics(&metrics)
			assert.Assert(t, strings.Contains(metrics.String(), "jasminewing_direct_answers_total"+tt.counter))
		})
	}
}
