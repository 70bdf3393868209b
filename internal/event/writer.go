package event

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
)

// writerBufferLines is the maximum number of lines buffered for the output.
const writerBufferLines = 4096

// Writer buffers lines for an output that may be slow. Until the context of Run
// ends, Write never blocks: when the buffer is full, the line is dropped and
// counted. Afterwards Write writes directly to the output.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	// direct is the output itself. Run sets it when its context ends, so that
	// the last lines of a program are written synchronously.
	direct atomic.Pointer[io.Writer]
}

// NewWriter returns a Writer. Lines stay in the buffer until Run is called.
func NewWriter() *Writer { return &Writer{lines: make(chan []byte, writerBufferLines)} }

// Write queues a copy of one line. It reports success for a dropped line, too.
func (w *Writer) Write(p []byte) (int, error) {
	if out := w.direct.Load(); out != nil {
		return (*out).Write(p)
	}
	select {
	case w.lines <- bytes.Clone(p):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes buffered lines to out until ctx ends, and then the lines that are
// still buffered. It combines all buffered lines into one write. It returns the
// first error of out.
func (w *Writer) Run(ctx context.Context, out io.Writer) error {
	var b bytes.Buffer
	for {
		select {
		case line := <-w.lines:
			w.appendQueued(&b, line)
		case <-ctx.Done():
			w.direct.Store(&out)
			w.appendQueued(&b, nil)
			_, err := out.Write(b.Bytes())
			return err
		}
		if _, err := out.Write(b.Bytes()); err != nil {
			return err
		}
		b.Reset()
	}
}

func (w *Writer) appendQueued(b *bytes.Buffer, line []byte) {
	b.Write(line)
	for {
		select {
		case line := <-w.lines:
			b.Write(line)
		default:
			return
		}
	}
}
