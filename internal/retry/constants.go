package retry

import "time"

const (
	// RetryFraction is the part of recent first attempts that may be retried or hedged.
	RetryFraction = 0.1
	// HedgeFraction is the part of recent first attempts that may be hedged.
	HedgeFraction = 0.05
	// RetryFloor is the number of retries in a window that are allowed
	// regardless of the first attempts.
	RetryFloor = 5
)

const (
	// span and spans make the window of 5 s in which attempts count as recent.
	span  = 500 * time.Millisecond
	spans = 10
	// durationCount is the number of latest durations that give the hedge delay.
	durationCount = 128
	// durationMinimum is the number of durations below which nothing is hedged.
	durationMinimum = 20
	// hedgeQuantile of the recent durations is the hedge delay.
	hedgeQuantile = 0.95
	// hedgeMedians is the least hedge delay in medians of the recent durations. A
	// quantile alone hedges its share of calls also where all upstreams are equal.
	hedgeMedians = 3
	// delayInterval is how often the hedge delay is computed anew, in durations.
	delayInterval = 16
)
