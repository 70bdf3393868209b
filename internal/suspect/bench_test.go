package suspect

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
)

// fullCrashes holds the crashes of a lost data centre at the design size: as many as fit,
// with the traits of eight requests each, half of them cleared.
func fullCrashes() *Crashes {
	c := &Crashes{}
	for i := range DefaultMaxCrashes {
		var traits []Trait
		for n := range 16 {
			traits = append(traits, Trait(i*8+n))
		}
		c.Report(start.Add(time.Duration(i)*time.Millisecond), fleet.Incarnation(fmt.Sprintf("i-%010x/%d", i, start.UnixMilli())), traits, nil)
		c.Completed(start.Add(time.Second), "", traits[:8], nil)
	}
	return c
}

// BenchmarkVerdict measures a request's check, and the assessment after a change.
func BenchmarkVerdict(b *testing.B) {
	c := fullCrashes()
	now := start.Add(10 * time.Second)
	b.Run("check", func(b *testing.B) {
		for range b.N {
			c.MayRun(now, []Trait{1, 2, 3}, nil)
		}
	})
	b.Run("assessment", func(b *testing.B) {
		for range b.N {
			c.findings = nil
			c.MayRun(now, []Trait{1, 2, 3}, nil)
		}
	})
	b.Run("completed", func(b *testing.B) {
		for range b.N {
			c.Completed(now, "", []Trait{1 << 40, 1<<40 + 1}, nil)
		}
	})
}

// BenchmarkMemory measures the memory of all crashes and completed traits that are held.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	c := fullCrashes()
	for i := range Trait(2 * maxRecentTraits) {
		c.Completed(start.Add(time.Second), "", []Trait{1<<50 + i}, nil)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
	runtime.KeepAlive(c)
}
