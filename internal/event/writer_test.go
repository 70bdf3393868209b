package event

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// blockedOutput is an output whose writes block until open is closed.
type blockedOutput struct {
	open chan struct{}
	bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.open
	return b.Buffer.Write(p)
}

// A blocked output must not block Write: lines beyond the buffer are dropped,
// and every line is either written or counted as dropped.
func TestWriterNeverBlocks(t *testing.T) {
	w := NewWriter()
	out := &blockedOutput{open: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx, out) }()
	const lines = 3 * writerBufferLines
	for range lines {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, w.Dropped() > 0)
	close(out.open)
	cancel()
	assert.NilError(t, <-done)
	assert.Equal(t, uint64(strings.Count(out.String(), "\n"))+w.Dropped(), uint64(lines))
}

// A program logs its last line after Run has returned; the line must still
// reach the output.
func TestWriteAfterRunReturns(t *testing.T) {
	w := NewWriter()
	var out bytes.Buffer
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, w.Run(ctx, &out))
	_, err := w.Write([]byte("stopped\n"))
	assert.NilError(t, err)
	assert.Equal(t, out.String(), "stopped\n")
}
