// Package memtest measures what a benchmark holds in memory.
//
// # Usage
//
//	held := memtest.Growth(func() any { return newTable(n) })
//	b.ReportMetric(held/float64(n), "heldB/upstream")
package memtest

import "runtime"

// Growth returns by how many bytes of heap and stacks the process is larger while it
// holds the result of f. It is negative when other parts of the process shrank more.
func Growth(f func() any) float64 {
	before := inUse()
	v := f()
	after := inUse()
	runtime.KeepAlive(v)
	return after - before
}

// inUse is what is in use after a garbage collection, in bytes.
func inUse() float64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc) + float64(s.StackInuse)
}
