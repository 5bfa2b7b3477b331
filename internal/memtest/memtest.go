// Package memtest measures the memory that a benchmark retains.
//
// # Usage
//
//	held := memtest.Growth(func() any { return newTable(n) })
//	b.ReportMetric(held/float64(n), "heldB/upstream")
package memtest

import "runtime"

// Growth returns the increase of the heap and the stacks of the process, in bytes, while
// it retains the result of f. It is negative when other memory of the process shrank more.
func Growth(f func() any) float64 {
	before := inUse()
	v := f()
	after := inUse()
	runtime.KeepAlive(v)
	return after - before
}

// inUse returns the heap and stack memory in use after a garbage collection, in bytes.
func inUse() float64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc) + float64(s.StackInuse)
}
