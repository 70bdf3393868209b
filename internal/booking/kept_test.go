package booking

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
)

// alone is a core whose service has no other member.
func alone(now time.Time, c *Core) *Core {
	c.Self = fleet.VM{Name: "vm_1", State: fleet.Live}
	c.Handle(now, ViewChanged{Members: []fleet.VM{c.Self}, Window: time.Hour})
	return c
}

// book runs a key to an answer of so many bytes, or gives what the core has of it.
func (c *Core) book(now time.Time, ref Ref, key string, size int) Effect {
	k := Key{Account: "ward", Text: key}
	e := c.Handle(now, Begin{Ref: ref, Key: k, BodyHash: []byte("h")})[0]
	if _, runs := e.(Run); runs {
		c.Handle(now, Finished{Ref: ref, Answer: &wire.StoredAnswer{Status: 200, Complete: true, Body: make([]byte, size)}})
	}
	return e
}

// Answers are kept while they fit the bound on all of them. A key whose answer
// does not fit is never run again, and room comes back as records lapse.
func TestKeptBytesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	c := alone(now, &Core{MaxKeptBytes: 100})
	c.book(now, 1, "first", 60)
	c.book(now, 2, "second", 60)
	_, recorded := c.book(now, 3, "first", 0).(AnswerRecorded)
	assert.Assert(t, recorded)
	refusal, refused := c.book(now, 4, "second", 0).(Refuse)
	assert.Assert(t, refused)
	assert.Equal(t, refusal.Code, result.KeyOutcomeUnknown)

	now = now.Add(2 * time.Hour)
	c.Handle(now, Ticked{})
	assert.Equal(t, c.Records(), 0)
	c.book(now, 5, "third", 60)
	_, recorded = c.book(now, 6, "third", 0).(AnswerRecorded)
	assert.Assert(t, recorded, "no room after the others lapsed")
}

// BenchmarkRecord measures the memory of a record with an answer of 200 bytes.
func BenchmarkRecord(b *testing.B) {
	for _, records := range []int{1000, 10_000, 50_000} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			for b.Loop() {
				now := time.Unix(1000, 0)
				before := heap()
				c := alone(now, &Core{MaxRecords: records})
				for n := range records {
					c.book(now, Ref(n+1), fmt.Sprintf("booking-of-ward-%d", n), 200)
				}
				b.ReportMetric(float64(heap()-before)/float64(records), "bytes/record")
				assert.Equal(b, c.Records(), records)
			}
		})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
