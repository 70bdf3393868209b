package memory

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// The budget leaves room for the gateway's own needs, for garbage and for sockets, on the
// smallest VM too, and a body of the largest usual size fits there.
func TestLimitFor(t *testing.T) {
	for _, mb := range []int64{64, 96, 144, 284, 1000} {
		limit := LimitFor(mb << 20)
		assert.Assert(t, limit < mb<<20/2, "%d MB: %d", mb, limit)
		assert.Assert(t, float64(limit)*largeBodyShare > 2*(4<<20), "%d MB: %d", mb, limit)
	}
	assert.Assert(t, LimitFor(1<<20) > 0)
}

// A holder that asks for memory waits until an evicted one has returned its own.
func TestWaitForEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000 * kb)
		var stalled *Account
		stalled = b.Open(Holder{Evict: func(was Activity) {
			assert.Equal(t, was, Reading)
			time.AfterFunc(100*time.Millisecond, func() { stalled.Close() })
		}})
		assert.NilError(t, stalled.Grow(600*kb))
		time.Sleep(2 * time.Second)
		start := time.Now()
		a := b.Open(Holder{})
		assert.NilError(t, a.Grow(500*kb))
		assert.Equal(t, time.Since(start), 100*time.Millisecond)
		assert.ErrorIs(t, stalled.Grow(1), ErrEvicted)
		a.Close()
		assert.Equal(t, b.Stats().Held, int64(0))
	})
}

// A holder must not wait without a limit for an evicted one that never returns its memory.
func TestWaitIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000 * kb)
		assert.NilError(t, b.Open(Holder{}).Grow(600*kb))
		time.Sleep(2 * time.Second)
		start := time.Now()
		a := b.Open(Holder{})
		assert.ErrorIs(t, a.Grow(500*kb), ErrNoRoom)
		assert.Equal(t, time.Since(start), evictionTimeout)
		assert.NilError(t, a.Grow(100*kb), "memory that is free is still granted")
	})
}

// Each change between short and sufficient memory is reported once.
func TestOnChange(t *testing.T) {
	b := New(1000 * kb)
	var short, sufficient atomic.Int32
	b.OnChange = func(s Stats) {
		if s.Short {
			short.Add(1)
			return
		}
		sufficient.Add(1)
	}
	a, other := b.Open(Holder{}), b.Open(Holder{})
	assert.NilError(t, a.Grow(600*kb))
	assert.NilError(t, a.Begin(Sent))
	for range 3 {
		assert.ErrorIs(t, other.Grow(500*kb), ErrNoRoom)
	}
	a.Close()
	other.Close()
	assert.Equal(t, short.Load(), int32(1))
	assert.Equal(t, sufficient.Load(), int32(1))
}

// A buffer holds exactly what it read, in segments that it has reserved, and returns them.
func TestBuffer(t *testing.T) {
	for _, size := range []int{0, 1, 600, 2 << 10, 2<<10 + 1, 100 << 10, 1 << 20} {
		for _, expected := range []int64{-1, int64(size)} {
			b := New(1 << 30)
			buffer := &Buffer{Account: b.Open(Holder{})}
			text := strings.Repeat("abcdefg", size/7+1)[:size]
			assert.NilError(t, buffer.Fill(strings.NewReader(text), expected, 1<<20))
			assert.Equal(t, buffer.Len(), int64(size))
			assert.Equal(t, string(bytes.Join(buffer.Bytes(), nil)), text)
			assert.Assert(t, b.Stats().Held >= int64(size) && b.Stats().Held <= int64(2*size+34<<10))
			buffer.Release()
			assert.Equal(t, b.Stats().Held, int64(0))
		}
	}
}

// A source over the limit, without room, or that fails, ends with an error and keeps nothing
// after Release.
func TestBufferErrors(t *testing.T) {
	failed := errors.New("failed")
	tests := []struct {
		name   string
		source io.Reader
		want   error
	}{
		{"too large", strings.NewReader(strings.Repeat("x", 1001)), ErrTooLarge},
		{"fails", io.MultiReader(strings.NewReader("x"), failingReader{failed}), failed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := New(100 * kb)
			buffer := &Buffer{Account: b.Open(Holder{})}
			assert.ErrorIs(t, buffer.Fill(tt.source, -1, 1000), tt.want)
			buffer.Release()
			assert.Equal(t, b.Stats().Held, int64(0))
		})
	}
	buffer := &Buffer{Account: New(10 * kb).Open(Holder{})}
	assert.ErrorIs(t, buffer.Fill(strings.NewReader(strings.Repeat("x", 20*kb)), -1, 1<<20), ErrNoRoom)
}

type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }
