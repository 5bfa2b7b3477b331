package routing

import "time"

const (
	// SubsetSize is the number of upstreams of a stage that one entry uses.
	SubsetSize = 32
	// remoteShare is the part of the subset that is left to other regions. It exceeds
	// 1 - panicFraction, so that the loss of the own region doesn't end ejections.
	remoteShare = 0.375
	// choiceGrace is added to the timeout of a choice; after it the call no
	// longer counts as in flight, should Done never be called.
	choiceGrace = 5 * time.Second
	// maxTimeout is used for choices without a timeout.
	maxTimeout = 10 * time.Minute
)

const (
	// ownShare is the part of the new call that counts as load. With the whole
	// call, an idle upstream with a limit of 1 would look full. It counts nothing
	// for a warming upstream, which needs work to get warm also at low load.
	ownShare = 0.5
	// failureHalfLife is the time in which a failure penalty halves.
	failureHalfLife = 2 * time.Second
	// failureStep is the part by which one call moves the failure rate.
	failureStep = 0.2
	// leastFailures is the failure rate that counts as none.
	leastFailures = 0.001
	// failureWeight turns a failure rate into a score; 1 is a fully used upstream.
	failureWeight = 4.0
	// latencyStep is the part by which one call moves the mean service time.
	latencyStep = 0.2
	// latencyHalfLife is the time in which a service time without new calls
	// loses half of its distance from the others.
	latencyHalfLife = 5 * time.Second
	// typicalInterval is how long the typical service time of a subset is kept.
	typicalInterval = 10 * time.Millisecond
	// maxLatencyRatio bounds the factor by which slowness raises the score.
	maxLatencyRatio = 20.0
	// remotePenalty is the use of the local failure domain, relative to its
	// limits, above which calls leave it.
	remotePenalty = 0.5
	// regionPenalty is added for another region. With remotePenalty, calls leave the
	// region when its upstreams are full or fail.
	regionPenalty = 0.5
	// otherHalfLife is the time in which the reported calls of other processes
	// count half, because the report grows old.
	otherHalfLife = 500 * time.Millisecond
	// roomLoad is the load below which a warm upstream has room for calls that are
	// kept from warming ones. Where every warm one is full, the warming ones must help.
	roomLoad = 1.0
	// coldFactor is how much slower than a warm upstream one is taken to be that has
	// just started and whose service time is not known.
	coldFactor = 4.0
	// coldMargin is the time that a call on a warming upstream must be given, in
	// service times of that upstream. It falls towards leastColdMargin, by half in
	// coldMarginHalfLife, while calls pass the upstream by for lack of time; without
	// any call it would never get warm, and its service time would not be learned.
	coldMargin         = 1.5
	leastColdMargin    = 1.1
	coldMarginHalfLife = time.Second
	// busyPenalty is added for an upstream that refused for lack of room.
	busyPenalty = 1.0
	// affinityExtra is how much more load, relative to the limit, the upstream
	// preferred by the affinity key may have than the least loaded one.
	affinityExtra = 0.5
)

const (
	// ejectRun is the number of failures in a row that eject an upstream.
	ejectRun = 3
	// ejectBase is the first ejection time, which doubles up to ejectMax.
	ejectBase = time.Second
	ejectMax  = 10 * time.Second
	// ejectFraction is the largest part of a failure domain that is ejected at once.
	ejectFraction = 0.5
	// domainRun is the number of failures in a row in a failure domain, and
	// domainFraction the part of its upstreams with a failure, that eject it as a whole.
	domainRun      = 4
	domainFraction = 0.6
	// sickRate is the failure rate above which an upstream looks sick.
	sickRate = 0.4
	// panicFraction is the part of the subset in doubt above which ejections
	// are ignored and calls spread over all.
	panicFraction = 0.7
	// probeSuccesses is the number of successes that end probing.
	probeSuccesses = 3
)
