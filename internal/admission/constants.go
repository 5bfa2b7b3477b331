package admission

import "time"

const (
	// StarvationGrants is the number of grants to other priorities after which a
	// waiting lower priority gets one. This limits three lower priorities to 6 % of
	// the slots.
	StarvationGrants = 50
	// overloadAfter is how long the queue must have been non-empty before it counts
	// as overloaded and serves the newest request first.
	overloadAfter = 100 * time.Millisecond
)

// Bounds of retry-after hints.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

const (
	// estimatorSubWindow is the length of one of the estimator's sub-windows.
	estimatorSubWindow = 500 * time.Millisecond
	// estimatorSubWindows is the number of sub-windows; older durations expire.
	estimatorSubWindows = 4
	// estimatorMinSamples is the number of recent runs below which the duration of a
	// stage is estimated as 0.
	estimatorMinSamples = 8
	// estimatorQuantile is the quantile of a stage's recent durations that is used as
	// the estimate; the sum over the stages must fit in the remaining time.
	estimatorQuantile = 0.5
	// probeInterval is the minimum time between requests that are admitted as probes
	// although they look infeasible, so that the estimate can recover.
	probeInterval = 100 * time.Millisecond
	// bucketsPerDoubling sets the resolution of duration histograms to 19 %.
	bucketsPerDoubling = 4
	// durationBuckets is the number of buckets, which cover 100 µs to 109 minutes.
	durationBuckets = 104
	// firstBucketBound is the upper bound of the first histogram bucket.
	firstBucketBound = 100 * time.Microsecond
)

const (
	// gateInterval is the minimum length of the interval over which outcomes are
	// evaluated. It is extended to at most gateMaxInterval while fewer than
	// gateMinSamples requests have ended.
	gateInterval    = 100 * time.Millisecond
	gateMaxInterval = time.Second
	gateMinSamples  = 20
	// gateTolerance is the fraction of requests shed after a stage has run above which
	// the limit is decreased. Below half of it the limit rises again.
	gateTolerance = 0.04
	// gateDecrease is the factor applied to the limit after an interval with too many
	// shed requests.
	gateDecrease = 0.9
	// gateIncrease is the fraction of the limit that is added after an interval with few
	// shed requests in which the limit was used.
	gateIncrease = 0.05
	// gateMinUtilisation is the fraction of the limit that must have been in use for it
	// to rise.
	gateMinUtilisation = 0.8
	// gatePeakDecay is the factor by which the recorded peak of requests in progress
	// decays in each interval.
	gatePeakDecay = 0.95
	// gateIneffectiveRatio is the ratio of the shed fraction after a decrease to that
	// before it above which the decrease had no effect, and gateDecreasePause the time
	// without decreases after that.
	gateIneffectiveRatio = 0.75
	gateDecreasePause    = 5 * time.Second
)
