package limits

import "time"

const (
	// decreaseFactor is the factor applied to the limit when the failure rate is too high.
	decreaseFactor = 0.7
	// increaseFraction is the minimum fraction by which the limit grows with the
	// successful calls of one service time.
	increaseFraction = 0.1
	// failureSmoothing is the smoothing factor of the failure rate.
	failureSmoothing = 1.0 / 16
	// failureTolerance is the failure rate below which the limit is not decreased,
	// because single failures have causes other than load.
	failureTolerance = 0.1
	// unreachableCalls is the number of consecutive calls that could not reach the
	// upstream after which it is treated as restarted. One reset connection is not enough.
	unreachableCalls = 3
	// holdFraction is the fraction of the warm-up time for which the limit stays at the
	// cold capacity. It is above 1 because calls are in flight for longer here than at
	// the upstream, which warms up only while it works.
	holdFraction = 1.25
	// rampFraction is the fraction of the warm-up time in which the limit then rises to
	// the capacity. Hold and ramp together stay below twice the warm-up time.
	rampFraction = 0.25
	// reportTTL is how long a load report of the upstream lowers the limit.
	reportTTL = 3 * time.Second
	// reportTarget is the reported fraction of capacity in use above which the limit is
	// lowered.
	reportTarget = 0.9
)

const (
	// baselineSize is the number of service times that the baseline holds.
	baselineSize = 64
	// baselineMinSamples is the number of service times below which no cold transition is
	// detected.
	baselineMinSamples = 16
	// baselineRefresh is the number of service times after which the threshold is
	// recomputed. baselineMinSamples is a multiple of it.
	baselineRefresh = 8
	// recentSize is the number of latest calls that are compared with the baseline.
	recentSize = 4
	// slowCallsNeeded is the number of slow calls among the latest that count as a cold
	// transition.
	slowCallsNeeded = 3
	// slowFactor is the minimum ratio to the baseline's median that counts as slow.
	slowFactor = 3.0
	// slowDeviations is the minimum distance above the baseline's median that counts as
	// slow, in median absolute deviations of the logarithm.
	slowDeviations = 5.0
	// fastFactor is the minimum ratio of the baseline's median to a time that counts as
	// fast, and fastDeviations the minimum distance in standard deviations, so that random
	// variation doesn't restart the baseline.
	fastFactor     = 2.0
	fastDeviations = 2.0
	// fastCallsNeeded is the number of consecutive fast calls that restart the baseline.
	fastCallsNeeded = 6
	// normalDeviations converts a median absolute deviation into the standard
	// deviation of a normal distribution.
	normalDeviations = 1.4826
	// minDeviation is the lower bound of the deviation, so that almost equal service
	// times don't make small changes look large.
	minDeviation = 0.1
	// driftAllowance is the minimum ratio to the baseline's median that adds to the
	// cumulative sum (CUSUM).
	driftAllowance = 2.5
	// driftLimit is the cumulative sum of excess deviations that counts as a cold
	// transition. One call adds at most driftStep, so that a single slow call doesn't
	// reach the limit.
	driftLimit = 7.0
	driftStep  = 3.0
)
