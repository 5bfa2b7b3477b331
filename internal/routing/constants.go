package routing

import "time"

const (
	// SubsetSize is the default number of upstreams of a stage that one entry uses.
	SubsetSize = 32
	// remoteFraction is the fraction of the subset that is reserved for other regions. It
	// exceeds 1 - panicFraction, so that the loss of the local region doesn't cause panic
	// mode, which ignores ejections.
	remoteFraction = 0.375
	// choiceGrace is the time after the timeout of a choice when the call stops counting
	// as in flight if Done was never called.
	choiceGrace = 5 * time.Second
	// maxTimeout is the timeout of choices whose request has none.
	maxTimeout = 10 * time.Minute
)

const (
	// newCallLoad is what the new call adds to the load, in calls. If it were a whole
	// call, an idle upstream with a limit of 1 would look full. It is 0 for a warming
	// upstream, which needs calls to become warm even at low load.
	newCallLoad = 0.5
	// failureHalfLife is the half-life of the failure rate.
	failureHalfLife = 2 * time.Second
	// failureSmoothing is the smoothing factor of the moving average of failures.
	failureSmoothing = 0.2
	// minFailureRate is the failure rate below which it counts as 0.
	minFailureRate = 0.001
	// failurePenalty is the score added for a failure rate of 1. A fully used upstream
	// has a score of 1.
	failurePenalty = 4.0
	// latencySmoothing is the smoothing factor of the mean service time.
	latencySmoothing = 0.2
	// latencyHalfLife is the time in which the distance of a service time from the
	// median halves without new calls.
	latencyHalfLife = 5 * time.Second
	// medianTTL is how long the median service time of a subset is cached.
	medianTTL = 10 * time.Millisecond
	// maxLatencyRatio is the maximum factor by which a high service time raises the score.
	maxLatencyRatio = 20.0
	// remotePenalty is added for another failure domain. It is the load of the local
	// failure domain, relative to its limits, above which calls leave it.
	remotePenalty = 0.5
	// regionPenalty is added for another region. Together with remotePenalty, calls leave
	// the local region when its upstreams are full or fail.
	regionPenalty = 0.5
	// otherCallsHalfLife is the half-life of the reported calls of other processes,
	// because the report becomes stale.
	otherCallsHalfLife = 500 * time.Millisecond
	// fullLoad is the load below which a warm upstream has free slots for calls that are
	// kept away from warming ones. When every warm upstream is full, warming ones get the
	// calls.
	fullLoad = 1.0
	// coldSlowdown is the assumed ratio of the service time of a warming upstream to the
	// median while its own is not known.
	coldSlowdown = 4.0
	// coldMargin is the slack that a call needs to be sent to a warming upstream, as a
	// multiple of that upstream's service time. It decays towards minColdMargin with the
	// half-life coldMarginHalfLife while calls skip the upstream for lack of slack;
	// without any calls it would never become warm and its service time would stay unknown.
	coldMargin         = 1.5
	minColdMargin      = 1.1
	coldMarginHalfLife = time.Second
	// refusedPenalty is added for an upstream that recently refused a call for lack of
	// capacity.
	refusedPenalty = 1.0
	// affinityTolerance is by how much the score of the upstream preferred by the affinity
	// key may exceed the lowest score, in load relative to the limit.
	affinityTolerance = 0.5
)

const (
	// ejectFailures is the number of consecutive failures that eject an upstream.
	ejectFailures = 3
	// ejectBase is the duration of the first ejection; it doubles with each further one
	// up to ejectMax.
	ejectBase = time.Second
	ejectMax  = 10 * time.Second
	// maxEjectedFraction is the maximum fraction of a failure domain that may be ejected
	// at once, unless the failure domain is ejected as a whole.
	maxEjectedFraction = 0.5
	// ejectDomainFailures is the number of consecutive failures in a failure domain, and
	// ejectDomainFraction the fraction of its upstreams with a failure, that eject it as a
	// whole.
	ejectDomainFailures = 4
	ejectDomainFraction = 0.6
	// unhealthyRate is the failure rate above which an upstream counts as unhealthy.
	unhealthyRate = 0.4
	// panicFraction is the fraction of unhealthy upstreams in the subset above which
	// ejections are ignored and calls spread over all upstreams (panic mode).
	panicFraction = 0.7
	// probeSuccesses is the number of successful calls that end probing.
	probeSuccesses = 3
)
