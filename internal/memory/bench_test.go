package memory

import (
	"bytes"
	"testing"
)

// What counting costs a request with a body of 17 KB when memory is sufficient, beside 1,000
// others.
func BenchmarkRequest(b *testing.B) {
	budget, body := New(1<<30), make([]byte, 17<<10)
	for range 1000 {
		budget.Open(Holder{})
	}
	for b.Loop() {
		a := budget.Open(Holder{Request: "r", Client: "c"})
		_ = a.Grow(32 << 10)
		buffer := &Buffer{Account: a}
		_ = buffer.Fill(bytes.NewReader(body), int64(len(body)), 4<<20)
		_ = a.Begin(Sent)
		buffer.Release()
		a.Close()
	}
}

// What a refusal costs when memory is short and 2,000 holders are looked through.
func BenchmarkRefusal(b *testing.B) {
	budget := New(1 << 20)
	for n := range 2000 {
		a := budget.Open(Holder{Client: string(rune('a' + n%26))})
		_ = a.Grow(512)
		_ = a.Begin(Sent)
	}
	a := budget.Open(Holder{})
	for b.Loop() {
		_ = a.Grow(1 << 20)
	}
}
