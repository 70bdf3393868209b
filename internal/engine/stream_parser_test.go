package engine

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"jasminewing.dev/jasminewing/pkg/result"
)

const mixedStream = ": hello\r\n\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n" +
	"event: x\nid: 1\ndata: {\"choices\":\ndata: [{\"text\":\"b\"}]}\n\ndata:{}\n\ndata: [DONE]\n\n"

// The output must be the same however the bytes are split into reads, and no
// piece may end inside an event.
func TestStreamSplitAnywhere(t *testing.T) {
	for size := 1; size <= len(mixedStream); size++ {
		s := &streamParser{}
		var out strings.Builder
		for rest := mixedStream; rest != ""; {
			n := min(size, len(rest))
			p, err := s.parse(time.Unix(0, 0), []byte(rest[:n]))
			assert.NilError(t, err)
			assert.Assert(t, len(p) == 0 || strings.HasSuffix(string(p), "\n\n") || strings.HasSuffix(string(p), "\r\n\r\n"), "%q", p)
			assert.Assert(t, !strings.Contains(string(p), "[DONE]"))
			out.Write(p)
			rest = rest[n:]
		}
		p, err := s.finish()
		assert.NilError(t, err)
		out.Write(p)
		assert.Equal(t, out.String(), mixedStream)
		assert.Equal(t, s.tokens(), tokens(2))
	}
}

func TestOversizeEventIsRefused(t *testing.T) {
	s := &streamParser{}
	var err error
	for range maxEventBytes/readBytes + 1 {
		if _, err = s.parse(time.Unix(0, 0), make([]byte, readBytes)); err != nil {
			break
		}
	}
	assert.Equal(t, result.CodeOf(err), result.UpstreamBadStream)
}

func BenchmarkStreamEvent(b *testing.B) {
	s := &streamParser{}
	event := []byte("data: {\"id\":\"r1\",\"object\":\"chat.completion.chunk\",\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"amber \"}}]}\n\n")
	now := time.Unix(0, 0)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.parse(now, event); err != nil {
			b.Fatal(err)
		}
	}
}
