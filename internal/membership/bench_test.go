package membership

import (
	"fmt"
	"runtime"
	"testing"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

var benchSizes = []int{47, 300, 1000, 3310}

func benchRecords(n int) (records []Record) {
	for i := range n {
		role := fleet.RoleSidecar
		if i%5 == 0 {
			role = fleet.RoleEntry
		}
		r := instance(role, fmt.Sprintf("instance-%d", i), fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250), "")
		self := r
		self.Incarnation = fmt.Sprintf("%032x", i)
		records = append(records, Record{Name: r.Name, Platform: PlatformState{Version: uint64(i + 1), Instance: r}, Self: SelfState{Epoch: 1, Instance: self}})
	}
	return records
}

// BenchmarkMembershipMerge fills a table and reports the memory used per record,
// excluding strings that the records share.
func BenchmarkMembershipMerge(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			records := benchRecords(n)
			var held uint64
			for b.Loop() {
				before := heapInUse()
				t := newTable("e")
				t.Merge(records)
				held += heapInUse() - before
				runtime.KeepAlive(t)
			}
			b.ReportMetric(float64(held)/float64(b.N*n), "heldBytes/record")
		})
	}
}

// BenchmarkMembershipDelta finds one changed record between two tables and reports
// the bytes of the compared hashes and summaries.
func BenchmarkMembershipDelta(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			x, y := newTable("e"), newTable("e")
			x.Merge(benchRecords(n))
			y.Merge(benchRecords(n))
			y.MarkLeaving("instance-1", fmt.Sprintf("%032x", 1))
			size := 0
			for b.Loop() {
				buckets := x.Buckets()
				differing, summaries, err := y.Compare(buckets)
				if err != nil {
					b.Fatal(err)
				}
				want, send, err := x.PlanSync(differing, summaries)
				// The peer replies to a sent record with its own, so no record is requested.
				if err != nil || len(want) != 0 || len(send) != 1 {
					b.Fatal(want, send, err)
				}
				size = len(buckets) + len(differing) + len(summaries)
			}
			b.ReportMetric(float64(size), "bytes/op")
		})
	}
}

// BenchmarkMembershipOwned computes the owned sidecars after a change of the table.
func BenchmarkMembershipOwned(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			t := newTable("e")
			t.Merge(benchRecords(n))
			for b.Loop() {
				_, _ = t.Owned()
			}
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
