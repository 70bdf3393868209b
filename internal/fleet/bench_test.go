package fleet

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkList measures the processing of a new VM list from a peer.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{15, 150, 1450} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			l := newSimulation(n).list
			encoded := encodeList(l)
			c := &Core{Self: l.VMs[0], Parse: fakeParse}
			for b.Loop() {
				got, err := decodeList(encoded)
				if err != nil {
					b.Fatal(err)
				}
				c.peers.rank(c.Self, got)
				c.reader.rank(c.Self, got)
			}
			b.ReportMetric(float64(len(encoded)), "bytes")
		})
	}
}

// BenchmarkTick measures a tick without new state, including probes.
func BenchmarkTick(b *testing.B) {
	s := startedSession()
	b.ReportAllocs()
	for b.Loop() {
		s.now = s.now.Add(TickInterval)
		s.core.Handle(s.now, Ticked{})
	}
}

// BenchmarkMemory measures the memory used by a VM list.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{150, 1450} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			encoded := encodeList(newSimulation(n).list)
			var before, after runtime.MemStats
			var kept []VMList
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				l, err := decodeList(encoded)
				if err != nil {
					b.Fatal(err)
				}
				kept = append(kept, l)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(kept)*n), "bytes/vm")
			runtime.KeepAlive(kept)
		})
	}
}
