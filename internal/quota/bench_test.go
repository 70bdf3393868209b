package quota

import (
	"fmt"
	"testing"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/table"
)

func gatewayNames(n int) []fleet.VMName {
	var ns []fleet.VMName
	for i := range n {
		ns = append(ns, fleet.VMName(fmt.Sprintf("gateway_%03d", i)))
	}
	return ns
}

// BenchmarkShare measures the work for an active account when the set of
// gateways changes.
func BenchmarkShare(b *testing.B) {
	for _, n := range []int{3, 50, 350} {
		for _, units := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("gateways=%d/units=%d", n, units), func(b *testing.B) {
				ns := gatewayNames(n)
				for b.Loop() {
					heldUnits("large", units, ns[0], ns, false)
				}
			})
		}
	}
}

// BenchmarkTake measures the work for one request.
func BenchmarkTake(b *testing.B) {
	now := time.Unix(1000, 0)
	c := &Core{Self: "gateway_000"}
	c.UpdateGateways(now, gatewayNames(1), now)
	a := table.Account{Name: "large", RequestsPerSecond: 1000, InFlight: 10, TokensPerMinute: 1 << 40}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		c.Take(now, a, 100)
		c.Done(now, a, 100, 100)
	}
}
