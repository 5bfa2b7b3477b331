package limits

import "time"

const (
	// decreaseFactor is applied to the limit when calls fail.
	decreaseFactor = 0.7
	// increaseFraction is the least part by which the limit grows with the
	// successes of one service time.
	increaseFraction = 0.1
	// failStep is the part by which one call moves the failure rate.
	failStep = 1.0 / 16
	// failTolerance is the failure rate below which the limit stays, because
	// single failures have other causes than load.
	failTolerance = 0.1
	// unreachableRun is the number of calls in a row that could not reach the
	// upstream after which it is taken for restarted. One reset connection is not enough.
	unreachableRun = 3
	// holdFraction is the part of the warm-up time for which the limit stays at the
	// cold capacity. It is over 1, because the calls are in flight for longer here than
	// at the upstream, which does its warm-up in the time that it works.
	holdFraction = 1.25
	// rampFraction is the part of the warm-up time in which the limit then rises to
	// the capacity. Both parts together stay under twice the warm-up time.
	rampFraction = 0.25
	// reportLifetime is how long an upstream's own load report lowers the limit.
	reportLifetime = 3 * time.Second
	// reportTarget is the fraction in use above which a report lowers the limit.
	reportTarget = 0.9
)

const (
	// baselineSize is the number of service times that the baseline holds.
	baselineSize = 64
	// baselineMinimum is the number of service times below which no cold turn is detected.
	baselineMinimum = 16
	// baselineRefresh is the number of service times after which the threshold is
	// computed anew. baselineMinimum is a multiple of it.
	baselineRefresh = 8
	// recentSize is the number of latest service times that are compared with the baseline.
	recentSize = 4
	// slowMinimum is the number of slow calls among the latest that make a cold turn.
	slowMinimum = 3
	// slowFactor is the least ratio to the baseline's median that counts as slow.
	slowFactor = 3.0
	// slowDeviations is the distance from the baseline's median that counts as
	// slow, in median absolute deviations of the logarithm.
	slowDeviations = 5.0
	// fastFactor is the least ratio of the baseline's median to a time that counts as
	// fast, and fastDeviations the least distance in standard deviations, so that
	// chance restarts no baseline.
	fastFactor     = 2.0
	fastDeviations = 2.0
	// fastRun is the number of fast calls in a row that restart the baseline.
	fastRun = 6
	// normalDeviations turns a median absolute deviation into the standard
	// deviation of a normal distribution.
	normalDeviations = 1.4826
	// minDeviation bounds the deviation below, so that almost equal service
	// times don't make small changes look large.
	minDeviation = 0.1
	// driftFactor is the least ratio to the baseline's median that adds to the
	// cumulative sum.
	driftFactor = 2.5
	// driftLimit is the cumulative sum of excess deviations that makes a cold
	// turn. One call adds at most driftStep, so that one slow call makes none.
	driftLimit = 7.0
	driftStep  = 3.0
)
