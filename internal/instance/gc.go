package instance

import (
	"context"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// heapHeadroom is what the heap may grow between two collections before the garbage
	// collector's target falls below Go's default.
	heapHeadroom = 6 << 20
	// defaultPercent is Go's default target, and leastPercent the lowest one that is
	// set. At 50, a fleet of today's size with a live heap of few megabytes took three
	// times as long for a call at full load, so that small heaps keep the default.
	defaultPercent = 100
	leastPercent   = 50
	// heapPeriod is the time between two looks at the live heap.
	heapPeriod = 5 * time.Second
	// liveHeap is the metric of the heap that the last collection left.
	liveHeap = "/gc/heap/live:bytes"
)

// AdaptGCPercent lowers the garbage collector's target while the live heap is large, until
// ctx ends. A target in the environment goes first.
func AdaptGCPercent(ctx context.Context) {
	if os.Getenv("GOGC") != "" {
		return
	}
	sample := []metrics.Sample{{Name: liveHeap}}
	percent := defaultPercent
	for ctx.Err() == nil {
		Pause(ctx, heapPeriod)
		metrics.Read(sample)
		if wanted := gcPercent(sample[0].Value.Uint64()); wanted != percent {
			percent = wanted
			debug.SetGCPercent(percent)
		}
	}
}

// gcPercent is the target at a live heap. Steps of 10 keep it from changing often.
func gcPercent(live uint64) int {
	const step = 10
	percent := int(defaultPercent * heapHeadroom / max(live, 1))
	return min(max(percent/step*step, leastPercent), defaultPercent)
}
