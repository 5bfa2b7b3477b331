package limits

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// heapBytesPerValue returns the heap bytes retained per value for n values.
func heapBytesPerValue[T any](n int, newValue func(i int) T) float64 {
	values := make([]T, n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range values {
		values[i] = newValue(i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(values)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}

// BenchmarkLimiterCall measures the acquisition and release of a slot with other calls in
// flight.
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
			b.ReportMetric(heapBytesPerValue(100, full), "heldB/limiter")
		})
	}
}
