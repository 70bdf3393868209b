package memory

import (
	"errors"
	"io"
	"sync"
)

// segmentSizes are the sizes in bytes of the segments of a buffer, from the first to the
// last. A small body needs one small segment, and a large one is not copied as it grows.
var segmentSizes = [...]int{2 << 10, 8 << 10, 32 << 10}

// freeSegments holds segments for reuse by size, so that bodies leave no garbage.
var freeSegments [len(segmentSizes)]sync.Pool

// segment is a part of a buffer.
type segment struct {
	size int
	data []byte
}

// Buffer holds bytes in segments, whose memory it reserves from an account.
type Buffer struct {
	Account *Account

	segments []*segment
	size     int64
}

// Fill reads until the end of the source. It returns ErrTooLarge for more than limit
// bytes, and the errors of Account.Grow if there is no room. expected is the number of bytes
// that the source is expected to have; -1 if it is unknown.
func (b *Buffer) Fill(source io.Reader, expected, limit int64) error {
	for {
		s, err := b.last(expected)
		if err != nil {
			return err
		}
		free := s.data[len(s.data):cap(s.data)]
		n, err := source.Read(free[:min(int64(len(free)), limit+1-b.size)])
		s.data = s.data[:len(s.data)+n]
		b.size += int64(n)
		b.Account.Progress(int64(n))
		switch {
		case b.size > limit:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// last returns the last segment if it has room, or else a new one.
func (b *Buffer) last(expected int64) (*segment, error) {
	n := len(b.segments)
	if n > 0 {
		if s := b.segments[n-1]; len(s.data) < cap(s.data) {
			return s, nil
		}
	}
	size := min(n, len(segmentSizes)-1)
	for size < len(segmentSizes)-1 && int64(segmentSizes[size]) < expected-b.size {
		size++
	}
	if err := b.Account.Grow(int64(segmentSizes[size])); err != nil {
		return nil, err
	}
	s, ok := freeSegments[size].Get().(*segment)
	if !ok {
		s = &segment{size: size, data: make([]byte, 0, segmentSizes[size])}
	}
	b.segments = append(b.segments, s)
	return s, nil
}

// Len returns the number of bytes in the buffer.
func (b *Buffer) Len() int64 { return b.size }

// Bytes returns the content in order, without copying it. It is valid until Release.
func (b *Buffer) Bytes() [][]byte {
	out := make([][]byte, 0, len(b.segments))
	for _, s := range b.segments {
		if len(s.data) > 0 {
			out = append(out, s.data)
		}
	}
	return out
}

// Release frees the buffer, which is empty afterwards. Nothing may read its content any more.
func (b *Buffer) Release() {
	total := 0
	for _, s := range b.segments {
		total += segmentSizes[s.size]
		s.data = s.data[:0]
		freeSegments[s.size].Put(s)
	}
	b.segments, b.size = nil, 0
	if total > 0 {
		b.Account.Shrink(int64(total))
	}
}
