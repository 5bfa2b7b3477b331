package routing

import (
	"fmt"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/memtest"
	"bergamotrudder.example/bergamotrudder/internal/peer"
)

// BenchmarkTablePick measures a pick and the end of its call, with and without affinity.
func BenchmarkTablePick(b *testing.B) {
	for _, key := range []string{"", "prefix"} {
		for _, n := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("affinity=%v/upstreams=%d", key != "", n), func(b *testing.B) {
				all := candidates(n, 4)
				fill := func() any {
					table := newTable(Config{Instance: "e", FailureDomain: "fd-0"})
					table.Update("s", all)
					return table
				}
				table := fill().(*Table)
				load := &peer.Load{Limit: 10, InFlight: 3}
				b.ReportAllocs()
				for b.Loop() {
					c, err := table.Pick(PickRequest{Stage: "s", AffinityKey: key, Timeout: time.Second})
					if err != nil {
						b.Fatal(err)
					}
					c.Done(Result{Outcome: Succeeded, Duration: time.Millisecond, Load: load})
				}
				b.ReportMetric(memtest.Growth(fill)/float64(n), "heldB/upstream")
			})
		}
	}
}

// BenchmarkTableUpdate measures an update with unchanged candidates.
func BenchmarkTableUpdate(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			all := candidates(n, 4)
			table := newTable(Config{Instance: "e"})
			b.ReportAllocs()
			for b.Loop() {
				table.Update("s", all)
			}
		})
	}
}
