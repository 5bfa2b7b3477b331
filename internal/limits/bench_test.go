package limits

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// held returns the bytes that each of n values keeps in the heap.
func held[T any](n int, make1 func(i int) T) float64 {
	values := make([]T, n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range values {
		values[i] = make1(i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(values)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}

// BenchmarkLimiterCall measures a slot taken and given back with other calls in flight.
func BenchmarkLimiterCall(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("inFlight=%d", n), func(b *testing.B) {
			full := func(int) *Limiter {
				l := newLimiter(Config{Capacity: n, ColdCapacity: n})
				for range n - 1 {
					l.TryAcquire()
				}
				return l
			}
			b.ReportAllocs()
			l := full(0)
			for b.Loop() {
				l.TryAcquire()
				l.Release(Observation{Duration: time.Millisecond})
			}
			b.ReportMetric(held(100, full), "heldB/limiter")
		})
	}
}
