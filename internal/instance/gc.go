package instance

import (
	"context"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// heapGrowthBytes is the heap growth between two collections above which the GOGC
	// percentage is set below Go's default.
	heapGrowthBytes = 6 << 20
	// defaultPercent is Go's default of the GOGC percentage, and minPercent the lowest one
	// that is set. Small heaps keep the default, because frequent collections slow calls
	// down: at 50 with a live heap of a few megabytes, a call takes three times as long at
	// full load.
	defaultPercent = 100
	minPercent     = 50
	// gcUpdatePeriod is the interval at which the percentage is adapted to the live heap.
	gcUpdatePeriod = 5 * time.Second
	// liveHeapMetric is the runtime metric of the heap that was live after the last
	// collection.
	liveHeapMetric = "/gc/heap/live:bytes"
)

// AdaptGCPercent lowers the garbage collector's GOGC percentage while the live heap is
// large, until ctx ends. It does nothing if the variable GOGC is set.
func AdaptGCPercent(ctx context.Context) {
	if os.Getenv("GOGC") != "" {
		return
	}
	sample := []metrics.Sample{{Name: liveHeapMetric}}
	percent := defaultPercent
	for ctx.Err() == nil {
		Pause(ctx, gcUpdatePeriod)
		metrics.Read(sample)
		if target := gcPercent(sample[0].Value.Uint64()); target != percent {
			percent = target
			debug.SetGCPercent(percent)
		}
	}
}

// gcPercent returns the GOGC percentage for a live heap. Steps of 10 keep it from changing often.
func gcPercent(live uint64) int {
	const step = 10
	percent := int(defaultPercent * heapGrowthBytes / max(live, 1))
	return min(max(percent/step*step, minPercent), defaultPercent)
}
