package table

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
)

// sectionsWithAccounts returns the valid sections with n accounts, split into
// parts of 500 rows.
func sectionsWithAccounts(n int) []Section {
	const partRows = 500
	ss := validSections()[:3]
	for first := 0; first < n; first += partRows {
		var b bytes.Buffer
		b.WriteString("name,key_sha256,classes,weight,requests_per_second,burst,tokens_per_minute,in_flight\n")
		for i := first; i < min(first+partRows, n); i++ {
			name := fmt.Sprintf("account-%05d", i)
			fmt.Fprintf(&b, "%s,%s,quick long booking,2,12.5,25,60000,40\n", name, HashKey(name))
		}
		ss = append(ss, Section{fmt.Sprintf("accounts_%02d", first/partRows), Revision(first), b.Bytes()})
	}
	return ss
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{100, 1000, 5300} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			ss := sectionsWithAccounts(n)
			bytesGiven := 0
			for _, s := range ss {
				bytesGiven += len(s.Data)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			held, _ := Parse(ss)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				if _, faults := Parse(ss); len(faults) > 0 {
					b.Fatal(faults)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "held-bytes")
			b.ReportMetric(float64(bytesGiven), "csv-bytes")
			runtime.KeepAlive(held)
		})
	}
}

func BenchmarkAccountByKey(b *testing.B) {
	t, _ := Parse(sectionsWithAccounts(5300))
	h := HashKey("account-02650")
	for b.Loop() {
		if _, ok := t.AccountByKey(h); !ok {
			b.Fatal("not found")
		}
	}
}
