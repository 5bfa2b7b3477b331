package rollout

import "time"

// How much a version gets before its verdict. The bounds of a deployment limit what a version
// that turns out to be bad may get in all.
const (
	// trialFraction is the part of the bound's share that a version gets on trial. The rest is
	// for the steps in which the traffic moves.
	trialFraction = 0.6
	// slackFraction is the part of the bound's slack that the gateways split on trial. A fleet
	// that restarts at once within freshTime gets it a second time.
	slackFraction = 0.4
	// slackPeriod is the part of the order's time over which the slack is given out.
	slackPeriod = 0.5
	// maxCalls and maxPieces bound the sends that are saved up.
	maxCalls  = 3.0
	maxPieces = 64.0
	// freshTime is how long after an order a gateway still takes part in the slack, and how
	// long after its start a gateway doesn't know whether an order is new.
	freshTime = 3 * time.Second
	// noveltyTime is how long upstreams of a version that nobody has ordered get nothing: their
	// order may arrive after their registration.
	noveltyTime = 1500 * time.Millisecond
	// trustTime is how long the upstreams of a version must have served before an order for it
	// to be one that returns to a version in service.
	trustTime = 3 * time.Second
	// goneRetention is how long a version is remembered after its last registration went.
	goneRetention = 5 * time.Minute
)

// stepShares are the shares of the new version by stage, as parts of all sends. The last two
// stages, full and bad, need none.
var stepShares = [...]float64{stageTrial: 0, stageQuarter: 0.25, stageHalf: 0.5}

// When the traffic moves.
const (
	// stepTime is the least time of one step: heartbeats pass the evidence on meanwhile.
	stepTime = 450 * time.Millisecond
	// joinTime is how long a gateway that knows the age of an order by a hint only watches the
	// trial before it moves traffic.
	joinTime = 2 * time.Second
	// hintTolerance is by how much hints may differ because of the time that messages take.
	hintTolerance = time.Second
	// fullTime is the least time with all traffic before the verdict: a version may be bad only
	// under load.
	fullTime = 800 * time.Millisecond
	// verdictTime is the time for the other gateways to report that nothing is left on the old
	// version, and for the write of the verdict.
	verdictTime = 1500 * time.Millisecond
	// minReserve and maxReserve are the parts of the order's time that are kept for moving.
	minReserve = 0.25
	maxReserve = 0.35
	// suspicionReserve is the part of the order's time before its end at which a version under
	// suspicion is rolled back.
	suspicionReserve = 0.1
	// chanceReserve is the part of the order's time before its end up to which a version that has
	// all traffic isn't completed under suspicion.
	chanceReserve = 0.05
	// minGoodAnswers is how many good answers a version must have had, if its service had
	// requests enough for that.
	minGoodAnswers = 5
)

// Judgement.
const (
	// minBad, minDifference and minEvidence convict a version: its least bad answers, its share
	// of bad answers above that of the old version, and the logarithm of how much likelier its
	// own share makes its answers than the old version's.
	minBad        = 3
	minDifference = 0.06
	minEvidence   = 9.0
	// minTrimmedBad and minTrimmedEvidence are the same without the worst upstreams.
	minTrimmedBad      = 2
	minTrimmedEvidence = 3.0
	// A version with less than fewAnswers answers gets no more traffic if minFewEvidence speaks
	// against it.
	fewAnswers     = 2 * minGoodAnswers
	minFewEvidence = 3.0
	// suspicionFactor is the part of the evidence from which on a version may not be completed
	// yet, with minSuspectedBad bad answers or minSuspectedTimes times.
	suspicionFactor   = 0.5
	minSuspectedBad   = 2
	minSuspectedTimes = 3
	// minSlowdown is the ratio of the geometric means of times, and minDeviations by how many
	// standard errors the times must differ, each with minTimes answers.
	minSlowdown          = 2.2
	minDeviations        = 4.5
	minTimes             = 8
	minTrimmedDeviations = 2.0
	minTrimmedTimes      = 3
	// minVariance is the least variance of the logarithm of a time.
	minVariance = 0.02
	// trimDivisor defines how many groups of upstreams of the new version are left out, those with the
	// worst answers: a quarter, and at least one of two. They may be ill by themselves.
	trimDivisor = 4
)

// Evidence and its bounds.
const (
	// snapshotTime is the interval of the totals that windows are taken from, and the windows
	// are so many snapshots long; 0 is the whole time.
	snapshotTime = 500 * time.Millisecond
	maxSnapshots = 12
	// maxCells bounds the routes and upstreams in a report, and maxReports the reports of one
	// gateway. Beyond them, evidence is added up under no name.
	maxCells = 96
	// upstreamGroups are the groups in which the upstreams of a new version are told apart.
	upstreamGroups = 12
	maxReports     = 8
	// maxOrders bounds the orders that a table follows.
	maxOrders = 1024
	// maxGateways bounds the gateways whose reports are kept.
	maxGateways = 1024
)

// Who writes.
const (
	// takeOverTime is how long a write is due with one gateway before the next one in the order of
	// its owners sends it too.
	takeOverTime = 1500 * time.Millisecond
	// reportTime is how old the report of another gateway may be that says that nothing of its
	// requests is left on the old version.
	reportTime = time.Second
	// awaitTime is how long a gateway that has said that nothing is left on the old version sends to
	// the new one, although that is bad, until the store tells which verdict holds.
	awaitTime = 3 * time.Second
	// retention is how long the reports of an order with a verdict are passed on.
	retention = time.Minute
	// removalRetention is how long a removed order is remembered: longer than gateways that have
	// not heard of its end report it.
	removalRetention = 2 * retention
	// maxOrderAge bounds the age of an order that another gateway reports.
	maxOrderAge = 24 * time.Hour
)

// windows are the lengths of the windows in snapshots.
var windows = [...]int{0, 5, maxSnapshots}
