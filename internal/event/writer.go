package event

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
)

// writerBufferLines is the most lines that wait for the output.
const writerBufferLines = 4096

// Writer hands lines to an output that may be slow. Write never blocks: when
// the output does not keep up, lines are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	// direct is the output itself once Run has ended, for the last lines of a
	// program.
	direct atomic.Pointer[io.Writer]
}

// NewWriter makes a Writer.
func NewWriter() *Writer { return &Writer{lines: make(chan []byte, writerBufferLines)} }

// Write takes one line.
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

// Dropped gives the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines to out until ctx ends, and then those that wait. Lines that
// wait together go out together.
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
