package retry

import "time"

const (
	// RetryFraction is the maximum ratio of retries and hedges to recent first attempts.
	RetryFraction = 0.1
	// HedgeFraction is the maximum ratio of hedges to recent first attempts.
	HedgeFraction = 0.05
	// RetryFloor is the number of retries in a window that are allowed
	// regardless of the number of first attempts.
	RetryFloor = 5
)

const (
	// subWindow is the length and subWindowCount the number of the sub-windows of the 5 s
	// window in which attempts count as recent.
	subWindow      = 500 * time.Millisecond
	subWindowCount = 10
	// maxDurations is the number of latest durations from which the hedge delay is computed.
	maxDurations = 128
	// minDurations is the number of recorded durations below which nothing is hedged.
	minDurations = 20
	// hedgeQuantile is the quantile of the recent durations that is the hedge delay.
	hedgeQuantile = 0.95
	// hedgeMedianFactor is the minimum hedge delay as a multiple of the median of the recent
	// durations. With the quantile alone, the calls above it would be hedged even if all
	// upstreams are equally fast.
	hedgeMedianFactor = 3
	// hedgeDelayInterval is the number of recorded durations after which the hedge delay is
	// recomputed.
	hedgeDelayInterval = 16
)
