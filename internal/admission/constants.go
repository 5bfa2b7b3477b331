package admission

import "time"

const (
	// StarvationGrants is the number of grants after which a waiting lower
	// priority gets one. Three lower priorities so take at most 6 % of the slots.
	StarvationGrants = 50
	// overloadAfter is how long requests must have waited without a break until
	// the newest is served first.
	overloadAfter = 100 * time.Millisecond
)

// Bounds of retry-after hints.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

const (
	// estimatorSpan is the time covered by one of the estimator's sub-windows.
	estimatorSpan = 500 * time.Millisecond
	// estimatorSpans is the number of sub-windows; older costs are forgotten.
	estimatorSpans = 4
	// estimatorMinimum is the number of recent runs below which a stage counts as free.
	estimatorMinimum = 8
	// estimatorQuantile of the recent costs must fit in the remaining time.
	estimatorQuantile = 0.5
	// probeInterval is the least time between requests that are let through
	// although they look infeasible, so that the estimate recovers.
	probeInterval = 100 * time.Millisecond
	// bucketsPerDoubling sets the resolution of cost histograms to 19 %.
	bucketsPerDoubling = 4
	// costBuckets cover 100 µs to 109 minutes.
	costBuckets = 104
	// smallestCost is the upper bound of the first bucket.
	smallestCost = 100 * time.Microsecond
)

const (
	// gateInterval is the least time over which outcomes are judged together, and
	// gateMaxInterval the longest while fewer than gateMinimum have ended.
	gateInterval    = 100 * time.Millisecond
	gateMaxInterval = time.Second
	gateMinimum     = 20
	// gateTolerance is the part of late sheds above which the limit is cut. It
	// rises again below half of that.
	gateTolerance = 0.04
	// gateDecrease is applied to the limit after an interval with late sheds.
	gateDecrease = 0.9
	// gateIncrease is the part of the limit that is added after a good interval that used it.
	gateIncrease = 0.05
	// gateUse is the part of the limit that must have been in use for it to rise.
	gateUse = 0.8
	// gatePeakDecay is the part of the recent peak of use that is left after an interval.
	gatePeakDecay = 0.95
	// gateHelped is the part of the former sheds above which a cut did not help,
	// and gatePause the time without cuts after it.
	gateHelped = 0.75
	gatePause  = 5 * time.Second
)
